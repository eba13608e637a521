//! What is known of one other router.

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

/// A router counts as there for this long at least after it was heard. Callers that are sent to
/// one that is down lose a second each.
const LEAST: Span = Span::millis(1_000);
/// The rate that a router told counts for this long: an active one of 370 tells each other one its
/// rate every 4 s.
const RATE_KNOWN: Span = Span::millis(4_500);
/// And for so many times between two of its words, as some are lost.
const MISSED: f64 = 3.3;
/// An active router that is silent for this long has lost its place, whatever it said of its
/// next word. One that is new in its place hears so from others' words within 0.2 s.
pub(super) const SILENT: Span = Span::millis(1_000);

/// Who a router is, as it tells the others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouterInfo {
    /// This start of it.
    pub incarnation: Incarnation,
    /// Where it hears the others.
    pub peers: SocketAddr,
    /// Where it takes callers.
    pub callers: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// The processor time that it has, in cores.
    pub processor: f32,
    /// Whether callers may be sent there.
    pub ready: bool,
}

/// Returns the short name of a router's start, 4 bytes in place of about 25.
pub fn router_key(name: &RouterId, incarnation: Incarnation) -> u32 {
    (xxh3_64(name.as_str().as_bytes()) ^ incarnation.0) as u32
}

/// What a word of another router was.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HelloKind {
    /// Older than what is known.
    Stale,
    /// The first of this start of it.
    First,
    /// A later one.
    Later,
}

/// Another router, as it was last heard.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Who it is.
    pub intro: RouterInfo,
    /// Requests a second that it takes.
    pub(super) rate: f64,
    /// When it last told that.
    pub(super) introduced: Time,
    /// Number of its last introduction, and of its last word on its loads.
    pub(super) hello: u32,
    pub(super) loads: u32,
    /// When it last told its loads and had many requests.
    pub(super) busy: Option<Time>,
    /// When it last told its loads to this router as one active router to another.
    pub(super) addressed: Option<Time>,
    /// When it was last heard, and how much later its next word was to come.
    pub(super) heard: Time,
    pub(super) next: Span,
    /// Since when it is active.
    pub(super) active: Option<Time>,
    /// It was active, and was silent for too long; cleared when it is heard.
    pub(super) silent: Option<Silence>,
}

/// How it is known that a router is silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Silence {
    /// This router heard nothing.
    Seen,
    /// Another one said so. It is not passed on: two routers that believe each other would go on
    /// telling of one that speaks to both every few seconds.
    Told,
}

impl Peer {
    /// Tells whether it is there.
    pub(super) fn is_live(&self, now: Time) -> bool {
        self.silent.is_none() && now.since(self.heard) < LEAST.max(self.next * MISSED)
    }

    /// Tells whether it has been active and silent for too long.
    pub(super) fn lost_place(&self, now: Time) -> bool {
        let since = self.active.map(|at| now.since(at.max(self.heard)));
        since.is_some_and(|span| span >= SILENT)
    }

    /// Tells whether another said that it is silent, and this router, which it told its loads many
    /// times a second, does not hear it either.
    pub(super) fn is_silent_here(&self, now: Time) -> bool {
        let was_near = self.next < SILENT;
        self.silent == Some(Silence::Told) && was_near && now.since(self.heard) >= SILENT
    }

    /// Tells whether its rate is of the last seconds. While a fleet starts each router takes many
    /// callers; with what those told then that tell nothing now, all were taken to be needed.
    pub(super) fn is_rate_known(&self, now: Time) -> bool {
        now.since(self.introduced) < RATE_KNOWN
    }

    /// Tells whether it was heard a moment ago, whatever others say.
    pub(super) fn just_heard(&self, now: Time) -> bool {
        now.since(self.heard) < LEAST
    }
}
