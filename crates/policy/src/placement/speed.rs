//! How fast engines read prompts, learnt from the time to the first event.

use {
    super::{
        ReplicaKey,
        ReplicaMap, //
    },
    crate::Span,
};

/// Speed of an engine that is not known yet, in tokens a millisecond: between the two that
/// were seen (82 and 157 with nothing else to do).
const UNKNOWN: f64 = 90.0;
/// Slowest and fastest that are believed, in tokens a millisecond.
const RANGE: (f64, f64) = (4.0, 400.0);
/// How much of a new sample goes into the mean.
const STEP: f64 = 0.05;
/// Samples of fewer unread tokens tell of the network and the generation, not of reading.
const LEAST: u64 = 3_000;
/// Time from sending to the first event that is not reading: network, a step, its token.
const BASE_MS: f64 = 25.0;

/// The reading speed of each engine.
///
/// # Examples
///
/// ```
/// use policy::{placement::{ReplicaKey, Speeds}, Span};
///
/// let mut speeds = Speeds::default();
/// let before = speeds.of(ReplicaKey(1));
/// for _ in 0..200 {
///     speeds.record(ReplicaKey(1), 12_000, Span::millis(1_025));
/// }
/// assert!(speeds.of(ReplicaKey(1)) < before);
/// ```
#[derive(Debug, Default)]
pub struct Speeds {
    each: ReplicaMap<f64>,
    mean: Option<f64>,
}

impl Speeds {
    /// Notes a first event that came `took` after its request was sent, when the replica had
    /// `unread` tokens to read, the request's own included.
    pub fn record(&mut self, replica: ReplicaKey, unread: u64, took: Span) {
        if unread < LEAST {
            return;
        }
        let ms = (took.as_secs() * 1e3 - BASE_MS).max(1.0);
        let sample = (unread as f64 / ms).clamp(RANGE.0, RANGE.1);
        let known = self.of(replica);
        let mean = self.mean.get_or_insert(UNKNOWN);
        *mean += (sample - *mean) * STEP / 4.0;
        self.each.insert(replica, known + (sample - known) * STEP);
    }

    /// Returns an engine's speed in tokens a millisecond.
    pub fn of(&self, replica: ReplicaKey) -> f64 {
        let known = self.each.get(&replica).copied();
        known.or(self.mean).unwrap_or(UNKNOWN)
    }

    /// Forgets engines that are gone.
    pub fn retain(&mut self, live: impl Fn(ReplicaKey) -> bool) {
        self.each.retain(|key, _| live(*key));
    }
}
