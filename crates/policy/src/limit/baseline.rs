//! Baseline of one kind of latency: its value while the replica is not saturated.

/// Weight of a lower latency in the baseline; below 1 to filter noise.
const LOWER_WEIGHT: f64 = 0.05;
/// A latency below this multiple of the baseline is not noise: the replica has become faster.
const FASTER_RATIO: f64 = 0.8;
/// Baseline of one kind of latency.
#[derive(Debug)]
pub(super) struct Baseline {
    value: Option<f64>,
}

impl Baseline {
    pub(super) fn new() -> Baseline {
        Baseline { value: None }
    }

    /// Returns a latency as a multiple of the baseline, which it sets or lowers.
    pub(super) fn ratio(&mut self, time: f64) -> f64 {
        let value = self.value.get_or_insert(time);
        let ratio = time / *value;
        if ratio < FASTER_RATIO {
            *value = time;
        } else if ratio < 1.0 {
            *value += (time - *value) * LOWER_WEIGHT;
        }
        ratio
    }

    pub(super) fn value(&self) -> Option<f64> {
        self.value
    }

    /// Sets the baseline to the latency of a replica that is known not to be saturated.
    pub(super) fn set(&mut self, time: f64) {
        self.value = Some(time);
    }
}
