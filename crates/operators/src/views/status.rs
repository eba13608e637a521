//! The status of a router.

use {
    policy::{
        Incarnation,
        RouterId,
        ServiceId,
        Share,
        Span,
        Units,
        WorkspaceId,
        Zone, //
    },
    serde::{
        Deserialize,
        Serialize, //
    },
    std::{
        fmt,
        net::SocketAddr, //
    },
};

/// The status of a router, as `GET /status` returns it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Its name.
    pub name: RouterId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: Zone,
    /// Whether it takes requests.
    pub state: State,
    /// Revision of the configuration in force here; 0 where it has none yet.
    pub revision: u64,
    /// Who wrote that revision.
    pub writer: String,
    /// Whether the platform answered recently.
    pub platform: bool,
    /// Time since this router started, in microseconds.
    pub uptime: Span,
    /// Bytes sent to and received from other routers since the start.
    pub control: u64,
    /// The routers it knows, itself included.
    pub members: Vec<Member>,
    /// The services and their capacity.
    pub services: Vec<ServiceStatus>,
    /// The workspaces that have sent requests to this router.
    pub workspaces: Vec<WorkspaceStatus>,
}

/// The revision in force at a router, as `GET /revision` returns it. Small, as it is polled often.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// Its name.
    pub name: RouterId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Revision of the configuration in force here; 0 where it has none yet.
    pub revision: u64,
}

/// Whether a router takes requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It has no configuration yet.
    Starting,
    /// It takes requests.
    Ready,
    /// It is shutting down.
    Leaving,
}

/// A router as known to another one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: RouterId,
    /// Its incarnation, according to its last heartbeat.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: Zone,
    /// Whether its heartbeats arrive.
    pub state: MemberState,
    /// Address of its `/status`, if it reported one.
    pub operators: Option<SocketAddr>,
    /// The revision in force there, according to its last heartbeat.
    pub revision: u64,
    /// Time since its last heartbeat, in microseconds.
    pub silent: Span,
}

/// Whether a router's heartbeats arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// They arrive in time.
    Live,
    /// Its heartbeat is late.
    Suspect,
    /// It reported that it is shutting down.
    Leaving,
    /// It has been silent for so long that it is considered dead.
    Gone,
}

/// A service's capacity as known to a router.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Its name.
    pub name: ServiceId,
    /// Replicas that take work.
    pub replicas: u32,
    /// Requests that all replicas may run at once, as learnt so far.
    pub limit: u32,
    /// Requests that this router may run at once.
    pub lent: u32,
    /// Requests that this router runs.
    pub running: u32,
    /// Requests queued at this router.
    pub queued: u32,
    /// The largest difference of normalised service between two backlogged workspaces.
    pub gap: Units,
}

/// What a workspace asked of this router since it started, for one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceStatus {
    /// Its name.
    pub name: WorkspaceId,
    /// The service.
    pub service: ServiceId,
    /// Its part of the service relative to other workspaces.
    pub share: Share,
    /// Requests queued.
    pub queued: u32,
    /// Requests running.
    pub running: u32,
    /// Requests answered.
    pub answered: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Service received, in the service's units.
    pub received: Units,
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            State::Starting => "starting",
            State::Ready => "ready",
            State::Leaving => "leaving",
        })
    }
}

impl fmt::Display for MemberState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            MemberState::Live => "live",
            MemberState::Suspect => "suspect",
            MemberState::Leaving => "leaving",
            MemberState::Gone => "gone",
        })
    }
}
