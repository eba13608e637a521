//! Calls to the platform's store.

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

/// The result of a call to the store.
pub type StoreFuture<T> = Pin<Box<dyn Future<Output = Result<T, StoreError>> + Send>>;

/// Calls to the store. Each sends one request, or one for each page, and never retries.
pub struct Store {
    /// Reads the configuration.
    pub read_config: Box<dyn Fn() -> StoreFuture<Option<Versioned>> + Send + Sync>,
    /// Waits for a change of the configuration after a revision, for at most the given time.
    pub watch_config: Box<dyn Fn(Revision, Duration) -> StoreFuture<WatchResult> + Send + Sync>,
    /// Lists all replicas, up to date.
    pub list_replicas: Box<dyn Fn() -> StoreFuture<ReplicaList> + Send + Sync>,
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

/// A value and the revision at which it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Versioned {
    /// The bytes as they were stored.
    pub value: Vec<u8>,
    /// The store's revision at the time, from which a watch can continue.
    pub revision: Revision,
}

/// The result of a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchResult {
    /// The newest value among the changes, if there were any.
    pub value: Option<Vec<u8>>,
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
    /// The answer could not be decoded.
    #[error("the store's answer could not be decoded: {0}")]
    Form(String),
}

impl fmt::Debug for Store {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Store").finish_non_exhaustive()
    }
}
