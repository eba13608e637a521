//! The request rate of a router.

use crate::{
    Span,
    Time, //
};

/// Span over which requests are averaged. The set of active routers changes with the rate, and with
/// it the connections of their callers.
const AVERAGING_SPAN: Span = Span::secs(2);

/// Requests per second, as a moving average.
#[derive(Debug, Default)]
pub(super) struct Rate {
    counted: u32,
    since: Time,
    mean: f64,
}

impl Rate {
    pub(super) fn count(&mut self) {
        self.counted += 1;
    }

    /// Updates the average, at most every half second.
    pub(super) fn refresh(&mut self, now: Time) {
        let passed = now.since(self.since);
        if passed < AVERAGING_SPAN * 0.25 {
            return;
        }
        let sample = f64::from(self.counted) / passed.as_secs();
        let weight = (passed.as_secs() / AVERAGING_SPAN.as_secs()).min(1.0);
        self.mean += (sample - self.mean) * weight;
        self.counted = 0;
        self.since = now;
    }

    pub(super) fn per_second(&self) -> f64 {
        self.mean
    }
}
