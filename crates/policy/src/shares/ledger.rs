//! The accounts of all workspaces at one service.

use {
    super::{
        Account,
        Key,
        ShareTable,
        Writer, //
    },
    crate::{
        Share,
        Span,
        Time, //
    },
    std::collections::{
        BTreeMap,
        BTreeSet, //
    },
};

/// Thousandths in one unit.
pub(crate) const MILLI: f64 = 1000.0;
/// An idle workspace is removed after this time plus at most one sweep interval.
const IDLE_TIMEOUT: Span = Span::secs(600);
const SWEEP_INTERVAL: Span = Span::secs(10);
/// How long a virtual time sent by the owner of the pool is used.
const OWNER_VIEW_TTL: Span = Span::millis(1_500);

/// The state of the exchange with another router.
#[derive(Debug, Default)]
pub(super) struct PeerSync {
    /// This router's revision that the peer has acknowledged.
    pub(super) acked: u64,
    /// The peer's revision that was received here.
    pub(super) seen: u64,
    /// The peer's revision that was last acknowledged to it.
    pub(super) announced: u64,
    /// Whether messages of the peer arrive.
    pub(super) live: bool,
    /// Whether all of the peer's counts were received since it is live.
    ///
    /// After a partition, the counts of the other side are outdated. If they were used, its
    /// workspaces would have by far the lowest virtual times, and the others would be forgiven
    /// debts that they never had.
    pub(super) synced: bool,
}

/// The accounts of all workspaces at one service, as one router knows them.
#[derive(Debug)]
pub(crate) struct Ledger {
    /// This router's incarnation.
    pub(super) me: Writer,
    /// Counts this router's changes.
    pub(super) rev: u64,
    pub(super) accounts: BTreeMap<Key, Account>,
    shares: ShareTable,
    /// The other live routers.
    pub(super) peers: BTreeMap<Writer, PeerSync>,
    /// The highest minimum of virtual times among backlogged workspaces so far.
    pub(super) floor: i64,
    /// The workspaces that some router, live or not, last reported as backlogged.
    waiting: BTreeSet<Key>,
    /// The virtual times without this router's count that the owner of the pool recently sent,
    /// and when they arrived.
    owner_view: BTreeMap<Key, (Time, i64)>,
    /// This router's changes, each workspace once, by revision.
    pub(super) changes: BTreeMap<u64, Key>,
    /// The time of the last tick.
    pub(super) now: Time,
    /// When idle workspaces were last removed.
    swept: Time,
}

impl Ledger {
    pub(crate) fn new(me: Writer) -> Ledger {
        Ledger {
            me,
            rev: 0,
            accounts: BTreeMap::new(),
            shares: ShareTable::default(),
            peers: BTreeMap::new(),
            floor: 0,
            waiting: BTreeSet::new(),
            owner_view: BTreeMap::new(),
            changes: BTreeMap::new(),
            now: Time(0),
            swept: Time(0),
        }
    }

    /// Sets the shares that are not 1.
    pub(crate) fn set_shares(&mut self, shares: ShareTable) {
        self.shares = shares;
    }

    /// Returns how many requests a workspace may queue, if it has its own limit.
    pub(crate) fn queue_limit(&self, key: Key) -> Option<usize> {
        self.shares.queue(key)
    }

    /// Sets the other routers, and whether each is live.
    pub(crate) fn set_peers(&mut self, live: &BTreeMap<Writer, bool>) {
        self.peers.retain(|w, _| live.contains_key(w));
        for (w, live) in live {
            let peer = self.peers.entry(*w).or_default();
            peer.synced &= peer.live && *live;
            peer.live = *live;
        }
    }

    /// Returns the share of a workspace.
    pub(crate) fn share(&self, key: Key) -> Share {
        self.shares.get(key)
    }

    /// Returns the virtual time of a workspace, in thousandths of a unit.
    ///
    /// The owner of the pool receives the updates of all routers sooner than they receive each
    /// other's, so its figure is used if it is higher.
    pub(crate) fn virtual_time(&self, key: Key) -> i64 {
        let Some(a) = self.accounts.get(&key) else {
            return 0;
        };
        let virtual_time = a.virtual_time(self.share(key));
        match self.owner_view.get(&key) {
            Some((_, rest)) => virtual_time.max(rest + self.normalized(key, a.charged(self.me))),
            None => virtual_time,
        }
    }

    /// Returns the virtual time of a workspace without the count of one router.
    pub(crate) fn virtual_time_without(&self, key: Key, writer: Writer) -> i64 {
        match self.accounts.get(&key) {
            Some(a) => a.virtual_time(self.share(key)) - self.normalized(key, a.charged(writer)),
            None => 0,
        }
    }

    /// Stores the virtual time that the owner of the pool sent, which excludes this router's
    /// count.
    pub(crate) fn set_owner_view(&mut self, key: Key, rest: i64, now: Time) {
        self.owner_view.insert(key, (now, rest));
    }

    /// Charges an amount, which may be negative.
    pub(crate) fn charge(&mut self, key: Key, milli: i64) {
        if milli == 0 {
            return;
        }
        let rev = self.touch(key);
        let account = self.accounts.entry(key).or_default();
        account.charge(self.me, rev, milli);
    }

    /// Sets whether requests of a workspace are queued here.
    pub(crate) fn set_backlogged(&mut self, key: Key, backlogged: bool) {
        let count = self.accounts.get(&key).and_then(|a| a.counts.get(&self.me));
        if count.is_some_and(|p| p.backlogged) == backlogged {
            return;
        }
        let rev = self.touch(key);
        let account = self.accounts.entry(key).or_default();
        account.set_backlogged(self.me, rev, backlogged);
        self.update_waiting(key);
    }

    /// Updates whether a workspace is in the set of those that wait at any router.
    pub(super) fn update_waiting(&mut self, key: Key) {
        let backlogged = |a: &Account| a.counts.values().any(|p| p.backlogged);
        if self.accounts.get(&key).is_some_and(backlogged) {
            self.waiting.insert(key);
        } else {
            self.waiting.remove(&key);
        }
    }

    /// Returns the accounts of the backlogged workspaces.
    fn backlogged(&self) -> impl Iterator<Item = (Key, &Account)> {
        let accounts = self
            .waiting
            .iter()
            .filter_map(|k| Some((*k, self.accounts.get(k)?)));
        accounts.filter(|(_, a)| self.is_backlogged(a))
    }

    /// Returns whether requests of a workspace are queued here or at a synced peer.
    pub(super) fn is_backlogged(&self, account: &Account) -> bool {
        account.counts.iter().any(|(w, p)| {
            p.backlogged && (*w == self.me || self.peers.get(w).is_some_and(|peer| peer.synced))
        })
    }

    /// Returns the minimum virtual time of the backlogged workspaces other than `except`.
    fn min_virtual_time(&self, except: Option<Key>, running: impl Fn(Key) -> i64) -> Option<i64> {
        self.backlogged()
            .filter(|(key, _)| Some(*key) != except)
            .map(|(key, a)| a.virtual_time(self.share(key)) - self.normalized(key, running(key)))
            .min()
    }

    /// Returns an amount divided by the share of a workspace.
    fn normalized(&self, key: Key, milli: i64) -> i64 {
        (milli as f64 / self.share(key).get()) as i64
    }

    /// Moves the virtual time of a workspace that becomes backlogged close to the others.
    ///
    /// Idle time earns it no more than the credit, and service that it received while no other
    /// workspace waited is not counted against it.
    ///
    /// `running` returns the charges for requests that still run here. They count as not yet
    /// received, so that a new workspace catches up with those whose requests took all slots
    /// just before it arrived.
    pub(crate) fn activate(&mut self, key: Key, credit: i64, running: impl Fn(Key) -> i64) {
        if self
            .accounts
            .get(&key)
            .is_some_and(|a| self.is_backlogged(a))
        {
            return;
        }
        let virtual_time = self.virtual_time(key);
        let min = self.min_virtual_time(Some(key), &running);
        let low = min.unwrap_or(self.floor) - credit;
        if virtual_time < low {
            self.shift(key, low - virtual_time);
        }
        if let Some(high) = min.map(|l| l + credit) {
            let received = virtual_time - self.normalized(key, running(key));
            if received > high {
                self.shift(key, high - received);
            }
        }
    }

    /// Advances the time: raises the floor, and removes idle workspaces and expired views.
    pub(crate) fn tick(&mut self, now: Time) {
        self.now = now;
        if now.since(self.swept) >= SWEEP_INTERVAL {
            self.swept = now;
            self.sweep();
        }
        self.owner_view
            .retain(|_, (at, _)| now.since(*at) < OWNER_VIEW_TTL);
        if let Some(min) = self.min_virtual_time(None, |_| 0) {
            self.floor = self.floor.max(min);
        }
    }

    /// Removes workspaces that were idle for a long time.
    ///
    /// Their virtual times no longer matter: on the next backlog they are moved close to the
    /// others.
    fn sweep(&mut self) {
        let (now, waiting) = (self.now, &self.waiting);
        self.accounts
            .retain(|key, a| waiting.contains(key) || now.since(a.touched) < IDLE_TIMEOUT);
        let accounts = &self.accounts;
        self.changes.retain(|_, key| accounts.contains_key(key));
    }

    /// Moves a workspace that another router has just reported as backlogged close to the
    /// others, if it is far behind.
    ///
    /// This happens if one router has removed it as idle and another has not: the first one
    /// counts from zero again, and the workspace would be served exclusively until it has
    /// caught up.
    pub(super) fn limit_lag(&mut self, key: Key, debt: i64) {
        let min = self.min_virtual_time(Some(key), |_| 0);
        let behind = min.map_or(0, |l| l - debt - self.virtual_time(key));
        if behind > 0 {
            self.shift(key, behind);
        }
    }

    /// Limits how far any backlogged workspace is ahead of the others to `debt`.
    ///
    /// After a partition heals, one workspace may be far ahead of the rest. Without the limit
    /// it would be starved until all others had caught up.
    pub(crate) fn forgive(&mut self, debt: i64) {
        let Some(min) = self.min_virtual_time(None, |_| 0) else {
            return;
        };
        let ahead: Vec<(Key, i64)> = self
            .backlogged()
            .map(|(key, a)| (key, a.virtual_time(self.share(key)) - min - debt))
            .filter(|(_, over)| *over > 0)
            .collect();
        for (key, over) in ahead {
            self.shift(key, -over);
        }
    }

    /// Changes the virtual time of a workspace.
    fn shift(&mut self, key: Key, by: i64) {
        let rev = self.touch(key);
        let account = self.accounts.entry(key).or_default();
        account.shift(self.me, rev, by);
    }

    /// Records that this router changes an account; returns the new revision.
    fn touch(&mut self, key: Key) -> u64 {
        if let Some(a) = self.accounts.get(&key) {
            self.changes.remove(&a.rev);
        }
        self.rev += 1;
        self.changes.insert(self.rev, key);
        self.accounts.entry(key).or_default().touched = self.now;
        self.rev
    }

    /// Returns whether there are no accounts.
    pub(crate) fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Returns the revision of this router's counts.
    pub(crate) fn rev(&self) -> u64 {
        self.rev
    }
}
