//! Drawing which router does a task at the platform's store for all.

use crate::Span;

/// How often a router checks whether it is its turn.
pub(crate) const POLL_INTERVAL: Span = Span::millis(50);
/// Average number of routers per second that take a turn once a task is due. It increases by this
/// much for each [`RISE_INTERVAL`] in which none did: the first one does so after 0.1 s, none has
/// done so after 0.5 s in one of 6,000 cases, and about two do before all routers know of it.
const TURNS_PER_S: f64 = 5.0;
/// See [`TURNS_PER_S`].
const RISE_INTERVAL: Span = Span::millis(100);

/// Draws whether a router takes a turn at a task that has been due for `overdue`.
///
/// Each check draws again. If each router drew a time to wait after it had done the task, the
/// routers with short times would use them up and draw again, while the others kept theirs: after a
/// minute no router would wait for less than half of the longest time, which is 3 s with 60
/// routers.
pub(crate) fn is_drawn(roll: f64, overdue: Span, routers: usize) -> bool {
    let factor = 1.0 + overdue.as_secs() / RISE_INTERVAL.as_secs();
    let chance = POLL_INTERVAL.as_secs() * TURNS_PER_S * factor / routers.max(1) as f64;
    roll < chance
}
