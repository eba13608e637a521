//! Calls to the platform's store.

use {
    super::Replica,
    policy::{
        Era,
        EvacuationOrders,
        ReplicaId,
        ZoneChange, //
    },
    std::{
        fmt,
        future::Future,
        pin::Pin,
        time::Duration, //
    },
    thiserror::Error, //
};

pub use policy::Revision;

/// The result of a call to the store.
pub type StoreFuture<T> = Pin<Box<dyn Future<Output = Result<T, StoreError>> + Send>>;

/// Calls to the store. Each sends one request, or one for each page, and never retries.
pub struct Store {
    /// Reads all that operators have written.
    pub read_operators: Box<dyn Fn() -> StoreFuture<OperatorData> + Send + Sync>,
    /// Waits for operators' changes after a revision, for at most the given time.
    pub watch_operators:
        Box<dyn Fn(Revision, Duration) -> StoreFuture<OperatorChanges> + Send + Sync>,
    /// Lists all replicas, up to date.
    pub list_replicas: Box<dyn Fn() -> StoreFuture<ReplicaList> + Send + Sync>,
    /// Returns how the list of replicas changed after a revision, up to date.
    pub replica_changes: Box<dyn Fn(Revision) -> StoreFuture<ReplicaChanges> + Send + Sync>,
    /// Lists the entries of routers, which may be outdated by seconds.
    pub list_routers: Box<dyn Fn() -> StoreFuture<Vec<RegisteredRouter>> + Send + Sync>,
    /// Takes out a lease of this duration.
    pub grant_lease: Box<dyn Fn(Duration) -> StoreFuture<Lease> + Send + Sync>,
    /// Renews a lease. Returns false if it has ended.
    pub renew_lease: Box<dyn Fn(Lease) -> StoreFuture<bool> + Send + Sync>,
    /// Registers a router of this name under a lease. Returns the revision of its entry.
    pub register: Box<dyn Fn(String, Vec<u8>, Lease) -> StoreFuture<Revision> + Send + Sync>,
    /// Deletes the entry of a router of this name if it is unchanged since this revision. Returns
    /// false if it is not.
    pub unregister: Box<dyn Fn(String, Revision) -> StoreFuture<bool> + Send + Sync>,
    /// Returns the newest era that any answer reported.
    pub newest_era: Box<dyn Fn() -> Era + Send + Sync>,
}

/// A lease, and the era in which it was granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// The era in which the id is valid.
    pub era: Era,
    /// Id of the lease.
    pub id: u64,
}

/// All replicas, and the store's revision at which they were read.
#[derive(Debug, Clone)]
pub struct ReplicaList {
    /// The replicas.
    pub replicas: Vec<Replica>,
    /// The revision of the first page.
    pub revision: Revision,
    /// What else is in the list.
    pub skipped: SkippedEntries,
}

/// Entries of the list that name no replica to use, as far as this router read them from the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SkippedEntries {
    /// How many there are.
    pub count: usize,
    /// Some of them.
    pub shown: Vec<SkippedEntry>,
}

/// An entry that names no replica to use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SkippedEntry {
    /// Its id, which may be any text.
    pub id: String,
    /// What is wrong with it.
    pub cause: String,
}

/// How the list of replicas changed.
#[derive(Debug, Clone)]
pub struct ReplicaChanges {
    /// The changes, in order.
    pub changes: Vec<ReplicaChange>,
    /// The revision up to which these are all changes.
    pub revision: Revision,
    /// What else is in the list after them.
    pub skipped: SkippedEntries,
}

/// A change of the list of replicas.
#[derive(Debug, Clone, PartialEq)]
pub enum ReplicaChange {
    /// A replica is listed like this.
    Listed(Replica),
    /// A replica is no longer listed, or its entry can't be read.
    Gone(ReplicaId),
}

/// The stored entry of a router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegisteredRouter {
    /// The bytes as they were stored.
    pub value: Vec<u8>,
    /// Id of the lease that it is bound to.
    pub lease: u64,
}

impl fmt::Display for Lease {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.id)
    }
}

/// What operators have written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorData {
    /// The configuration as it was stored, if there is one.
    pub config: Option<Vec<u8>>,
    /// The zones to evacuate, and the revision from which a watch can continue.
    pub evacuations: EvacuationOrders,
}

/// What operators have changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorChanges {
    /// The newest configuration, if it changed.
    pub config: Option<Vec<u8>>,
    /// Changes of the zones to evacuate, in order.
    pub zones: Vec<ZoneChange>,
    /// The revision to continue from.
    pub revision: Revision,
}

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StoreError {
    /// No connection, or no answer in time.
    #[error("the store gave no answer: {0}")]
    Lost(String),
    /// The store rejected the call with this status.
    #[error("the store rejected the call with status {0}")]
    Refused(u16),
    /// The requested history is no longer available.
    #[error("the store no longer has the history since that revision")]
    Compacted,
    /// A page of a list had no other keys than those before it, although there are more.
    #[error("the list has more than the {0} keys that its pages go on to return")]
    Stuck(usize),
    /// A list has more keys than any fleet.
    #[error("the list has more than {0} keys")]
    Endless(usize),
    /// The answer could not be decoded.
    #[error("the store's answer could not be decoded: {0}")]
    Form(String),
}

impl StoreError {
    /// Returns whether the same call is likely to fail again, since the fault is in the call or in
    /// what is stored.
    pub(crate) fn is_lasting(&self) -> bool {
        match self {
            StoreError::Stuck(_) | StoreError::Endless(_) | StoreError::Form(_) => true,
            StoreError::Refused(status) => (400..500).contains(status) && *status != 429,
            StoreError::Lost(_) | StoreError::Compacted => false,
        }
    }
}

impl fmt::Debug for Store {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Store").finish_non_exhaustive()
    }
}
