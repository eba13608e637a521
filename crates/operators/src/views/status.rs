//! How a router is doing.

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

/// How a router is doing, as `GET /status` tells it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Its name.
    pub name: RouterId,
    /// This start of it.
    pub incarnation: Incarnation,
    /// The availability zone it stands in.
    pub zone: Zone,
    /// Whether it takes requests.
    pub state: State,
    /// Revision of the configuration in force here; 0 where it has none yet.
    pub revision: u64,
    /// Who wrote that revision.
    pub writer: String,
    /// The platform answered lately.
    pub platform: bool,
    /// Time since this router started, in microseconds.
    pub uptime: Span,
    /// Bytes sent to and received from other routers since the start.
    pub control: u64,
    /// The routers it knows, itself included.
    pub members: Vec<Member>,
    /// The services and their capacity.
    pub services: Vec<ServiceStatus>,
    /// The workspaces that have asked this router for something.
    pub workspaces: Vec<WorkspaceStatus>,
}

/// What a router has in force, as `GET /revision` tells it: small, as it is asked often.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// Its name.
    pub name: RouterId,
    /// This start of it.
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

/// A router as another one sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: RouterId,
    /// The start of it that was heard last.
    pub incarnation: Incarnation,
    /// The availability zone it stands in.
    pub zone: Zone,
    /// Whether it was heard lately.
    pub state: MemberState,
    /// Where its `/status` answers, where it said so.
    pub operators: Option<SocketAddr>,
    /// The revision that it has in force, as it said last.
    pub revision: u64,
    /// Time since it was heard last, in microseconds.
    pub silent: Span,
}

/// Whether a router was heard lately.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// It was.
    Live,
    /// Its heartbeat is late.
    Suspect,
    /// It said that it is shutting down.
    Leaving,
    /// It was silent for so long that it counts as gone.
    Gone,
}

/// A service's capacity as a router sees it.
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
