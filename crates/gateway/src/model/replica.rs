//! Replicas as they are listed.

use {
    policy::{
        ReplicaId,
        ServiceId,
        Zone, //
    },
    serde::{
        Deserialize,
        Serialize, //
    },
    std::net::SocketAddr, //
};

/// One start of one replica.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Replica {
    /// Its id, which names this start alone.
    pub id: ReplicaId,
    /// What it offers.
    pub service: ServiceId,
    /// Where it listens. Another replica may get the address once this one is gone.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: State,
}

/// Whether a replica takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It takes requests.
    Ready,
    /// It finishes what it has and then ends.
    Draining,
}
