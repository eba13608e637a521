//! Replicas that fail, are silent or can't be reached.

use crate::{
    Span,
    Time, //
};

/// Weight of a new result in the failure rate, which then reflects about the last 10 results.
const SMOOTHING: f64 = 0.1;
/// First backoff of a replica that could not be reached or fell silent. It doubles with each
/// further failure.
const BACKOFF_MIN: Span = Span::millis(300);
/// Longest backoff, which bounds the time until a recovered replica gets requests.
const BACKOFF_MAX: Span = Span::millis(2_400);
/// Broken responses in a row after which a replica gets a backoff. Some replicas break one response
/// in forty and serve the others; a crashed one breaks all of them.
const BROKEN_LIMIT: u32 = 3;
/// Failure rate in excess of the service's usual one from which a replica is penalized.
///
/// Services fail some requests by themselves (up to one in seven), evenly over their replicas.
const EXCESS_TOLERANCE: f64 = 0.2;
/// Fullness that is added for each unit of failure rate beyond that: a replica whose failure rate
/// is 0.5 above the usual one counts as 0.6 fuller.
const PENALTY_WEIGHT: f64 = 2.0;

/// The recent results of one replica.
///
/// # Examples
///
/// ```
/// use policy::{placement::Health, Span, Time};
///
/// let mut health = Health::default();
/// assert!(health.is_available(Time(0)));
/// health.unreachable(Time(0));
/// assert!(!health.is_available(Time(0)));
/// assert!(health.is_available(Time(0) + Span::secs(1)));
/// ```
#[derive(Debug, Clone, Default)]
pub struct Health {
    failures: f64,
    backoff_until: Option<Time>,
    backoff: Span,
    /// When a probe request was sent after a backoff, if its result is not known yet.
    probing_since: Option<Time>,
    /// Broken responses since the last complete one.
    broken: u32,
}

impl Health {
    /// Records a response: a success, or a failure that the replica reported itself.
    pub fn answered(&mut self, ok: bool) {
        self.failures += (f64::from(u8::from(!ok)) - self.failures) * SMOOTHING;
        self.backoff_until = None;
        self.probing_since = None;
        self.broken = 0;
        if ok {
            self.backoff = Span::ZERO;
        }
    }

    /// Records that it aborted a response, or sent one that can't be used.
    pub fn broken(&mut self, now: Time) {
        self.broken += 1;
        match self.broken >= BROKEN_LIMIT || self.backoff_until.is_some() {
            true => self.unreachable(now),
            false => self.failures += (1.0 - self.failures) * SMOOTHING,
        }
    }

    /// Records that it could not be reached, or fell silent.
    pub fn unreachable(&mut self, now: Time) {
        self.failures += (1.0 - self.failures) * SMOOTHING;
        // Many requests fail at once when a replica goes down; they count as one event.
        if self.backoff_until.is_some_and(|until| now < until) {
            return;
        }
        let backoff = if self.backoff == Span::ZERO {
            BACKOFF_MIN
        } else {
            Span((self.backoff.0 * 2).min(BACKOFF_MAX.0))
        };
        self.backoff = backoff;
        self.backoff_until = Some(now + backoff);
        self.probing_since = None;
    }

    /// Returns whether it may get a request. After a backoff it gets one probe request at a time.
    pub fn is_available(&self, now: Time) -> bool {
        match (self.backoff_until, self.probing_since) {
            (None, _) => true,
            (Some(until), None) => now >= until,
            // The probe may have ended without a result.
            (Some(_), Some(since)) => now.since(since) > BACKOFF_MAX,
        }
    }

    /// Records that a request is sent to it.
    pub fn sent(&mut self, now: Time) {
        if self.backoff_until.is_some() {
            self.probing_since = Some(now);
        }
    }

    /// Returns its failure rate.
    pub fn failures(&self) -> f64 {
        self.failures
    }

    /// Returns the fullness to add for failures, where `usual` is the usual failure rate of its
    /// service.
    pub fn penalty(&self, usual: f64) -> f64 {
        (self.failures - usual - EXCESS_TOLERANCE).max(0.0) * PENALTY_WEIGHT
    }
}
