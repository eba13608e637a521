//! The state of one other router.

use {
    crate::{
        Incarnation,
        RouterId,
        Span,
        Time,
        Zone, //
    },
    serde::{
        Deserialize,
        Serialize, //
    },
    std::net::SocketAddr,
    xxhash_rust::xxh3::xxh3_64, //
};

/// A router is considered alive for at least this long after a message from it. Each caller that is
/// sent to a dead router loses a second.
const LIVE_SPAN_MIN: Span = Span::millis(1_000);
/// How long a reported request rate is valid: an active router in a fleet of 370 reports its rate
/// to each of the others every 4 s.
const RATE_VALIDITY: Span = Span::millis(4_500);
/// Number of message intervals without a message after which a router is not alive, since some
/// messages are lost.
const INTERVALS_MAX: f64 = 3.3;
/// An active router that is silent for this long loses its role, no matter which interval it
/// announced. A router that becomes active learns of this from messages of others within 0.2 s.
pub(super) const SILENCE_LIMIT: Span = Span::millis(1_000);

/// What a router reports about itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouterInfo {
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its address for messages of other routers.
    pub peers: SocketAddr,
    /// Its address for callers.
    pub callers: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// Its processor time, in cores.
    pub processor: f32,
    /// Whether callers may be sent to it.
    pub ready: bool,
}

/// Returns a 32-bit key of a router's incarnation: 4 bytes instead of about 25.
pub fn router_key(name: &RouterId, incarnation: Incarnation) -> u32 {
    (xxh3_64(name.as_str().as_bytes()) ^ incarnation.0) as u32
}

/// The kind of a received hello.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HelloKind {
    /// Older than one that was received before.
    Stale,
    /// The first one of this incarnation.
    First,
    /// A later one.
    Later,
}

/// Another router, as of its last message.
#[derive(Debug, Clone)]
pub struct Peer {
    /// What it reported about itself.
    pub info: RouterInfo,
    /// Its requests per second.
    pub(super) rate: f64,
    /// When it last reported the rate.
    pub(super) rate_reported: Time,
    /// Numbers of its last hello and of its last load message.
    pub(super) hello_number: u32,
    pub(super) loads_number: u32,
    /// When it last sent a load message that shows many requests.
    pub(super) busy: Option<Time>,
    /// When it last sent a load message to this router as one active router to another.
    pub(super) addressed: Option<Time>,
    /// When its last message arrived, and the interval until the next one that it announced.
    pub(super) last_received: Time,
    pub(super) next: Span,
    /// Since when it is active.
    pub(super) active: Option<Time>,
    /// It was active and fell silent; cleared when a message from it arrives.
    pub(super) silent: Option<Silence>,
}

/// How a router is known to be silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Silence {
    /// This router received nothing from it.
    Observed,
    /// Another router reported it. Such reports are not passed on: two routers that believe each
    /// other would continue to report one that sends to both of them only every few seconds.
    Reported,
}

impl Peer {
    /// Returns whether it is alive.
    pub(super) fn is_live(&self, now: Time) -> bool {
        self.silent.is_none()
            && now.since(self.last_received) < LIVE_SPAN_MIN.max(self.next * INTERVALS_MAX)
    }

    /// Returns whether it has been active and silent for too long.
    pub(super) fn fell_silent(&self, now: Time) -> bool {
        let since = self.active.map(|at| now.since(at.max(self.last_received)));
        since.is_some_and(|span| span >= SILENCE_LIMIT)
    }

    /// Returns whether it was reported silent and this router, which used to get its load messages
    /// many times a second, receives nothing from it either.
    pub(super) fn is_silent_locally(&self, now: Time) -> bool {
        let was_frequent = self.next < SILENCE_LIMIT;
        self.silent == Some(Silence::Reported)
            && was_frequent
            && now.since(self.last_received) >= SILENCE_LIMIT
    }

    /// Returns whether its rate was reported within the last seconds. Each router takes many
    /// callers while a fleet starts, and rates from that time, of routers that report none any
    /// more, would make all routers active.
    pub(super) fn is_rate_known(&self, now: Time) -> bool {
        now.since(self.rate_reported) < RATE_VALIDITY
    }

    /// Returns whether a message from it arrived a moment ago, no matter what others report.
    pub(super) fn was_just_received(&self, now: Time) -> bool {
        now.since(self.last_received) < LIVE_SPAN_MIN
    }
}
