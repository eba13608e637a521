//! Which router watches the store for changes of the configuration.

use {
    crate::{
        turn,
        RouterId,
        Span,
        Time, //
    },
    std::collections::HashMap, //
};

/// If no router has had the configuration confirmed as the newest for this long, another router
/// takes over the watch. A change has to be in force within 2 s: a watch whose connection fell
/// silent right after its last answer is replaced after 1.1 s, another router reads within another
/// 0.4 s, and its peers have the result about 0.1 s later.
const STALE_AFTER: Span = Span::millis(1_100);
/// A watch that has been due for longer than this doesn't become more probable, so that an outage
/// of the store doesn't make all routers call it at each check.
const OVERDUE_MAX: Span = Span::millis(500);
/// Backoff after the first failed call. It doubles with each further failure.
const BACKOFF_MIN: Span = Span::millis(150);
/// Maximum backoff of a single router, and its increase per further router. With these, the whole
/// fleet calls a store that doesn't answer 9 times a second with 8 routers and 25 times with 85.
/// Without the increase, the failed calls of 85 routers, one per 0.15 s each, made up 3,000 of
/// 5,500 calls.
const BACKOFF_MAX: Span = Span::millis(300);
const BACKOFF_PER_ROUTER: Span = Span::millis(60);

/// The watch on the store's configuration, which one router of the fleet keeps.
///
/// A watch at each router would need a call per router for each change, and for each end of a long
/// poll. These made up 40 % of all calls of 8 routers, and with the calls during an outage 80 % of
/// those of 85. So one router watches and reports to its peers how fresh its configuration is, and
/// they get changes from it.
///
/// # Examples
///
/// ```
/// use policy::{Span, Time, Watch};
///
/// let mut watch = Watch::default();
/// let now = Time(0);
/// // No router watches.
/// assert!(watch.is_due(0.0, 2, now));
/// // A peer watches.
/// watch.set_peer(&"r2".parse()?, Some(Span::millis(20)), now);
/// assert!(!watch.is_due(0.0, 2, now));
/// assert!(watch.is_due(0.0, 2, now + Span::secs(2)));
/// # Ok::<(), policy::IdError>(())
/// ```
#[derive(Debug, Default)]
pub struct Watch {
    /// When the store last confirmed to this router that it has the newest configuration.
    local: Option<Time>,
    peers: HashMap<RouterId, Freshness>,
    /// When the store last confirmed this to any router, including routers that no longer watch.
    last: Option<Time>,
    /// Number of failed calls in a row.
    failed: u32,
}

/// Freshness of a peer's configuration.
#[derive(Debug, Clone, Copy)]
struct Freshness {
    /// When the store last confirmed to the peer that it has the newest one.
    at: Time,
    /// Since when it has been confirmed without a gap.
    since: Time,
}

impl Watch {
    /// How often a router checks whether to start a watch.
    pub const POLL_INTERVAL: Span = turn::POLL_INTERVAL;
    /// How long one call waits for a change. Only its end shows that the store can still be
    /// reached.
    pub const LONG_POLL_TIMEOUT: Span = Span::millis(600);

    /// Records that the store returned the newest configuration, or that nothing changed.
    pub fn confirmed(&mut self, now: Time) {
        self.local = Some(now);
        self.last = Some(now);
        self.failed = 0;
    }

    /// Records a failed call. Peers need not wait until the last answer is stale.
    pub fn failed(&mut self) {
        self.local = None;
        self.failed += 1;
    }

    /// Records that this router has stopped watching.
    pub fn ended(&mut self) {
        self.local = None;
    }

    /// Returns the age of this router's last confirmation, to report it to the peers, or none if it
    /// does not watch.
    pub fn age(&self, now: Time) -> Option<Span> {
        let age = now.since(self.local?);
        (age < STALE_AFTER).then_some(age)
    }

    /// Sets the age of a peer's last confirmation, or none if it does not watch.
    pub fn set_peer(&mut self, from: &RouterId, age: Option<Span>, now: Time) {
        let Some(age) = age else {
            self.peers.remove(from);
            return;
        };
        let at = now - age;
        let known = self.peers.get(from);
        let continued = known.filter(|fresh| at.since(fresh.at) < STALE_AFTER);
        let since = continued.map_or(at, |fresh| fresh.since);
        self.last = self.last.max(Some(at));
        self.peers.insert(from.clone(), Freshness { at, since });
    }

    /// Returns whether any router is known to have had the newest configuration confirmed within
    /// `span`.
    pub fn confirmed_within(&self, span: Span, now: Time) -> bool {
        self.last.is_some_and(|at| now.since(at) < span)
    }

    /// Returns the same for routers other than this one.
    pub fn peer_confirmed_within(&self, span: Span, now: Time) -> bool {
        let mut others = self.peers.values();
        others.any(|fresh| now.since(fresh.at) < span)
    }

    /// Returns whether this router should start a watch now, one of `routers`. `roll` is a random
    /// number from 0 to 1 that is drawn at each check.
    pub fn is_due(&self, roll: f64, routers: usize, now: Time) -> bool {
        let confirmed = self.peers.values().map(|fresh| fresh.at).max();
        let confirmed = confirmed.max(self.local);
        if confirmed.is_some_and(|at| now.since(at) < STALE_AFTER) {
            return false;
        }
        // If the watching router reported that it lost the store, no one waits until its
        // confirmation is stale.
        let overdue = match (confirmed, self.last) {
            (Some(at), _) => Span(now.since(at).0 - STALE_AFTER.0),
            (None, Some(at)) => now.since(at),
            (None, None) => Span::ZERO,
        };
        turn::is_drawn(roll, overdue.min(OVERDUE_MAX), routers)
    }

    /// Returns whether a watching router should leave the watch to another one.
    ///
    /// Several routers start one when no confirmations arrive, and the first by name continues. Its
    /// watch must have lasted for two long polls: a router that was suspended considers its old
    /// answer fresh until its next call fails.
    pub fn yields(&self, name: &RouterId, now: Time) -> bool {
        let is_lasting = |fresh: &Freshness| {
            now.since(fresh.at) < STALE_AFTER
                && fresh.at.since(fresh.since) >= Watch::LONG_POLL_TIMEOUT * 2.0
        };
        let mut first = self.peers.iter().filter(|(peer, _)| *peer < name);
        first.any(|(_, fresh)| is_lasting(fresh))
    }

    /// Returns how long to wait after a failed call. `roll` is a random number from 0 to 1 that is
    /// drawn each time, so that routers whose calls failed together don't retry together.
    pub fn pause(&self, roll: f64, routers: usize) -> Span {
        let doubled = BACKOFF_MIN * 2f64.powi(self.failed.saturating_sub(1).min(16) as i32);
        let max = BACKOFF_MAX + BACKOFF_PER_ROUTER * routers as f64;
        doubled.min(max) * (0.5 + roll)
    }
}
