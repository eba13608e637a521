//! How fast engines read prompts, learned from the time to the first event.

use {
    super::{
        ReplicaKey,
        ReplicaMap, //
    },
    crate::Span,
};

/// Assumed speed of an unknown engine, in tokens per millisecond. Idle engines read 82 to 157.
pub(super) const DEFAULT_SPEED: f64 = 90.0;
/// Lowest and highest plausible speed, in tokens per millisecond; samples are clamped to it.
pub(super) const SPEED_RANGE: (f64, f64) = (4.0, 400.0);
/// Weight of a new sample in the mean.
const SMOOTHING: f64 = 0.05;
/// Samples with fewer unread tokens depend on the network and on generation more than on reading.
const SAMPLE_MIN_TOKENS: u64 = 3_000;
/// Time to the first event that is not spent on reading: network, one engine step and its token.
pub(super) const OVERHEAD_MS: f64 = 25.0;

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
    speeds: ReplicaMap<f64>,
    mean: Option<f64>,
}

impl Speeds {
    /// Records that the first event of a request arrived `took` after it was sent, when the replica
    /// had `unread` tokens to read, including those of this request.
    pub fn record(&mut self, replica: ReplicaKey, unread: u64, took: Span) {
        if unread < SAMPLE_MIN_TOKENS {
            return;
        }
        let ms = (took.as_secs() * 1e3 - OVERHEAD_MS).max(1.0);
        let sample = (unread as f64 / ms).clamp(SPEED_RANGE.0, SPEED_RANGE.1);
        let known = self.of(replica);
        let mean = self.mean.get_or_insert(DEFAULT_SPEED);
        *mean += (sample - *mean) * SMOOTHING / 4.0;
        self.speeds
            .insert(replica, known + (sample - known) * SMOOTHING);
    }

    /// Returns the speed of an engine in tokens per millisecond.
    pub fn of(&self, replica: ReplicaKey) -> f64 {
        let known = self.speeds.get(&replica).copied();
        known.or(self.mean).unwrap_or(DEFAULT_SPEED)
    }

    /// Drops an engine that has ended.
    pub fn remove(&mut self, replica: ReplicaKey) {
        self.speeds.remove(&replica);
    }
}
