//! Token bucket that limits the bytes of messages.

use crate::Time;

/// Bytes that may be sent, refilled at a constant rate.
#[derive(Debug, Default)]
pub(crate) struct ByteBudget {
    bytes: f64,
    refilled_at: Time,
}

impl ByteBudget {
    /// Adds the bytes for the time since the last call, at `rate` bytes per second, up to `burst`.
    pub(crate) fn refill(&mut self, rate: f64, burst: f64, now: Time) {
        let dt = now.since(self.refilled_at).as_secs();
        self.refilled_at = now;
        self.bytes = (self.bytes + dt * rate).min(burst);
    }

    /// Returns whether any bytes are left.
    pub(crate) fn has_bytes(&self) -> bool {
        self.bytes > 0.0
    }

    /// Spends bytes; the last message may overdraw the budget.
    pub(crate) fn spend(&mut self, bytes: usize) {
        self.bytes -= bytes as f64;
    }
}
