//! The choice among replicas of a plain service.

use {
    super::{
        Bound,
        Choice,
        Load,
        Pick,
        ReplicaKey, //
    },
    crate::{
        AnswerState,
        ReplicaId,
        Span, //
    },
};

/// Requests for each slot from which a replica counts as full.
///
/// A request behind two others for each slot waits twice the usual time, which is within
/// most latency targets; what comes beyond would be shed by the replica itself, and each
/// shed request is a wasted send.
const FULL: f64 = 2.5;
/// What another availability zone adds to the expected time, in seconds: there and back.
const FAR_S: f64 = 0.003;
/// Part of its mean time that an idle replica is expected to take, so that the quicker one of
/// two idle ones is told.
const IDLE_PART: f64 = 0.3;
/// Multiples of the expected time that a penalty of 1 adds: one that always fails comes after
/// sound ones with four times its work.
const PENALTY: f64 = 4.0;
/// When a request that finds all replicas full may come back.
const AGAIN: Span = Span::millis(150);

/// A replica of a plain service that may take the request.
#[derive(Debug, Clone)]
pub struct PlainCandidate {
    /// Its id.
    pub id: ReplicaId,
    /// Its short name.
    pub key: ReplicaKey,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Its work over the fleet.
    pub load: Load,
    /// Mean time of its answers, in seconds.
    pub mean_latency_s: f64,
    /// Whether it stands in this router's availability zone.
    pub same_zone: bool,
    /// Part added to its expected time, for one that fails often; 0 for a sound one.
    pub penalty: f64,
}

/// Chooses the replica that is expected to answer first, or refuses a new request where all are
/// full.
///
/// The expected time is the replica's mean time, stretched by the work that stands before
/// the request. `roll` decides between equal ones, so that routers which see the same don't
/// all choose the same.
pub fn pick_plain(servers: &[PlainCandidate], claim: AnswerState, roll: u64) -> Pick {
    let mut best: Option<(f64, &PlainCandidate)> = None;
    let start = roll as usize % servers.len().max(1);
    for server in servers.iter().cycle().skip(start).take(servers.len()) {
        let full = f64::from(server.load.running) >= f64::from(server.slots) * FULL;
        if full && claim == AnswerState::NotStarted {
            continue;
        }
        let expected = expected(server);
        if best.is_none_or(|(least, _)| expected < least) {
            best = Some((expected, server));
        }
    }
    match best {
        Some((_, server)) => Pick::Run(Choice {
            replica: server.id.clone(),
            key: server.key,
            uncached: 0,
            unread: 0,
            source: None,
        }),
        None => Pick::Refuse {
            retry_after: AGAIN,
            fullness: 1.0,
            bound: Bound::Slots,
        },
    }
}

fn expected(server: &PlainCandidate) -> f64 {
    let queued = f64::from(server.load.running) / f64::from(server.slots.max(1));
    let far = if server.same_zone { 0.0 } else { FAR_S };
    (server.mean_latency_s + far) * (IDLE_PART + queued) * (1.0 + PENALTY * server.penalty)
}
