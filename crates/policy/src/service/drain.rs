//! How fast a queue drains.

use crate::{
    Span,
    Time, //
};

/// How long a measurement counts.
const MEMORY: Span = Span::secs(3);
/// Waiting time that must have been seen before a rate is trusted.
const TRUSTED: Span = Span::millis(300);

/// Rate at which requests leave a queue while it is not empty.
#[derive(Debug, Default)]
pub(crate) struct Drain {
    left: f64,
    /// Seconds that the queue was not empty.
    seconds: f64,
    last: Time,
}

impl Drain {
    /// Notes the time that passed, which counts if the queue was not empty.
    pub(crate) fn pass(&mut self, waited: bool, now: Time) {
        let dt = now.since(self.last).as_secs();
        self.last = now;
        if !waited {
            return;
        }
        let keep = (-dt / MEMORY.as_secs()).exp();
        self.left *= keep;
        self.seconds = self.seconds * keep + dt;
    }

    /// Notes that a request left to an endpoint.
    pub(crate) fn left(&mut self) {
        self.left += 1.0;
    }

    /// Returns how long `n` requests take to leave, if that is known.
    pub(crate) fn wait(&self, n: usize) -> Option<Span> {
        if self.seconds < TRUSTED.as_secs() {
            return None;
        }
        // Half a request more than seen: a queue that has not moved yet is not
        // taken for one that never will.
        let rate = (self.left + 0.5) / self.seconds;
        Some(Span((n as f64 / rate * 1e6) as u64))
    }
}
