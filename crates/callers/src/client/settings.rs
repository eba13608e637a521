//! Settings of the client.

use {
    policy::{
        WorkspaceId,
        Zone, //
    },
    std::{
        net::SocketAddr,
        time::Duration, //
    },
};

/// Settings of a [`Client`](super::Client).
#[derive(Debug, Clone)]
pub struct ClientSettings {
    /// Routers to fetch addresses from, in order of preference.
    pub routers: Vec<SocketAddr>,
    /// Sends calls to `routers` in order instead of fetching addresses; for measurements.
    pub pinned: bool,
    /// The caller's availability zone.
    pub zone: Option<Zone>,
    /// The workspace that is sent when fetching addresses.
    pub workspace: Option<WorkspaceId>,
    /// Number of tickets that are fetched at once.
    pub tickets: u32,
    /// Maximum attempts of one call, including the first.
    pub max_attempts: usize,
    /// Timeout of a call without a deadline.
    pub timeout: Duration,
    /// Longest time without progress before an answer counts as lost. It must exceed the time
    /// that a request may be queued, because a retry loses the position in the queue.
    pub idle_timeout: Duration,
}

impl ClientSettings {
    /// Returns the default settings.
    pub fn new(routers: Vec<SocketAddr>) -> ClientSettings {
        ClientSettings {
            routers,
            pinned: false,
            zone: None,
            workspace: None,
            tickets: 8,
            max_attempts: 3,
            timeout: Duration::from_secs(60),
            idle_timeout: Duration::from_secs(30),
        }
    }
}
