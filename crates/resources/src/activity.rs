//! How much a connection has sent of late.

use std::time::{
    Duration,
    Instant, //
};

/// Time after which received bytes count half.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Bytes that were received, of which older ones count less.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Activity {
    bytes: f64,
    at: Instant,
}

impl Activity {
    pub(crate) fn new(now: Instant) -> Activity {
        Activity {
            bytes: 0.0,
            at: now,
        }
    }

    pub(crate) fn record(&mut self, bytes: usize, now: Instant) {
        self.bytes = self.recent(now) + bytes as f64;
        self.at = now;
    }

    pub(crate) fn recent(&self, now: Instant) -> f64 {
        if self.bytes == 0.0 {
            return 0.0;
        }
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.bytes * (-age / HALF_LIFE.as_secs_f64()).exp2()
    }
}

#[cfg(test)]
mod tests;
