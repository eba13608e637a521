//! How steadily a router's heartbeats arrive, and what silence is unusual.

use {
    super::MembershipParams,
    crate::Span, //
};

/// Weight of the newest gap in the averages.
const WEIGHT: f64 = 0.1;
/// How many mean deviations above the mean a silence is unusual.
const DEVIATIONS: f64 = 6.0;

/// Moving averages of the gaps between heartbeats, in microseconds.
#[derive(Debug, Clone, Copy)]
pub(super) struct Gaps {
    mean: f64,
    deviation: f64,
}

impl Gaps {
    pub(super) fn new(params: &MembershipParams) -> Gaps {
        Gaps {
            mean: params.interval.0 as f64,
            deviation: 0.0,
        }
    }

    pub(super) fn push(&mut self, gap: Span, params: &MembershipParams) {
        let gap = gap.0.min(params.max_timeout.0) as f64;
        let off = (gap - self.mean).abs();
        self.deviation += (off - self.deviation) * WEIGHT;
        self.mean += (gap - self.mean) * WEIGHT;
    }

    /// Returns the silence after which the router is suspected.
    pub(super) fn limit(&self, params: &MembershipParams) -> Span {
        let unusual = self.mean + DEVIATIONS * self.deviation;
        Span(unusual as u64).clamp(params.min_timeout, params.max_timeout)
    }
}
