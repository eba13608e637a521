//! What the gateway asks of the platform's store.

use {
    super::Replica,
    policy::Era,
    std::{
        fmt,
        future::Future,
        pin::Pin,
        time::Duration, //
    },
    thiserror::Error, //
};

pub use policy::Revision;

/// An answer that is on its way.
pub type StoreFuture<T> = Pin<Box<dyn Future<Output = Result<T, StoreError>> + Send>>;

/// Calls to the store. Each makes one call, or one for each page, and repeats nothing.
pub struct Store {
    /// Reads the configuration.
    pub read_config: Box<dyn Fn() -> StoreFuture<Option<Versioned>> + Send + Sync>,
    /// Waits for a change of the configuration after a revision.
    pub watch_config: Box<dyn Fn(Revision, Duration) -> StoreFuture<WatchResult> + Send + Sync>,
    /// Lists all replicas as they are now.
    pub list_replicas: Box<dyn Fn() -> StoreFuture<ReplicaList> + Send + Sync>,
    /// Lists what routers have registered; may be seconds old.
    pub list_routers: Box<dyn Fn() -> StoreFuture<Vec<RegisteredRouter>> + Send + Sync>,
    /// Takes out a lease of this length, and returns it.
    pub grant_lease: Box<dyn Fn(Duration) -> StoreFuture<Lease> + Send + Sync>,
    /// Renews a lease; false where it has ended.
    pub renew_lease: Box<dyn Fn(Lease) -> StoreFuture<bool> + Send + Sync>,
    /// Registers a router of this name under a lease. Returns the revision of its entry.
    pub register: Box<dyn Fn(String, Vec<u8>, Lease) -> StoreFuture<Revision> + Send + Sync>,
    /// Deletes the entry of a router of this name, if it is still as it was written at this revision;
    /// false where it is not.
    pub unregister: Box<dyn Fn(String, Revision) -> StoreFuture<bool> + Send + Sync>,
    /// Returns the newest era that an answer named.
    pub newest_era: Box<dyn Fn() -> Era + Send + Sync>,
}

/// A lease, in the era in which it was given out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// The era that the number belongs to.
    pub era: Era,
    /// Its number.
    pub id: u64,
}

/// All replicas, and the store's revision at which they were read.
#[derive(Debug, Clone)]
pub struct ReplicaList {
    /// The replicas.
    pub replicas: Vec<Replica>,
    /// The revision of the first page.
    pub revision: Revision,
}

/// What a router has registered, as the store has it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegisteredRouter {
    /// The bytes as they were stored.
    pub value: Vec<u8>,
    /// Number of the lease that it stands under.
    pub lease: u64,
}

impl fmt::Display for Lease {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.id)
    }
}

/// A value and the revision at which it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Versioned {
    /// The bytes as they were stored.
    pub value: Vec<u8>,
    /// The store's revision, from which a watch goes on.
    pub revision: Revision,
}

/// What a watch told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchResult {
    /// The newest value among the changes, if there was any.
    pub value: Option<Vec<u8>>,
    /// The revision to go on from.
    pub revision: Revision,
}

/// Why the store gave no answer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StoreError {
    /// Nothing was heard in time, or nobody could be reached.
    #[error("the store gave no answer: {0}")]
    Lost(String),
    /// It turned the call away.
    #[error("the store turned the call away with status {0}")]
    Refused(u16),
    /// The history asked for is no longer kept.
    #[error("the store no longer keeps the history from that revision on")]
    Compacted,
    /// The answer was not understood.
    #[error("the store's answer was not understood: {0}")]
    Form(String),
}

impl fmt::Debug for Store {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Store").finish_non_exhaustive()
    }
}
