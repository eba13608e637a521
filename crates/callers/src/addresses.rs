//! The address list of a service.

use {
    crate::{
        Reason,
        Refused, //
    },
    policy::{
        RouterId,
        ServiceId,
        WorkspaceId,
        Zone, //
    },
    serde::{
        Deserialize,
        Serialize, //
    },
    std::{
        net::SocketAddr,
        time::Duration, //
    },
};

/// Maximum number of tickets in one response.
const TICKETS_MAX: u32 = 64;

/// The addresses to use for a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AddressList {
    /// The addresses, best first. Never empty.
    pub addresses: Vec<Address>,
    /// How long the list may be cached, in milliseconds.
    pub keep_ms: u64,
    /// Tickets for requests that may not be repeated.
    #[serde(default)]
    pub tickets: Vec<String>,
    /// How long the tickets may be cached, in milliseconds.
    #[serde(default)]
    pub ticket_ms: u64,
}

/// One router's address.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Address {
    /// The router.
    pub router: RouterId,
    /// The address at which it accepts requests.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// Its share of the requests, relative to the other addresses.
    pub weight: f64,
}

/// The query of an address request: `/chervilwind/where?service=S&tickets=N&zone=Z&workspace=W`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AddressListQuery {
    /// The service that will be called.
    pub service: ServiceId,
    /// The number of tickets requested, 0 to 64.
    pub tickets: u32,
    /// The caller's availability zone.
    pub zone: Option<Zone>,
    /// The workspace that will send requests.
    pub workspace: Option<WorkspaceId>,
}

impl AddressList {
    /// Returns how long the list may be cached.
    pub fn keep(&self) -> Duration {
        Duration::from_millis(self.keep_ms)
    }
}

impl AddressListQuery {
    /// Parses the query's name-value pairs. Unknown names are ignored.
    ///
    /// # Errors
    ///
    /// A rejection that names the missing or malformed parameter.
    pub fn from_pairs<'a>(
        pairs: impl Iterator<Item = (&'a str, &'a str)>,
    ) -> Result<AddressListQuery, Refused> {
        let (mut service, mut tickets, mut zone, mut workspace) = (None, 0, None, None);
        for (name, value) in pairs {
            match name {
                "service" => service = Some(parse_param(name, value)?),
                "tickets" => tickets = parse_param(name, value)?,
                "zone" => zone = Some(parse_param(name, value)?),
                "workspace" => workspace = Some(parse_param(name, value)?),
                _ => {}
            }
        }
        let service = service.ok_or_else(|| {
            Refused::new(
                Reason::BadRequest,
                "the query names no service; ask with `?service=NAME`",
            )
        })?;
        Ok(AddressListQuery {
            service,
            tickets: tickets.min(TICKETS_MAX),
            zone,
            workspace,
        })
    }
}

fn parse_param<T: std::str::FromStr>(name: &str, value: &str) -> Result<T, Refused>
where
    T::Err: std::fmt::Display,
{
    value.parse().map_err(|e: T::Err| {
        Refused::new(
            Reason::BadRequest,
            format!("`{name}` in the query is not usable: {e}"),
        )
    })
}
