//! A router as others see it.

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
    /// Its name.
    pub id: RouterId,
    /// Which start of it; 0 while it is only listed.
    pub incarnation: Incarnation,
    /// Where routers reach it.
    pub addr: SocketAddr,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where operators reach it, if it said so.
    pub operators: Option<SocketAddr>,
    /// Its availability zone.
    pub zone: Zone,
    /// What is known of its health.
    pub state: State,
    /// It shuts down, by its own word or the list's: no new work for it.
    pub leaving: bool,
    /// The platform does not answer it, by its own word.
    pub no_platform: bool,
    /// Its heartbeats arrive here.
    pub inbound_ok: bool,
    /// It says nothing of missing this router's heartbeats.
    pub outbound_ok: bool,
    /// The revision of the configuration that it has in force.
    pub config: u64,
    /// The revision of the platform's list that it has seen.
    pub list: u64,
    /// Its load, as it reports it.
    pub load: u32,
}

/// What is known of a router's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum State {
    /// The platform lists it; nothing was heard of it yet.
    Listed,
    /// It beats, or another router vouches for it.
    Live,
    /// It has been silent for longer than usual.
    Suspect,
    /// It stayed silent.
    Dead,
    /// It said that it goes, and went.
    Left,
}

/// An entry of the platform's list of routers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listed {
    /// Its name.
    pub id: RouterId,
    /// Where routers reach it.
    pub addr: SocketAddr,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// The platform says that it is leaving.
    pub leaving: bool,
}

impl Member {
    /// Tells whether it is counted as part of the fleet: listed, live or suspect.
    pub fn up(&self) -> bool {
        matches!(self.state, State::Listed | State::Live | State::Suspect)
    }

    /// Tells whether it may be given new work: up, not suspect and not leaving.
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
