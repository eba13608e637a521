//! Whether a replica answers well, as this router has seen it.

use crate::{
    Span,
    Time, //
};

/// Failures in a row after which a replica is let alone for a while.
const FAILS: u32 = 2;
/// First and longest time that it is let alone.
const PAUSE: (Span, Span) = (Span::millis(50), Span::secs(5));

/// The failures of one replica in a row.
///
/// A replica that fails at once is always idle, so it would draw all requests to itself
/// and fail them one after the other. It shows as a storm of retries. So after some
/// failures in a row it gets one request at a time, with growing pauses between.
#[derive(Debug, Default)]
pub(crate) struct Health {
    fails: u32,
    until: Time,
}

impl Health {
    /// Notes how a request ended.
    pub(crate) fn note(&mut self, ok: bool, now: Time) {
        if ok {
            self.fails = 0;
            return;
        }
        self.fails += 1;
        if self.fails >= FAILS {
            let doubled = PAUSE.0 .0 << (self.fails - FAILS).min(16);
            self.until = now + Span(doubled).min(PAUSE.1);
        }
    }

    /// Returns whether it is not let alone at present.
    pub(crate) fn admits_any(&self, running: u32, now: Time) -> bool {
        self.admits(1, running, now) > 0
    }

    /// Returns how many of `free` requests may start while `running` run.
    pub(crate) fn admits(&self, free: u32, running: u32, now: Time) -> u32 {
        if self.fails < FAILS {
            return free;
        }
        let probe = now >= self.until && running == 0;
        free.min(u32::from(probe))
    }
}
