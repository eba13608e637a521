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

/// After this time without a word that the configuration is the newest, another router takes
/// over. A change is to be in force within 2 s: a watch whose connection fell silent right after
/// its last answer is replaced after 1.1 s, another router reads within 0.4 s more, and its
/// peers have what it read some 0.1 s later.
const STALE: Span = Span::millis(1_100);
/// A watch that is due for longer is drawn no more often, so that an outage of the store does not
/// bring all routers to it at each look.
const OVER_MAX: Span = Span::millis(500);
/// Pause of a router after its first call that failed; doubled for each further one.
const PAUSE: Span = Span::millis(150);
/// Longest pause of a router that is alone, and what each other router adds to it. With these the
/// whole fleet calls a store that does not answer 9 times a second where it has 8 routers, 25 times
/// where it has 85 (10 s in virtual time). 85 routers that each called every 0.15 s made 3,000 of a
/// day's 5,500 calls in vain.
const PAUSE_MAX: Span = Span::millis(300);
const PAUSE_ROUTER: Span = Span::millis(60);

/// Who watches the store's configuration: one router of the fleet.
///
/// A watch at each router is a call for each router and change, and one for each end of a wait.
/// These were four in ten of all calls of 8 routers, and with the calls that an outage brings
/// eight in ten of those of 85. So one router watches and tells its peers how fresh its answers
/// are, and they get what is new from it.
///
/// # Examples
///
/// ```
/// use policy::{Span, Time, Watch};
///
/// let mut watch = Watch::default();
/// let now = Time(0);
/// // Nobody watches.
/// assert!(watch.is_due(0.0, 2, now));
/// // A peer does.
/// watch.set_peer(&"r2".parse()?, Some(Span::millis(20)), now);
/// assert!(!watch.is_due(0.0, 2, now));
/// assert!(watch.is_due(0.0, 2, now + Span::secs(2)));
/// # Ok::<(), policy::IdError>(())
/// ```
#[derive(Debug, Default)]
pub struct Watch {
    /// When the store last told this router that it has the newest configuration.
    own: Option<Time>,
    peers: HashMap<RouterId, Fresh>,
    /// When the store last told this to any router, also one that watches no more.
    last: Option<Time>,
    /// Calls that failed, one after the other.
    failed: u32,
}

/// How fresh a peer's configuration is.
#[derive(Debug, Clone, Copy)]
struct Fresh {
    /// When the store last told the peer that it has the newest.
    at: Time,
    /// Since when it has been told so again and again.
    since: Time,
}

impl Watch {
    /// How often a router looks whether it is to watch.
    pub const POLL_INTERVAL: Span = turn::POLL_INTERVAL;
    /// How long one watch waits for a change. Only the end of a wait tells that the way to the
    /// store is still there.
    pub const LONG_POLL_TIMEOUT: Span = Span::millis(600);

    /// Notes that the store told this router the newest configuration, or that nothing changed.
    pub fn confirmed(&mut self, now: Time) {
        self.own = Some(now);
        self.last = Some(now);
        self.failed = 0;
    }

    /// Notes that a call to the store failed: peers need not wait until the last answer is old.
    pub fn failed(&mut self) {
        self.own = None;
        self.failed += 1;
    }

    /// Notes that this router no longer watches.
    pub fn ended(&mut self) {
        self.own = None;
    }

    /// Returns how fresh this router's configuration is, to tell the peers; none where it does
    /// not watch.
    pub fn age(&self, now: Time) -> Option<Span> {
        let age = now.since(self.own?);
        (age < STALE).then_some(age)
    }

    /// Takes a peer's word on how fresh its configuration is; none where it does not watch.
    pub fn set_peer(&mut self, from: &RouterId, age: Option<Span>, now: Time) {
        let Some(age) = age else {
            self.peers.remove(from);
            return;
        };
        let at = now - age;
        let known = self.peers.get(from);
        let goes_on = known.filter(|fresh| at.since(fresh.at) < STALE);
        let since = goes_on.map_or(at, |fresh| fresh.since);
        self.last = self.last.max(Some(at));
        self.peers.insert(from.clone(), Fresh { at, since });
    }

    /// Tells whether the store told any router of late that it has the newest configuration, as far
    /// as is known.
    pub fn confirmed_within(&self, span: Span, now: Time) -> bool {
        self.last.is_some_and(|at| now.since(at) < span)
    }

    /// Tells the same of routers other than this one.
    pub fn peer_confirmed_within(&self, span: Span, now: Time) -> bool {
        let mut others = self.peers.values();
        others.any(|fresh| now.since(fresh.at) < span)
    }

    /// Tells whether this router is to watch now, of so many; `roll` is a number from 0 to 1 that
    /// is drawn at each look.
    pub fn is_due(&self, roll: f64, routers: usize, now: Time) -> bool {
        let told = self.peers.values().map(|fresh| fresh.at).max();
        let told = told.max(self.own);
        if told.is_some_and(|at| now.since(at) < STALE) {
            return false;
        }
        // Where who watched said that it lost the store, nobody waits for its word to grow old.
        let over = match (told, self.last) {
            (Some(at), _) => Span(now.since(at).0 - STALE.0),
            (None, Some(at)) => now.since(at),
            (None, None) => Span::ZERO,
        };
        turn::is_drawn(roll, over.min(OVER_MAX), routers)
    }

    /// Tells whether a router that watches leaves that to another.
    ///
    /// Several begin where none was heard, and the first by name goes on. It must have been
    /// fresh for two waits: one that was suspended believes that its old answer is a fresh one,
    /// until its next call fails.
    pub fn yields(&self, name: &RouterId, now: Time) -> bool {
        let lasting = |fresh: &Fresh| {
            now.since(fresh.at) < STALE
                && fresh.at.since(fresh.since) >= Watch::LONG_POLL_TIMEOUT * 2.0
        };
        let mut first = self.peers.iter().filter(|(peer, _)| *peer < name);
        first.any(|(_, fresh)| lasting(fresh))
    }

    /// Returns how long to wait after a call that failed, of so many routers; `roll` is a number
    /// from 0 to 1 that is drawn each time, so that those who failed together do not call
    /// together again.
    pub fn pause(&self, roll: f64, routers: usize) -> Span {
        let doubled = PAUSE * 2f64.powi(self.failed.saturating_sub(1).min(16) as i32);
        let most = PAUSE_MAX + PAUSE_ROUTER * routers as f64;
        doubled.min(most) * (0.5 + roll)
    }
}
