//! How many requests a second a router takes.

use crate::{
    Span,
    Time, //
};

/// Time over which requests are counted. Active routers change where it does, and with them the
/// connections of their callers.
const OVER: Span = Span::secs(2);

/// Requests a second, as a mean that forgets.
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

    /// Works the mean out anew, at most every half second.
    pub(super) fn refresh(&mut self, now: Time) {
        let passed = now.since(self.since);
        if passed < OVER * 0.25 {
            return;
        }
        let sample = f64::from(self.counted) / passed.as_secs();
        let weight = (passed.as_secs() / OVER.as_secs()).min(1.0);
        self.mean += (sample - self.mean) * weight;
        self.counted = 0;
        self.since = now;
    }

    pub(super) fn per_second(&self) -> f64 {
        self.mean
    }
}
