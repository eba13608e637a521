//! Statistics of heartbeat intervals, from which the suspicion timeout is derived.

use {
    super::MembershipParams,
    crate::Span, //
};

/// Weight of the newest interval in the averages.
const EWMA_WEIGHT: f64 = 0.1;
/// The timeout is the mean interval plus this many mean deviations.
const TIMEOUT_DEVIATIONS: f64 = 6.0;

/// Moving averages of the intervals between heartbeats, in microseconds.
#[derive(Debug, Clone, Copy)]
pub(super) struct IntervalStats {
    mean: f64,
    deviation: f64,
}

impl IntervalStats {
    pub(super) fn new(params: &MembershipParams) -> IntervalStats {
        IntervalStats {
            mean: params.interval.0 as f64,
            deviation: 0.0,
        }
    }

    pub(super) fn push(&mut self, interval: Span, params: &MembershipParams) {
        let interval = interval.0.min(params.max_timeout.0) as f64;
        let difference = (interval - self.mean).abs();
        self.deviation += (difference - self.deviation) * EWMA_WEIGHT;
        self.mean += (interval - self.mean) * EWMA_WEIGHT;
    }

    /// Returns the silence after which the router is suspected.
    pub(super) fn timeout(&self, params: &MembershipParams) -> Span {
        let timeout = self.mean + TIMEOUT_DEVIATIONS * self.deviation;
        Span(timeout as u64).clamp(params.min_timeout, params.max_timeout)
    }
}
