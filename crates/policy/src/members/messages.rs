//! Heartbeats, and the events of the membership state machine.

use {
    crate::{
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

/// A heartbeat from one router to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub id: RouterId,
    /// The incarnation of the sender.
    pub incarnation: Incarnation,
    /// The sequence number; all heartbeats of one round have the same.
    pub seq: u64,
    /// The sender's addresses; left out of most heartbeats to save bytes.
    #[serde(rename = "intro")]
    pub addresses: Option<RouterAddresses>,
    /// The sender is shutting down.
    pub leaving: bool,
    /// The sender cannot reach the platform.
    pub no_platform: bool,
    /// The revision of the configuration that the sender has in force.
    pub config: u64,
    /// The revision of the platform's list that the sender has seen.
    pub list: u64,
    /// The sender's load.
    pub load: u32,
    /// The receiver should send a heartbeat back at once.
    #[serde(rename = "ask")]
    pub reply_requested: bool,
    /// Routers whose heartbeats are due at the sender but do not arrive.
    #[serde(rename = "deaf")]
    pub missing: Vec<RouterId>,
    /// Gossip about other routers.
    #[serde(rename = "rumours")]
    pub updates: Vec<GossipUpdate>,
}

/// The addresses and the zone of a router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterAddresses {
    /// The address for other routers.
    pub addr: SocketAddr,
    /// The address for callers.
    #[serde(rename = "callers")]
    pub caller_addr: SocketAddr,
    /// The address for operators, if the router announced one.
    #[serde(rename = "operators")]
    pub operator_addr: Option<SocketAddr>,
    /// Its availability zone.
    pub zone: Zone,
}

/// The state of a router, passed on by another one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipUpdate {
    /// The router that the update is about.
    pub id: RouterId,
    /// The incarnation that the update is about.
    pub incarnation: Incarnation,
    /// The last of its heartbeats that the update is based on.
    pub seq: u64,
    /// The reported state.
    #[serde(rename = "word")]
    pub reported: ReportedState,
}

/// The state that an update reports; later variants win at the same sequence number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ReportedState {
    /// The heartbeat was received.
    Live,
    /// The router has been silent since that heartbeat.
    Suspect,
    /// It stayed silent while suspected.
    Dead,
    /// It announced that its process ends.
    Left,
}

/// An action or a change that the caller of the state machine has to handle.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Send a heartbeat. Delivery need not be reliable.
    SendHeartbeat {
        /// The receiver.
        to: RouterId,
        /// The receiver's address.
        addr: SocketAddr,
        /// The heartbeat to send.
        heartbeat: Box<Heartbeat>,
    },
    /// The view has changed in more than the revisions and loads that routers report.
    Changed,
    /// A later incarnation of this router is running; this process should end.
    Replaced(Incarnation),
}
