//! The answer to the question which address to use.

use {
    crate::{
        Reason, //
        Refused,
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

/// Most tickets in one answer.
const TICKETS_MAX: u32 = 64;

/// Addresses to use for a service, the best first.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AddressList {
    /// The addresses, the best first. Never empty.
    pub addresses: Vec<Address>,
    /// How long the answer may be kept, in milliseconds.
    pub keep_ms: u64,
    /// Tickets for requests that may not be repeated.
    #[serde(default)]
    pub tickets: Vec<String>,
    /// How long the tickets may be kept, in milliseconds.
    #[serde(default)]
    pub ticket_ms: u64,
}

/// One router's address.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Address {
    /// The router.
    pub router: RouterId,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// Its part of the requests, relative to the other addresses.
    pub weight: f64,
}

/// What was asked: `/chervilwind/where?service=S&tickets=N&zone=Z&workspace=W`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AddressListQuery {
    /// The service that will be asked for.
    pub service: ServiceId,
    /// How many tickets are wanted, 0 to 64.
    pub tickets: u32,
    /// The caller's availability zone.
    pub zone: Option<Zone>,
    /// The workspace that will ask.
    pub workspace: Option<WorkspaceId>,
}

impl AddressList {
    /// Returns how long the answer may be kept.
    pub fn keep(&self) -> Duration {
        Duration::from_millis(self.keep_ms)
    }
}

impl AddressListQuery {
    /// Reads the query's pairs of name and value. Unknown names are passed over.
    ///
    /// # Errors
    ///
    /// A refusal that names the part which is missing or malformed.
    pub fn from_pairs<'a>(
        pairs: impl Iterator<Item = (&'a str, &'a str)>,
    ) -> Result<AddressListQuery, Refused> {
        let (mut service, mut tickets, mut zone, mut workspace) = (None, 0, None, None);
        for (name, value) in pairs {
            match name {
                "service" => service = Some(part(name, value)?),
                "tickets" => tickets = part(name, value)?,
                "zone" => zone = Some(part(name, value)?),
                "workspace" => workspace = Some(part(name, value)?),
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

fn part<T: std::str::FromStr>(name: &str, value: &str) -> Result<T, Refused>
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
