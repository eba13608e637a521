//! Replicas that fail, are silent, or can't be reached.

use crate::{
    Span,
    Time, //
};

/// How much of a new result goes into the part of failures: 10 results tell.
const STEP: f64 = 0.1;
/// First rest of a replica that could not be reached or fell silent. Doubled each time.
const REST: Span = Span::millis(300);
/// Longest rest, so that a replica that is back is found within this time.
const REST_MAX: Span = Span::millis(2_400);
/// Broken answers in a row after which a replica rests. Some replicas break one answer in
/// forty and serve the rest; one that crashed breaks all it has.
const BROKEN: u32 = 3;
/// Part of failures above the service's usual from which it counts against a replica.
///
/// Services fail some requests by themselves (up to one in seven was seen), evenly over
/// their replicas.
const ODD: f64 = 0.2;
/// What each part of failures beyond that adds to a replica's fullness: one that fails half
/// of its requests more than usual counts as 0.6 fuller.
const WEIGHT: f64 = 2.0;

/// What is known of one replica's answers.
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
    resting: Option<Time>,
    rest: Span,
    /// A request was let through to try it after a rest, and its result is not known.
    trying: Option<Time>,
    /// Broken answers since the last whole one.
    broken: u32,
}

impl Health {
    /// Notes an answer, good or a failure of the replica's own.
    pub fn answered(&mut self, ok: bool) {
        self.failures += (f64::from(u8::from(!ok)) - self.failures) * STEP;
        self.resting = None;
        self.trying = None;
        self.broken = 0;
        if ok {
            self.rest = Span::ZERO;
        }
    }

    /// Notes that it broke off an answer, or sent one that can't be used.
    pub fn broken(&mut self, now: Time) {
        self.broken += 1;
        match self.broken >= BROKEN || self.resting.is_some() {
            true => self.unreachable(now),
            false => self.failures += (1.0 - self.failures) * STEP,
        }
    }

    /// Notes that it could not be reached, or fell silent.
    pub fn unreachable(&mut self, now: Time) {
        self.failures += (1.0 - self.failures) * STEP;
        // Many requests fail at once when a replica goes; they are one event.
        if self.resting.is_some_and(|until| now < until) {
            return;
        }
        let rest = if self.rest == Span::ZERO {
            REST
        } else {
            Span((self.rest.0 * 2).min(REST_MAX.0))
        };
        self.rest = rest;
        self.resting = Some(now + rest);
        self.trying = None;
    }

    /// Tells whether it may get a request. After a rest one is let through at a time.
    pub fn is_available(&self, now: Time) -> bool {
        match (self.resting, self.trying) {
            (None, _) => true,
            (Some(until), None) => now >= until,
            // The request that tried it may have ended without a result.
            (Some(_), Some(since)) => now.since(since) > REST_MAX,
        }
    }

    /// Notes that a request is sent to it.
    pub fn sent(&mut self, now: Time) {
        if self.resting.is_some() {
            self.trying = Some(now);
        }
    }

    /// Returns the part of its answers that were failures.
    pub fn failures(&self) -> f64 {
        self.failures
    }

    /// Returns what is added to its fullness, where it fails more than `usual` at its service.
    pub fn penalty(&self, usual: f64) -> f64 {
        (self.failures - usual - ODD).max(0.0) * WEIGHT
    }
}
