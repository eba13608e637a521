//! What routers tell each other about themselves and others.

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

/// A sign of life of one router, sent to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub id: RouterId,
    /// Which start of it.
    pub incarnation: Incarnation,
    /// Counts its rounds; the same for all that are beaten in one round.
    pub seq: u64,
    /// Where it is; left out of most heartbeats to save bytes.
    pub intro: Option<Intro>,
    /// It shuts down.
    pub leaving: bool,
    /// The platform does not answer it.
    pub no_platform: bool,
    /// The revision of the configuration that it has in force.
    pub config: u64,
    /// The revision of the platform's list that it has seen.
    pub list: u64,
    /// Its load.
    pub load: u32,
    /// It wants a heartbeat back at once.
    #[serde(rename = "ask")]
    pub reply_requested: bool,
    /// Routers whose heartbeats it waits for in vain.
    #[serde(rename = "deaf")]
    pub missing: Vec<RouterId>,
    /// News of others.
    #[serde(rename = "rumours")]
    pub updates: Vec<GossipUpdate>,
}

/// Where a router is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intro {
    /// Where routers reach it.
    pub addr: SocketAddr,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where operators reach it, if it said so.
    pub operators: Option<SocketAddr>,
    /// Its availability zone.
    pub zone: Zone,
}

/// News of a router, passed on by others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipUpdate {
    /// Whom it is about.
    pub id: RouterId,
    /// Which start of it.
    pub incarnation: Incarnation,
    /// The last of its heartbeats that the news rests on.
    pub seq: u64,
    /// The news.
    #[serde(rename = "word")]
    pub state: ReportedState,
}

/// What a rumour says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ReportedState {
    /// It was heard.
    Live,
    /// It has been silent since.
    Suspect,
    /// It stayed silent.
    Dead,
    /// It said goodbye.
    Left,
}

/// What the caller of the state machine has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Send a heartbeat. It may be lost.
    SendHeartbeat {
        /// To whom.
        to: RouterId,
        /// Where that router is.
        addr: SocketAddr,
        /// What to send.
        heartbeat: Box<Heartbeat>,
    },
    /// The view has changed, in more than the figures that routers report of themselves.
    Changed,
    /// A later start of this very router is about; this one should end.
    Replaced(Incarnation),
}
