//! Health of a replica, as observed by this router.

use crate::{
    Span,
    Time, //
};

/// Consecutive failures after which a replica is avoided for a while.
const FAILURE_LIMIT: u32 = 2;
/// First and maximum backoff.
const BACKOFF_RANGE: (Span, Span) = (Span::millis(50), Span::secs(5));

/// Circuit breaker on the consecutive failures of one replica.
///
/// A replica that fails at once is always idle, so it would attract all requests and fail them
/// one after the other, which causes a storm of retries. After some consecutive failures it
/// gets one request at a time, at increasing intervals.
#[derive(Debug, Default)]
pub(crate) struct Health {
    failures: u32,
    paused_until: Time,
}

impl Health {
    /// Records how a request ended.
    pub(crate) fn record(&mut self, ok: bool, now: Time) {
        if ok {
            self.failures = 0;
            return;
        }
        self.failures += 1;
        if self.failures >= FAILURE_LIMIT {
            let backoff = BACKOFF_RANGE.0 .0 << (self.failures - FAILURE_LIMIT).min(16);
            self.paused_until = now + Span(backoff).min(BACKOFF_RANGE.1);
        }
    }

    /// Returns whether any request may start while `running` run.
    pub(crate) fn admits_any(&self, running: u32, now: Time) -> bool {
        self.admits(1, running, now) > 0
    }

    /// Returns how many of `free` requests may start while `running` run.
    pub(crate) fn admits(&self, free: u32, running: u32, now: Time) -> u32 {
        if self.failures < FAILURE_LIMIT {
            return free;
        }
        let trial = now >= self.paused_until && running == 0;
        free.min(u32::from(trial))
    }
}
