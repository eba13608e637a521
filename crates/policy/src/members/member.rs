//! A member of the fleet, as this router sees it.

use {
    crate::{
        Incarnation,
        RouterId,
        Zone, //
    },
    std::{
        fmt,
        net::SocketAddr, //
    },
};

/// A router as this one sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The router's name.
    pub id: RouterId,
    /// The incarnation of its process; 0 while it is only listed.
    pub incarnation: Incarnation,
    /// The address for other routers.
    pub addr: SocketAddr,
    /// The address for callers.
    pub caller_addr: SocketAddr,
    /// The address for operators, if the router announced one.
    pub operator_addr: Option<SocketAddr>,
    /// Its availability zone.
    pub zone: Zone,
    /// Its health.
    pub state: State,
    /// It is shutting down, according to itself or to the list, and gets no new work.
    pub leaving: bool,
    /// It reports that it cannot reach the platform.
    pub no_platform: bool,
    /// Its heartbeats arrive here.
    pub inbound_ok: bool,
    /// It does not report this router's heartbeats as missing.
    pub outbound_ok: bool,
    /// The revision of the configuration that it has in force.
    pub config: u64,
    /// The revision of the platform's list that it has seen.
    pub list: u64,
    /// The load that it reports.
    pub load: u32,
}

/// The health of a router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum State {
    /// The platform lists it; no heartbeat was received yet.
    Listed,
    /// Its heartbeats arrive here or at another router.
    Live,
    /// It has been silent for longer than its timeout.
    Suspect,
    /// It stayed silent while suspected.
    Dead,
    /// It announced its shutdown and has ended.
    Left,
}

/// An entry of the platform's list of routers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listed {
    /// The router's name.
    pub id: RouterId,
    /// The address for other routers.
    pub addr: SocketAddr,
    /// The address for callers.
    pub caller_addr: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// The platform lists it as leaving.
    pub leaving: bool,
}

impl Member {
    /// Returns whether it counts as part of the fleet: listed, live or suspect.
    pub fn up(&self) -> bool {
        matches!(self.state, State::Listed | State::Live | State::Suspect)
    }

    /// Returns whether it may get new work: up, not suspect and not leaving.
    pub fn takes_work(&self) -> bool {
        self.up() && self.state != State::Suspect && !self.leaving
    }
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            State::Listed => "listed",
            State::Live => "live",
            State::Suspect => "suspect",
            State::Dead => "dead",
            State::Left => "left",
        })
    }
}
