//! How long plain services take, learnt from their answers.

use {
    super::{
        ReplicaKey,
        ReplicaMap, //
    },
    crate::Span,
};

/// How much of a new sample goes into the mean: about 15 answers tell.
const STEP: f64 = 0.07;
/// Time of a replica while none has answered yet, in seconds.
const UNKNOWN: f64 = 0.05;

/// The mean time that each replica of a plain service takes for a request.
///
/// # Examples
///
/// ```
/// use policy::{placement::{Latencies, ReplicaKey}, Span};
///
/// let mut times = Latencies::default();
/// times.record(ReplicaKey(1), Span::millis(40));
/// times.record(ReplicaKey(2), Span::millis(400));
/// assert!(times.of(ReplicaKey(1)) < times.of(ReplicaKey(2)));
/// ```
#[derive(Debug, Default)]
pub struct Latencies {
    each: ReplicaMap<f64>,
}

// A replica that has not answered yet counts as the quickest that is known. Taken for slower
// it would never be tried while the others are idle enough.
impl Latencies {
    /// Notes how long an answer took.
    pub fn record(&mut self, replica: ReplicaKey, took: Span) {
        let known = self.of(replica);
        let mean = self.each.entry(replica).or_insert(known);
        *mean += (took.as_secs() - *mean) * STEP;
    }

    /// Returns the mean time in seconds.
    pub fn of(&self, replica: ReplicaKey) -> f64 {
        let known = self.each.get(&replica).copied();
        let quickest = || self.each.values().copied().reduce(f64::min);
        known.or_else(quickest).unwrap_or(UNKNOWN)
    }

    /// Forgets replicas that are gone.
    pub fn retain(&mut self, live: impl Fn(ReplicaKey) -> bool) {
        self.each.retain(|key, _| live(*key));
    }
}
