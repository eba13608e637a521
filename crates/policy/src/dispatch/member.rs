//! Routers and replicas, as this part sees them.

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

/// What is believed of a router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerState {
    /// It is heard from.
    Live,
    /// It was not heard from for a while.
    Suspect,
    /// It said that it is leaving, or the platform's list says so.
    Leaving,
}

/// A router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Its name.
    pub id: RouterId,
    /// Which start of it.
    pub incarnation: Incarnation,
    /// Where it runs.
    pub zone: Zone,
    /// What is believed of it.
    pub state: PeerState,
}

/// A replica of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// Its name.
    pub id: ReplicaId,
    /// The service that it offers.
    pub service: ServiceId,
    /// Where it runs.
    pub zone: Zone,
    /// Whether it is leaving and gets no new work.
    pub leaving: bool,
}
