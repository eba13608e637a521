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
            unavailable,
            unreadable, //
        },
    },
    http_types::Method,
    policy::{
        check_address,
        ServiceId,
        Span,
        Zone, //
    },
    serde::{
        Deserialize,
        Serialize, //
    },
    serde_json::value::RawValue,
    std::{
        iter,
        net::SocketAddr, //
    },
};

/// Longest cause that is logged, in characters. It may quote a value.
const CAUSE_MAX: usize = 160;

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

/// A list whose entries are parsed one by one, as processes of any kind register themselves.
#[derive(Debug, Deserialize)]
struct RawList<'a> {
    revision: u64,
    #[serde(borrow)]
    instances: Vec<&'a RawValue>,
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
                let listed = parse_list(&answer.body).map_err(unreadable)?;
                self.seen = Some(listed.revision);
                Ok(Some(listed))
            }
            status => Err(KvError::Refused(status)),
        }
    }
}

/// Parses a list without the entries that can't be used, so that one of them does not hide all
/// others.
fn parse_list(body: &[u8]) -> Result<Listed, serde_json::Error> {
    // Replaces bytes that are no text, which would make the whole list unreadable.
    let text = String::from_utf8_lossy(body);
    let list: RawList<'_> = serde_json::from_str(&text)?;
    let mut instances = Vec::with_capacity(list.instances.len());
    let mut cause = None;
    for raw in &list.instances {
        match parse_instance(raw.get()) {
            Ok(instance) => instances.push(instance),
            Err(e) => cause = cause.or(Some(e)),
        }
    }
    if let Some(e) = cause {
        let count = list.instances.len() - instances.len();
        let e: String = e.chars().take(CAUSE_MAX).collect();
        log::warn!("platform: {count} instances on the list can't be used, the first since {e:?}");
    }
    Ok(Listed {
        revision: list.revision,
        instances,
    })
}

fn parse_instance(text: &str) -> Result<Instance, String> {
    let instance: Instance = serde_json::from_str(text).map_err(|e| e.to_string())?;
    for addr in iter::once(instance.addr).chain(instance.callers) {
        check_address(addr).map_err(|e| e.to_string())?;
    }
    Ok(instance)
}
