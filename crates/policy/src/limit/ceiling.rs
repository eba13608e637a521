//! A limit that was recently found too high.

use {
    super::parameters::CEILING_HOLDS,
    crate::{
        Slots,
        Span,
        Time, //
    },
};

/// A limit at which the replica was found to be oversaturated.
#[derive(Debug)]
pub(super) struct Ceiling {
    limit: Slots,
    /// Until when it is not tried again, and the length of that time.
    blocked_until: Time,
    hold: Span,
}

impl Ceiling {
    /// Blocks a limit for a while, for twice as long as the last one.
    pub(super) fn new(limit: Slots, last: Option<Ceiling>, now: Time) -> Ceiling {
        let last = last.map_or(Span::ZERO, |c| c.hold);
        let hold = Span((last.0 * 2).clamp(CEILING_HOLDS[0].0, CEILING_HOLDS[1].0));
        Ceiling {
            limit,
            blocked_until: now + hold,
            hold,
        }
    }

    /// Returns whether a limit may be tried.
    pub(super) fn admits(&self, limit: Slots, now: Time) -> bool {
        now >= self.blocked_until || limit < self.limit
    }
}
