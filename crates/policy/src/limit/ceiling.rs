//! A limit that was too high a short while ago.

use {
    super::parameters::HOLD,
    crate::{
        Slots,
        Span,
        Time, //
    },
};

/// A limit at which the replica was found more than full.
#[derive(Debug)]
pub(super) struct Ceiling {
    limit: Slots,
    /// Until when it is not tried again, and for how long it was not.
    until: Time,
    hold: Span,
}

impl Ceiling {
    /// Keeps below a limit for a while; longer than after the last one.
    pub(super) fn new(limit: Slots, last: Option<Ceiling>, now: Time) -> Ceiling {
        let last = last.map_or(Span::ZERO, |c| c.hold);
        let hold = Span((last.0 * 2).clamp(HOLD[0].0, HOLD[1].0));
        Ceiling {
            limit,
            until: now + hold,
            hold,
        }
    }

    /// Returns whether a limit may be tried.
    pub(super) fn admits(&self, limit: Slots, now: Time) -> bool {
        now >= self.until || limit < self.limit
    }
}
