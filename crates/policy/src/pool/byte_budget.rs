//! A budget of bytes.

use crate::Time;

/// Bytes that may be sent, refilled at a rate.
#[derive(Debug, Default)]
pub(crate) struct Bucket {
    bytes: f64,
    last: Time,
}

impl Bucket {
    /// Adds what `rate` bytes a second give since the last call, up to `most`.
    pub(crate) fn refill(&mut self, rate: f64, most: f64, now: Time) {
        let dt = now.since(self.last).as_secs();
        self.last = now;
        self.bytes = (self.bytes + dt * rate).min(most);
    }

    /// Returns whether anything is left.
    pub(crate) fn open(&self) -> bool {
        self.bytes > 0.0
    }

    /// Spends bytes; the last message may overdraw.
    pub(crate) fn spend(&mut self, bytes: usize) {
        self.bytes -= bytes as f64;
    }
}
