//! Drain rate of a queue.

use crate::{
    Span,
    Time, //
};

/// Time constant of the exponential decay of measurements.
const DECAY_TIME: Span = Span::secs(3);
/// Backlogged time that must have been observed before a rate is used.
const MIN_OBSERVED: Span = Span::millis(300);

/// Rate at which requests leave a queue while it is not empty.
#[derive(Debug, Default)]
pub(crate) struct DrainRate {
    departed: f64,
    /// Time during which the queue was not empty.
    backlogged_secs: f64,
    updated_at: Time,
}

impl DrainRate {
    /// Accounts for the time since the last call, if the queue was not empty.
    pub(crate) fn advance(&mut self, backlogged: bool, now: Time) {
        let dt = now.since(self.updated_at).as_secs();
        self.updated_at = now;
        if !backlogged {
            return;
        }
        let keep = (-dt / DECAY_TIME.as_secs()).exp();
        self.departed *= keep;
        self.backlogged_secs = self.backlogged_secs * keep + dt;
    }

    /// Records that a request has left for an endpoint.
    pub(crate) fn record_departure(&mut self) {
        self.departed += 1.0;
    }

    /// Returns how long `n` requests take to leave, if known.
    pub(crate) fn time_to_drain(&self, n: usize) -> Option<Span> {
        if self.backlogged_secs < MIN_OBSERVED.as_secs() {
            return None;
        }
        // Adds half a request, so that a queue without departures yet has a rate above zero.
        let rate = (self.departed + 0.5) / self.backlogged_secs;
        Some(Span((n as f64 / rate * 1e6) as u64))
    }
}
