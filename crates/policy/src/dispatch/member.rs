//! Routers and replicas, as the dispatcher sees them.

use {
    crate::{
        Incarnation,
        ReplicaId,
        RouterId,
        ServiceId,
        Zone, //
    },
    serde::{
        Deserialize,
        Serialize, //
    },
};

/// Membership state of a router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerState {
    /// Its messages arrive.
    Live,
    /// It has been silent for a while.
    Suspect,
    /// It announced its shutdown, or the platform's list says so.
    Leaving,
}

/// A router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Its name.
    pub id: RouterId,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Where it runs.
    pub zone: Zone,
    /// Its membership state.
    pub state: PeerState,
}

/// A replica of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// Its name.
    pub id: ReplicaId,
    /// The service that it provides.
    pub service: ServiceId,
    /// Where it runs.
    pub zone: Zone,
    /// Whether it is shutting down and gets no new work.
    pub leaving: bool,
}
