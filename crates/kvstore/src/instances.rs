//! The platform's lagging list of instances.

use {
    super::{
        error::KvError,
        http::{
            Call,
            Http,
            Options, //
        },
        kv::{
            parse,
            unavailable, //
        },
    },
    http_types::Method,
    policy::{
        ServiceId,
        Span,
        Zone, //
    },
    serde::{
        Deserialize,
        Serialize, //
    },
    std::net::SocketAddr,
};

/// The purpose of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// A router of the fleet.
    Router,
    /// A replica of a service.
    Endpoint,
}

/// Whether an instance keeps running.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It serves.
    #[default]
    Live,
    /// It ends soon and gets no new requests.
    Leaving,
}

/// One instance in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Unique name.
    pub name: String,
    /// Its purpose.
    pub role: Role,
    /// The service that an endpoint offers; none for a router.
    #[serde(default)]
    pub service: Option<ServiceId>,
    /// Address for other processes of the system.
    pub addr: SocketAddr,
    /// Address for callers; none for an endpoint.
    #[serde(default)]
    pub callers: Option<SocketAddr>,
    /// Availability zone.
    pub zone: Zone,
    /// Whether it keeps running.
    #[serde(default)]
    pub state: State,
}

/// A list, as it was at a revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Revision of the list.
    pub revision: u64,
    /// The instances.
    pub instances: Vec<Instance>,
}

/// Polls the list, and remembers the revision of the last one.
#[derive(Debug)]
pub struct Instances {
    http: Http,
    seen: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct Raw {
    revision: u64,
    instances: Vec<serde_json::Value>,
}

impl Instances {
    /// Makes a poller. It connects with its first call.
    pub fn new(opts: Options) -> Instances {
        Instances {
            http: Http::new(opts),
            seen: None,
        }
    }

    /// Reads the list if it changed since the last poll.
    ///
    /// # Errors
    ///
    /// [`KvError::Unavailable`] or [`KvError::Refused`].
    pub async fn poll(&mut self) -> Result<Option<Listed>, KvError> {
        let since = self.seen.map(|n| format!("?since={n}"));
        let call = Call {
            kind: "list",
            method: Method::Get,
            path: format!("/v1/instances{}", since.unwrap_or_default()),
            body: None,
            wait: Span::ZERO,
        };
        let answer = self.http.call(call).await.map_err(unavailable)?;
        match answer.status {
            304 => Ok(None),
            200 => {
                let raw: Raw = parse(&answer)?;
                self.seen = Some(raw.revision);
                Ok(Some(readable(raw)))
            }
            status => Err(KvError::Refused(status)),
        }
    }
}

/// Returns the readable entries, so that an unreadable one does not hide all others.
fn readable(raw: Raw) -> Listed {
    let read = |v| match serde_json::from_value(v) {
        Ok(instance) => Some(instance),
        Err(e) => {
            log::warn!("platform: an instance on the list can't be read: {e}");
            None
        }
    };
    Listed {
        revision: raw.revision,
        instances: raw.instances.into_iter().filter_map(read).collect(),
    }
}
