//! What routers tell each other about shares and capacity.

use {
    crate::{
        entry::ReplicaKey,
        shares::UsageUpdates,
        Span, //
    },
    serde::{
        Deserialize,
        Serialize, //
    },
};

/// A service, by a short hash of its name.
pub(crate) type ServiceKey = u32;

/// Rough bytes of a lend, of each replica in it and of each level.
const LEND: (usize, usize, usize) = (28, 7, 6);

/// A message between two routers about one service.
///
/// Each is absolute and numbered, so that a lost, doubled, late or overtaken one does no
/// harm. Names are sent as hashes; both ends know the names from elsewhere.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// From a router to the owner of a pool.
    Report(Report),
    /// From the owner of a pool to a router.
    #[serde(rename = "Lend")]
    SlotGrant(SlotGrant),
    /// Between any two routers: how much service workspaces received.
    Notes(UsageUpdates),
}

/// What a router holds and what waits at it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    pub(crate) service: ServiceKey,
    /// How often the router has turned to another owner, or back to this one.
    pub(crate) term: u32,
    /// Number of this report; a later one replaces it.
    pub(crate) seq: u64,
    /// The last lend of this owner that was seen.
    pub(crate) seen: u64,
    /// The last report that was acknowledged; 0 where none was.
    pub(crate) base: u64,
    /// Slots kept on each replica (allowed, or running where that is more) that changed
    /// since then; all where there is no base.
    pub(crate) kept: Vec<(ReplicaKey, u32)>,
    /// Requests running in all.
    pub(crate) running: u32,
    /// The backlogged workspaces. None says that they are much as in the last report that
    /// was acknowledged.
    pub(crate) waits: Option<Vec<Wait>>,
    /// Replicas that can take nothing of what waits.
    pub(crate) shuns: Vec<ReplicaKey>,
    /// Limits of replicas, for an owner that has not lent anything yet.
    pub(crate) limits: Vec<(ReplicaKey, u32)>,
    /// How the replicas answered, now and then.
    pub(crate) loads: Option<Loads>,
}

/// How the replicas answered a router since it last said so.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Loads {
    /// Mean cost of a request, in thousandths of a unit; 0 where none has ended yet.
    pub(crate) cost: u64,
    /// Mean time that a request runs.
    pub(crate) run: Span,
    /// Each replica that was used.
    pub(crate) seats: Vec<Load>,
}

/// How one replica answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Load {
    pub(crate) key: ReplicaKey,
    /// Requests that run on it from this router.
    pub(crate) running: u32,
    /// Mean time to the first byte.
    pub(crate) first: Option<Span>,
    /// Mean time between tokens.
    pub(crate) gap: Option<Span>,
    /// Whether it took all that it was given.
    pub(crate) ok: bool,
    /// What it said of itself: requests that run and that wait inside it.
    pub(crate) said: Option<(u32, u32)>,
}

/// The demand of one backlogged workspace at one router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Wait {
    pub(crate) key: crate::shares::Key,
    /// Requests queued; rounded where there are many.
    pub(crate) queued: u32,
    /// Requests running.
    pub(crate) running: u32,
}

/// How many requests a router may run on each replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotGrant {
    pub(crate) service: ServiceKey,
    /// The term of the last report that was seen. The router takes no lend of an older
    /// one, which another owner may have followed.
    pub(crate) term: u32,
    /// Number of this lend; a later one replaces it.
    pub(crate) seq: u64,
    /// The last lend that the router has seen; 0 where none was.
    pub(crate) base: u64,
    /// The last report of this router that was seen.
    pub(crate) seen: u64,
    /// Whether work waits at some router.
    pub(crate) pressed: bool,
    /// Slots of the whole pool.
    pub(crate) capacity: u32,
    /// Routers that use the pool; the more there are, the less often each reports.
    pub(crate) sharers: u32,
    /// Slots on each replica that changed since then; all where there is no base.
    pub(crate) slots: Vec<(ReplicaKey, u32)>,
    /// For each workspace that waits by the report that was seen, in its order: its
    /// normalised service without what this router counted, in thousandths of a unit.
    pub(crate) levels: Vec<i64>,
    /// Limits of replicas, now and then; the next owner begins with them.
    pub(crate) limits: Vec<(ReplicaKey, u32)>,
}

impl SlotGrant {
    /// Returns roughly how many bytes it takes on the wire.
    pub(crate) fn size(&self) -> usize {
        LEND.0 + LEND.1 * (self.slots.len() + self.limits.len()) + LEND.2 * self.levels.len()
    }
}

impl Message {
    /// Returns the service that it is about.
    pub(crate) fn service(&self) -> ServiceKey {
        match self {
            Message::Report(m) => m.service,
            Message::SlotGrant(m) => m.service,
            Message::Notes(m) => m.service,
        }
    }
}

/// Returns the short hash of a service's name.
pub(crate) fn service_key(id: &crate::ServiceId) -> ServiceKey {
    xxhash_rust::xxh3::xxh3_64(id.as_str().as_bytes()) as ServiceKey
}
