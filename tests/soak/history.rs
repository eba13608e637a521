//! What callers sent and received, and what replicas received and announced.

use std::{
    fmt,
    str::FromStr,
    sync::Mutex,
    time::{
        Duration,
        Instant, //
    },
};

/// A request of a caller; its number is unique within a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct RequestId {
    pub(crate) router: usize,
    pub(crate) number: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "r{}-{}", self.router, self.number)
    }
}

impl FromStr for RequestId {
    type Err = ();

    fn from_str(text: &str) -> Result<RequestId, ()> {
        let (router, number) = text
            .strip_prefix('r')
            .and_then(|t| t.split_once('-'))
            .ok_or(())?;
        Ok(RequestId {
            router: router.parse().map_err(|_| ())?,
            number: number.parse().map_err(|_| ())?,
        })
    }
}

/// One start of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct ReplicaStart {
    pub(crate) replica: usize,
    pub(crate) start: u32,
}

impl fmt::Display for ReplicaStart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "i-{}.{}", self.replica, self.start)
    }
}

impl FromStr for ReplicaStart {
    type Err = ();

    fn from_str(text: &str) -> Result<ReplicaStart, ()> {
        let (replica, start) = text
            .strip_prefix("i-")
            .and_then(|t| t.split_once('.'))
            .ok_or(())?;
        Ok(ReplicaStart {
            replica: replica.parse().map_err(|_| ())?,
            start: start.parse().map_err(|_| ())?,
        })
    }
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    Single,
    Idempotent,
    Stream,
}

/// What a caller knows of one of its requests.
#[derive(Debug, Clone)]
pub(crate) struct Exchange {
    pub(crate) request: RequestId,
    pub(crate) kind: Kind,
    pub(crate) sent: Instant,
    /// The starts of its router's process before it was sent and after it was answered.
    pub(crate) starts: (u32, u32),
    /// None if the connection was closed without a complete answer.
    pub(crate) answer: Option<Answered>,
    /// Whether its caller left before the end.
    pub(crate) left: bool,
    /// Whether its prompt has the part that crashes replicas.
    pub(crate) deadly: bool,
    /// Whether an event of a stream was received.
    pub(crate) begun: bool,
}

/// An answer that a caller received.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Answered {
    pub(crate) at: Instant,
    pub(crate) status: u16,
    /// The replica that signed it.
    pub(crate) replica: Option<ReplicaStart>,
    /// It says that this replica is leaving.
    pub(crate) leaving: bool,
}

/// A request that arrived at a replica.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Arrival {
    pub(crate) at: Instant,
    pub(crate) replica: ReplicaStart,
    pub(crate) request: RequestId,
    pub(crate) ran: bool,
}

/// A rejection by a replica that asks for a pause.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Pause {
    /// When the rejected request arrived. The router gets the answer later, so its pause ends no
    /// sooner than this plus the time.
    pub(crate) at: Instant,
    pub(crate) replica: ReplicaStart,
    pub(crate) request: RequestId,
    pub(crate) time: Duration,
}

/// A time in which a router's process was stopped, or the machine was too busy to tell.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Stall {
    /// None: all of them.
    pub(crate) router: Option<usize>,
    pub(crate) from: Instant,
    pub(crate) until: Instant,
}

/// The software of a replica, named in each of its events.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct Software {
    pub(crate) service: &'static str,
    pub(crate) version: u32,
}

impl fmt::Display for Software {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@v{}", self.service, self.version)
    }
}

/// What one attempt of a caller brought of a stream.
#[derive(Debug, Clone)]
pub(crate) struct StreamPart {
    pub(crate) request: RequestId,
    pub(crate) sent: Instant,
    /// The starts of its router's process before it was sent and after it ended.
    pub(crate) starts: (u32, u32),
    /// The last event that its caller had before.
    pub(crate) after: u64,
    /// What wrote its events, as text, in order.
    pub(crate) written: Vec<String>,
}

/// The attempts of a caller at one stream.
pub(crate) type StreamAttempts = Vec<StreamPart>;

/// A replica begins or ceases to serve new requests.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Serving {
    pub(crate) at: Instant,
    pub(crate) replica: usize,
    pub(crate) software: Option<Software>,
}

/// A start of a router's process.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RouterStarted {
    pub(crate) at: Instant,
    pub(crate) router: usize,
}

/// Everything that happened in a run.
#[derive(Debug, Default)]
pub(crate) struct History {
    pub(crate) streams: Mutex<Vec<StreamAttempts>>,
    pub(crate) serving: Mutex<Vec<Serving>>,
    pub(crate) router_starts: Mutex<Vec<RouterStarted>>,
    pub(crate) exchanges: Mutex<Vec<Exchange>>,
    pub(crate) arrivals: Mutex<Vec<Arrival>>,
    pub(crate) pauses: Mutex<Vec<Pause>>,
    /// When replicas crashed under a part of a prompt.
    pub(crate) crashes: Mutex<Vec<Instant>>,
    pub(crate) stalls: Mutex<Vec<Stall>>,
    /// Violations that a caller sees in a single answer.
    pub(crate) violations: Mutex<Vec<String>>,
}

impl History {
    pub(crate) fn report(&self, violation: String) {
        self.violations.lock().unwrap().push(violation);
    }
}
