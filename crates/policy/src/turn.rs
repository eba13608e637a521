//! Work on the platform's store that one router at a time does for all.

use crate::Span;

/// How often a router looks whether it is its turn.
pub(crate) const POLL_INTERVAL: Span = Span::millis(50);
/// How many routers take their turn in a second once the work is due, on average. It rises by
/// as much for each [`RISE`] that nobody did: the first does after 0.1 s, none after 0.5 s once in
/// 6,000 times, and about two do before all have heard of it.
const TAKERS: f64 = 5.0;
/// See [`TAKERS`].
const RISE: Span = Span::millis(100);

/// Draws whether a router takes its turn at work that has been due for `over`.
///
/// Who is next is drawn anew at each look. Where each router drew a time to wait when it had
/// done the work, the short ones were used up by those who did it, and those who did not kept
/// theirs: after a minute nobody waited for less than half of the longest time, 3 s at 60
/// routers.
pub(crate) fn is_drawn(roll: f64, over: Span, routers: usize) -> bool {
    let rise = 1.0 + over.as_secs() / RISE.as_secs();
    let chance = POLL_INTERVAL.as_secs() * TAKERS * rise / routers.max(1) as f64;
    roll < chance
}
