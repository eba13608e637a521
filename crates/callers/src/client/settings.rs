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
    /// Routers to ask for addresses, tried in this order.
    pub routers: Vec<SocketAddr>,
    /// Calls go to `routers` in their order, whatever the fleet would advise; for measuring.
    pub pinned: bool,
    /// The caller's availability zone.
    pub zone: Option<Zone>,
    /// The workspace named when asking for addresses.
    pub workspace: Option<WorkspaceId>,
    /// How many tickets are asked for at a time.
    pub tickets: u32,
    /// Most tries of one call, the first included.
    pub max_attempts: usize,
    /// Time for a call without a deadline.
    pub timeout: Duration,
    /// Longest time without a byte before an answer counts as lost. It must be above the
    /// time that a request may be queued: what is asked again loses its place.
    pub idle_timeout: Duration,
}

impl ClientSettings {
    /// Makes the usual settings.
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
