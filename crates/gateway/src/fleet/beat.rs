//! What routers tell each other all the time.

use {
    policy::{
        placement::{
            Load,
            ReplicaKey, //
        },
        quota::{
            Asked,
            WorkspaceKey, //
        },
        Incarnation,
        RouterId,
        Zone, //
    },
    serde::{
        Deserialize,
        Serialize, //
    },
    std::net::SocketAddr, //
};

/// A router's word on itself. The newest replaces all before it, so a lost one is made good
/// by the next, and they go as datagrams: a connection that has gone silent would hold back
/// every later one, and a stream repeats what is old before it passes on what is new.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Beat {
    pub(crate) name: RouterId,
    /// This start of it.
    pub(crate) incarnation: Incarnation,
    /// Number of this word within that start; a later one is higher.
    pub(crate) number: u64,
    pub(crate) zone: Zone,
    /// Where it hears its peers.
    pub(crate) peers: SocketAddr,
    /// Where it takes callers.
    pub(crate) callers: SocketAddr,
    /// Whether callers may be sent there.
    pub(crate) ready: bool,
    /// The version of the configuration it has in force, 0 without.
    pub(crate) config: u64,
    /// Its requests at each replica.
    pub(crate) loads: Vec<(ReplicaKey, Load)>,
    /// What workspaces asked of it over the window, and were given.
    pub(crate) counts: Vec<(WorkspaceKey, Asked)>,
    /// Replicas that left of late.
    pub(crate) left: Vec<ReplicaKey>,
    /// Where some of its peers hear theirs; empty in most words.
    pub(crate) known: Vec<SocketAddr>,
}

impl Beat {
    /// Writes it as one datagram.
    pub(crate) fn encode(&self) -> Result<Vec<u8>, rmp_serde::encode::Error> {
        rmp_serde::to_vec(self)
    }

    pub(crate) fn decode(bytes: &[u8]) -> Result<Beat, rmp_serde::decode::Error> {
        rmp_serde::from_slice(bytes)
    }
}
