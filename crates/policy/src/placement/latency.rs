//! Response times of plain services, learned from their responses.

use {
    super::{
        ReplicaKey,
        ReplicaMap, //
    },
    crate::Span,
};

/// Weight of a new sample in the mean, which then reflects about the last 15 responses.
const SMOOTHING: f64 = 0.07;
/// Assumed time in seconds while no replica has responded yet.
const DEFAULT_S: f64 = 0.05;

/// The mean response time of each replica of a plain service.
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
    means: ReplicaMap<f64>,
    /// The lowest of the means.
    lowest: Option<f64>,
}

// A replica without samples counts as the fastest known one. If it counted as slower, it would get
// no request as long as the others are idle enough.
impl Latencies {
    /// Records the time that a response took.
    pub fn record(&mut self, replica: ReplicaKey, took: Span) {
        let known = self.of(replica);
        let mean = known + (took.as_secs() - known) * SMOOTHING;
        let before = self.means.insert(replica, mean);
        match self.lowest {
            Some(lowest) if mean > lowest && before == Some(lowest) => self.find_lowest(),
            lowest => self.lowest = Some(lowest.map_or(mean, |lowest| lowest.min(mean))),
        }
    }

    fn find_lowest(&mut self) {
        self.lowest = self.means.values().copied().reduce(f64::min);
    }

    /// Returns the mean time in seconds.
    pub fn of(&self, replica: ReplicaKey) -> f64 {
        let known = self.means.get(&replica).copied();
        known.or(self.lowest).unwrap_or(DEFAULT_S)
    }

    /// Drops a replica that has ended.
    pub fn remove(&mut self, replica: ReplicaKey) {
        if self.means.remove(&replica) == self.lowest {
            self.find_lowest();
        }
    }
}
