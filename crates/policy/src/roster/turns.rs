//! Which router reads the list of replicas next.

use crate::{
    turn,
    Span,
    Time, //
};

/// Shortest time between the last known read of any router and the next one. A leaving replica may
/// get requests for 2 s after it withdrew its entry, and it takes another 0.3 s until all
/// routers know.
const FLEET_READ_INTERVAL: Span = Span::millis(450);
/// A router whose list is this much older than those of others reads it itself, as it evidently
/// gets none from them. If no router reads because the store is down, no list counts as too old: if
/// each router read every 4 s instead, 295 routers would send some 40 calls per second to a store
/// that is down.
const LOCAL_LIST_AGE_MAX: Span = Span::secs(4);
/// A read that has been due for longer than this doesn't become more probable, so that an outage of
/// the store doesn't make all routers call it at each check.
const OVERDUE_MAX: Span = Span::millis(500);
/// A peer's list counts as newer from this difference on. Its age is reported in messages that take
/// some time, and two routers that read at the same moment need not ask each other.
const NEWER_MARGIN: Span = Span::millis(100);

/// When the list was read, by this router and by any router.
#[derive(Debug, Clone, Default)]
pub(super) struct Turns {
    /// When this router's list was made.
    list_made: Option<Time>,
    /// Last known read of any router.
    fleet_read: Option<Time>,
}

impl Turns {
    /// Sets when this router's list was made, its own or a peer's.
    pub(super) fn set_made(&mut self, made: Time) {
        self.list_made = Some(made);
    }

    /// Returns whether this router has ever had a list.
    pub(super) fn has_read(&self) -> bool {
        self.list_made.is_some()
    }

    /// Returns whether this router has a list that was made at `made` or later.
    pub(super) fn has_since(&self, made: Time) -> bool {
        self.list_made.is_some_and(|list_made| made <= list_made)
    }

    /// Returns whether a list that was made at `made` is newer by enough to ask for it.
    pub(super) fn is_newer(&self, made: Time) -> bool {
        self.list_made
            .is_none_or(|list_made| made >= list_made + NEWER_MARGIN)
    }

    /// Records that some router read the list.
    pub(super) fn record_read(&mut self, at: Time) {
        self.fleet_read = Some(self.fleet_read.map_or(at, |known| known.max(at)));
    }

    /// Returns the last known read of any router.
    pub(super) fn fleet_read(&self) -> Option<Time> {
        self.fleet_read
    }

    /// Returns how long ago this router's list was made.
    pub(super) fn age(&self, now: Time) -> Option<Span> {
        self.list_made.map(|at| now.since(at))
    }

    /// Returns whether this router should read the list now.
    pub(super) fn is_due(&self, roll: f64, routers: usize, now: Time) -> bool {
        let Some(list_made) = self.list_made else {
            return true;
        };
        let since = self
            .fleet_read
            .map_or(LOCAL_LIST_AGE_MAX, |at| now.since(at));
        let overdue = since.0.checked_sub(FLEET_READ_INTERVAL.0).map(Span);
        let drawn = |overdue: Span| turn::is_drawn(roll, overdue.min(OVERDUE_MAX), routers);
        let outdated = self
            .fleet_read
            .is_some_and(|at| at.since(list_made) >= LOCAL_LIST_AGE_MAX);
        outdated || overdue.is_some_and(drawn)
    }
}
