//! Messages between routers about slots and service received.

use {
    crate::{
        service::ReplicaKey,
        shares::UsageUpdates,
        Span, //
    },
    serde::{
        Deserialize,
        Serialize, //
    },
};

/// Short hash of a service name.
pub(crate) type ServiceKey = u32;

/// Approximate bytes of a grant, of each replica in it and of each virtual time.
const GRANT_BYTES: (usize, usize, usize) = (28, 7, 6);

/// A message between two routers about one service.
///
/// Messages carry absolute values and sequence numbers, so lost, duplicated, late or reordered
/// ones do no harm. Names are sent as hashes, since both sides know the names from elsewhere.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// From a router to the owner of a pool.
    Report(Report),
    /// From the owner of a pool to a router.
    #[serde(rename = "Lend")]
    SlotGrant(SlotGrant),
    /// Between any two routers: the service that workspaces received.
    #[serde(rename = "Notes")]
    UsageUpdates(UsageUpdates),
}

/// The slots that a router holds of a pool, and its backlog.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    pub(crate) service: ServiceKey,
    /// Number of times that the router has changed to another owner, or back to this one.
    pub(crate) term: u32,
    /// Sequence number; a later report replaces an earlier one.
    pub(crate) seq: u64,
    /// Sequence number of the last grant received from this owner.
    pub(crate) seen: u64,
    /// Sequence number of the last acknowledged report; 0 if there is none.
    pub(crate) base: u64,
    /// Slots kept on each replica (the larger of allowed and running) that changed since `base`;
    /// on all replicas if there is no base.
    pub(crate) kept: Vec<(ReplicaKey, u32)>,
    /// Requests running on all replicas.
    pub(crate) running: u32,
    /// The backlogged workspaces; `None` if they have hardly changed since the last acknowledged
    /// report.
    #[serde(rename = "waits")]
    pub(crate) demands: Option<Vec<WorkspaceDemand>>,
    /// Replicas that can serve none of the queued requests.
    #[serde(rename = "shuns")]
    pub(crate) avoided: Vec<ReplicaKey>,
    /// Limits of replicas, for an owner that has not granted anything yet.
    pub(crate) limits: Vec<(ReplicaKey, u32)>,
    /// Performance of the replicas, included at a longer interval.
    pub(crate) loads: Option<ReplicaLoads>,
}

/// Performance of the replicas as one router observed it since its last such report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ReplicaLoads {
    /// Mean cost of a request in thousandths of a unit; 0 until one has ended.
    pub(crate) cost: u64,
    /// Mean run time of a request.
    #[serde(rename = "run")]
    pub(crate) run_time: Span,
    /// The replicas that were used.
    #[serde(rename = "seats")]
    pub(crate) replicas: Vec<ReplicaLoad>,
}

/// Performance of one replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ReplicaLoad {
    pub(crate) key: ReplicaKey,
    /// Requests that this router runs on it.
    pub(crate) running: u32,
    /// Mean time to the first byte.
    #[serde(rename = "first")]
    pub(crate) first_byte: Option<Span>,
    /// Mean time between tokens.
    #[serde(rename = "gap")]
    pub(crate) token_gap: Option<Span>,
    /// Whether it accepted all requests.
    pub(crate) ok: bool,
    /// Its own load report: requests that run on it and that wait inside it.
    #[serde(rename = "said")]
    pub(crate) self_reported: Option<(u32, u32)>,
}

/// The demand of one backlogged workspace at one router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct WorkspaceDemand {
    pub(crate) key: crate::shares::Key,
    /// Requests queued; a large number is rounded.
    pub(crate) queued: u32,
    /// Requests running.
    pub(crate) running: u32,
}

/// How many requests a router may run on each replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotGrant {
    pub(crate) service: ServiceKey,
    /// The term of the last report received. The router ignores a grant of an older term, since
    /// another owner may have granted slots after it.
    pub(crate) term: u32,
    /// Sequence number; a later grant replaces an earlier one.
    pub(crate) seq: u64,
    /// Sequence number of the last grant that the router has acknowledged; 0 if there is none.
    pub(crate) base: u64,
    /// Sequence number of the last report received from this router.
    pub(crate) seen: u64,
    /// Whether requests are queued at any router.
    #[serde(rename = "pressed")]
    pub(crate) contended: bool,
    /// Slots of the complete pool.
    pub(crate) capacity: u32,
    /// Number of routers that use the pool; the more there are, the less often each reports.
    pub(crate) sharers: u32,
    /// Slots on each replica that changed since `base`; on all replicas if there is no base.
    pub(crate) slots: Vec<(ReplicaKey, u32)>,
    /// Virtual times, without this router's own charges, in thousandths of a unit: one for each
    /// backlogged workspace of the acknowledged report, in its order.
    #[serde(rename = "levels")]
    pub(crate) virtual_times: Vec<i64>,
    /// Limits of replicas, sent from time to time to the successor of the owner.
    pub(crate) limits: Vec<(ReplicaKey, u32)>,
}

impl SlotGrant {
    /// Returns its approximate size on the wire in bytes.
    pub(crate) fn size(&self) -> usize {
        GRANT_BYTES.0
            + GRANT_BYTES.1 * (self.slots.len() + self.limits.len())
            + GRANT_BYTES.2 * self.virtual_times.len()
    }
}

impl Message {
    /// Returns the service that the message is about.
    pub(crate) fn service(&self) -> ServiceKey {
        match self {
            Message::Report(m) => m.service,
            Message::SlotGrant(m) => m.service,
            Message::UsageUpdates(m) => m.service,
        }
    }
}

/// Returns the short hash of a service's name.
pub(crate) fn service_key(id: &crate::ServiceId) -> ServiceKey {
    xxhash_rust::xxh3::xxh3_64(id.as_str().as_bytes()) as ServiceKey
}
