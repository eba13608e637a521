//! Whose turn it is to read the list of replicas.

use crate::{
    turn,
    Span,
    Time, //
};

/// The list is not read again this soon after any router's last word of a read. A leaving
/// replica may get requests for 2 s after its word was taken down, and the news takes 0.3 s more
/// to all routers.
const FLEET_EVERY: Span = Span::millis(450);
/// A router whose list is older than that of others by this much reads it, as it gets none from
/// them. Where nobody reads, as the store is away, nobody is behind: with a read of each every 4 s
/// instead, 295 routers made some 40 calls a second to a store that was down.
const OWN_EVERY: Span = Span::secs(4);
/// A read that is due for longer is drawn no more often, so that an outage of the store does not
/// bring all routers to it at each look.
const OVER_MAX: Span = Span::millis(500);
/// A peer's list counts as newer from this much on. Its age is told in words that take some
/// time, and two routers that read at the same moment need not ask each other.
const NEWER: Span = Span::millis(100);

/// When the list was read, by this router and by any.
#[derive(Debug, Clone, Default)]
pub(super) struct Turns {
    /// When the list that this router has was made.
    read: Option<Time>,
    /// When any router last read it, as far as is known.
    fleet_read: Option<Time>,
}

impl Turns {
    /// Notes that this router has a list that was made then, its own or a peer's.
    pub(super) fn take(&mut self, made: Time) {
        self.read = Some(made);
    }

    /// Tells whether this router ever had a list.
    pub(super) fn has_read(&self) -> bool {
        self.read.is_some()
    }

    /// Tells whether this router has a list that was made then or later.
    pub(super) fn have_since(&self, made: Time) -> bool {
        self.read.is_some_and(|read| made <= read)
    }

    /// Tells whether a list that was made then is newer by enough to ask for it.
    pub(super) fn is_newer(&self, made: Time) -> bool {
        self.read.is_none_or(|read| made >= read + NEWER)
    }

    /// Notes that some router read the list.
    pub(super) fn any_read(&mut self, at: Time) {
        self.fleet_read = Some(self.fleet_read.map_or(at, |known| known.max(at)));
    }

    /// Returns when any router last read the list, as far as is known.
    pub(super) fn fleet_read(&self) -> Option<Time> {
        self.fleet_read
    }

    /// Returns how long ago this router's list was made.
    pub(super) fn age(&self, now: Time) -> Option<Span> {
        self.read.map(|at| now.since(at))
    }

    /// Tells whether this router is to read the list now.
    pub(super) fn is_due(&self, roll: f64, routers: usize, now: Time) -> bool {
        let Some(read) = self.read else {
            return true;
        };
        let since = self.fleet_read.map_or(OWN_EVERY, |at| now.since(at));
        let over = since.0.checked_sub(FLEET_EVERY.0).map(Span);
        let drawn = |over: Span| turn::is_drawn(roll, over.min(OVER_MAX), routers);
        let missed = self
            .fleet_read
            .is_some_and(|at| at.since(read) >= OWN_EVERY);
        missed || over.is_some_and(drawn)
    }
}
