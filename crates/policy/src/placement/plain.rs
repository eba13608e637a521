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

/// Requests per slot from which a replica counts as full.
///
/// A request behind two others per slot waits about twice the usual time, which is within most
/// latency targets. The replica itself would shed anything beyond, and sending a request that is
/// shed is wasted work.
const FULL_FACTOR: f64 = 2.5;
/// Time that another availability zone adds to the expected time, in seconds: one round trip.
const CROSS_ZONE_S: f64 = 0.003;
/// Fraction of its mean time that is expected of an idle replica, so that the faster one of two
/// idle replicas wins.
const IDLE_FACTOR: f64 = 0.3;
/// Weight of the penalty in the expected time: a replica that always fails is chosen only after
/// healthy ones with about four times its load.
const PENALTY_WEIGHT: f64 = 4.0;
/// Retry delay when all replicas are full.
const RETRY_DELAY: Span = Span::millis(150);

/// A replica of a plain service that may take the request.
#[derive(Debug, Clone)]
pub struct PlainCandidate {
    /// Its id.
    pub id: ReplicaId,
    /// Its key in messages between routers.
    pub key: ReplicaKey,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Its load over the whole fleet.
    pub load: Load,
    /// Mean time of its responses, in seconds.
    pub mean_latency_s: f64,
    /// Whether it is in this router's availability zone.
    pub same_zone: bool,
    /// Penalty on its expected time where it fails often; 0 for a healthy replica.
    pub penalty: f64,
}

/// Chooses the replica that is expected to respond first, or rejects a new request if all are full.
///
/// The expected time is the replica's mean time, scaled by its queue. `roll` breaks ties, so that
/// routers with the same view don't all choose the same replica.
pub fn pick_plain(candidates: &[PlainCandidate], answer: AnswerState, roll: u64) -> Pick {
    let mut best: Option<(f64, &PlainCandidate)> = None;
    let start = roll as usize % candidates.len().max(1);
    for candidate in candidates.iter().cycle().skip(start).take(candidates.len()) {
        let full = f64::from(candidate.load.running) >= f64::from(candidate.slots) * FULL_FACTOR;
        if full && answer == AnswerState::NotStarted {
            continue;
        }
        let expected = expected(candidate);
        if best.is_none_or(|(least, _)| expected < least) {
            best = Some((expected, candidate));
        }
    }
    match best {
        Some((_, candidate)) => Pick::Run(Choice {
            replica: candidate.id.clone(),
            key: candidate.key,
            uncached: 0,
            unread: 0,
            source: None,
        }),
        None => Pick::Reject {
            retry_after: RETRY_DELAY,
            fullness: 1.0,
            bound: Bound::Slots,
        },
    }
}

fn expected(candidate: &PlainCandidate) -> f64 {
    let queued = f64::from(candidate.load.running) / f64::from(candidate.slots.max(1));
    let zone_delay = if candidate.same_zone {
        0.0
    } else {
        CROSS_ZONE_S
    };
    (candidate.mean_latency_s + zone_delay)
        * (IDLE_FACTOR + queued)
        * (1.0 + PENALTY_WEIGHT * candidate.penalty)
}
