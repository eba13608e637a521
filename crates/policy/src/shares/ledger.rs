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
/// An idle workspace is forgotten after this time, give or take the time between sweeps.
const IDLE_TIMEOUT: Span = Span::secs(600);
const SWEEP_INTERVAL: Span = Span::secs(10);
/// What the owner told counts for this time.
const OWNER_VIEW_TTL: Span = Span::millis(1_500);

/// What another router has seen of this one's counts, and the other way round.
#[derive(Debug, Default)]
pub(super) struct PeerSync {
    /// Revision of this router that it has seen.
    pub(super) acked: u64,
    /// Its revision that was seen here.
    pub(super) seen: u64,
    /// What it was last told to be seen.
    pub(super) announced: u64,
    /// Whether it is heard from.
    pub(super) live: bool,
    /// Whether its counts are known as they are since it is heard from.
    ///
    /// After a partition the counts of the far side are old. Taken for its level, they
    /// would make its workspaces the least by far, and the others be forgiven what they
    /// never owed.
    pub(super) synced: bool,
}

/// The accounts of all workspaces at one service, as one router knows them.
#[derive(Debug)]
pub(crate) struct Ledger {
    /// This start of this router.
    pub(super) me: Writer,
    /// Counts this router's changes.
    pub(super) rev: u64,
    pub(super) accounts: BTreeMap<Key, Account>,
    shares: ShareTable,
    /// The other live routers.
    pub(super) peers: BTreeMap<Writer, PeerSync>,
    /// Level of the least backlogged workspace when there last was any.
    pub(super) floor: i64,
    /// The workspaces that some router, live or not, last said to wait.
    waiting: BTreeSet<Key>,
    /// What the owner of the pool lately told, and when.
    owner_view: BTreeMap<Key, (Time, i64)>,
    /// This router's changes, each workspace once, by revision.
    pub(super) changes: BTreeMap<u64, Key>,
    /// The moment as last told.
    pub(super) now: Time,
    /// When idle workspaces were last forgotten.
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

    /// Returns how many requests a workspace may queue, where it has a bound of its own.
    pub(crate) fn queue_limit(&self, key: Key) -> Option<usize> {
        self.shares.queue(key)
    }

    /// Sets which other routers there are, and which are heard from.
    pub(crate) fn set_peers(&mut self, live: &BTreeMap<Writer, bool>) {
        self.peers.retain(|w, _| live.contains_key(w));
        for (w, live) in live {
            let f = self.peers.entry(*w).or_default();
            f.synced &= f.live && *live;
            f.live = *live;
        }
    }

    /// Returns the share of a workspace.
    pub(crate) fn share(&self, key: Key) -> Share {
        self.shares.get(key)
    }

    /// Returns normalised service in thousandths of a unit.
    ///
    /// What the owner of the pool told counts where it is more: it hears all routers
    /// sooner than they hear each other.
    pub(crate) fn virtual_time(&self, key: Key) -> i64 {
        let Some(a) = self.accounts.get(&key) else {
            return 0;
        };
        let level = a.virtual_time(self.share(key));
        match self.owner_view.get(&key) {
            Some((_, rest)) => level.max(rest + self.normalized(key, a.charged(self.me))),
            None => level,
        }
    }

    /// Returns normalised service without what one router counted.
    pub(crate) fn virtual_time_without(&self, key: Key, writer: Writer) -> i64 {
        match self.accounts.get(&key) {
            Some(a) => a.virtual_time(self.share(key)) - self.normalized(key, a.charged(writer)),
            None => 0,
        }
    }

    /// Takes in what the owner of the pool says of a workspace, without this router's part.
    pub(crate) fn set_owner_view(&mut self, key: Key, rest: i64, now: Time) {
        self.owner_view.insert(key, (now, rest));
    }

    /// Charges an amount, which may be below zero.
    pub(crate) fn charge(&mut self, key: Key, milli: i64) {
        if milli == 0 {
            return;
        }
        let rev = self.touch(key);
        let account = self.accounts.entry(key).or_default();
        account.charge(self.me, rev, milli);
    }

    /// Notes whether requests of a workspace wait here.
    pub(crate) fn set_backlogged(&mut self, key: Key, backlogged: bool) {
        let part = self.accounts.get(&key).and_then(|a| a.counts.get(&self.me));
        if part.is_some_and(|p| p.backlogged) == backlogged {
            return;
        }
        let rev = self.touch(key);
        let account = self.accounts.entry(key).or_default();
        account.set_backlogged(self.me, rev, backlogged);
        self.update_waiting(key);
    }

    /// Keeps the list of workspaces that wait anywhere.
    pub(super) fn update_waiting(&mut self, key: Key) {
        let waits = |a: &Account| a.counts.values().any(|p| p.backlogged);
        if self.accounts.get(&key).is_some_and(waits) {
            self.waiting.insert(key);
        } else {
            self.waiting.remove(&key);
        }
    }

    /// Returns the accounts of workspaces that wait anywhere.
    fn backlogged(&self) -> impl Iterator<Item = (Key, &Account)> {
        let accounts = self
            .waiting
            .iter()
            .filter_map(|k| Some((*k, self.accounts.get(k)?)));
        accounts.filter(|(_, a)| self.is_backlogged(a))
    }

    /// Returns whether requests of a workspace wait at any live router.
    pub(super) fn is_backlogged(&self, account: &Account) -> bool {
        account.counts.iter().any(|(w, p)| {
            p.backlogged && (*w == self.me || self.peers.get(w).is_some_and(|f| f.synced))
        })
    }

    /// Returns the least level of the backlogged workspaces but one.
    fn min_virtual_time(&self, but: Option<Key>, running: impl Fn(Key) -> i64) -> Option<i64> {
        self.backlogged()
            .filter(|(key, _)| Some(*key) != but)
            .map(|(key, a)| a.virtual_time(self.share(key)) - self.normalized(key, running(key)))
            .min()
    }

    /// Returns an amount divided by the share of a workspace.
    fn normalized(&self, key: Key, milli: i64) -> i64 {
        (milli as f64 / self.share(key).get()) as i64
    }

    /// Brings a workspace that becomes backlogged near the others.
    ///
    /// What it saved up by idling is lost but for the credit; and what it had while
    /// nobody else waited is not held against it.
    ///
    /// `running` gives what a workspace was charged for requests that still run here. It
    /// counts as not yet received, so that a newcomer catches up with those whose
    /// requests took all slots just before it came.
    pub(crate) fn activate(&mut self, key: Key, credit: i64, running: impl Fn(Key) -> i64) {
        if self
            .accounts
            .get(&key)
            .is_some_and(|a| self.is_backlogged(a))
        {
            return;
        }
        let level = self.virtual_time(key);
        let least = self.min_virtual_time(Some(key), &running);
        let low = least.unwrap_or(self.floor) - credit;
        if level < low {
            self.shift(key, low - level);
        }
        if let Some(high) = least.map(|l| l + credit) {
            let received = level - self.normalized(key, running(key));
            if received > high {
                self.shift(key, high - received);
            }
        }
    }

    /// Notes how far the least backlogged workspace is, and forgets idle ones.
    pub(crate) fn tick(&mut self, now: Time) {
        self.now = now;
        if now.since(self.swept) >= SWEEP_INTERVAL {
            self.swept = now;
            self.sweep();
        }
        self.owner_view
            .retain(|_, (at, _)| now.since(*at) < OWNER_VIEW_TTL);
        if let Some(least) = self.min_virtual_time(None, |_| 0) {
            self.floor = self.floor.max(least);
        }
    }

    /// Forgets the workspaces that were idle for long.
    ///
    /// Their levels no longer matter: on waiting again they are brought near the others.
    fn sweep(&mut self) {
        let (now, waiting) = (self.now, &self.waiting);
        self.accounts
            .retain(|key, a| waiting.contains(key) || now.since(a.touched) < IDLE_TIMEOUT);
        let accounts = &self.accounts;
        self.changes.retain(|_, key| accounts.contains_key(key));
    }

    /// Brings a workspace that another router has just reported to wait near the others, if
    /// it is far behind.
    ///
    /// That happens where one router has forgotten it and another has not yet: what the
    /// first counts begins anew, and it would be served alone until it has caught up.
    pub(super) fn limit_lag(&mut self, key: Key, debt: i64) {
        let least = self.min_virtual_time(Some(key), |_| 0);
        let behind = least.map_or(0, |l| l - debt - self.virtual_time(key));
        if behind > 0 {
            self.shift(key, behind);
        }
    }

    /// Keeps what any backlogged workspace owes the others below `debt`.
    ///
    /// After a partition heals, one workspace may be far ahead of the rest. Without
    /// this it would get nothing until all had caught up, which shows as starvation.
    pub(crate) fn forgive(&mut self, debt: i64) {
        let Some(least) = self.min_virtual_time(None, |_| 0) else {
            return;
        };
        let ahead: Vec<(Key, i64)> = self
            .backlogged()
            .map(|(key, a)| (key, a.virtual_time(self.share(key)) - least - debt))
            .filter(|(_, over)| *over > 0)
            .collect();
        for (key, over) in ahead {
            self.shift(key, -over);
        }
    }

    /// Moves the level of a workspace.
    fn shift(&mut self, key: Key, by: i64) {
        let rev = self.touch(key);
        let account = self.accounts.entry(key).or_default();
        account.shift(self.me, rev, by);
    }

    /// Notes that this router changes an account; returns the new revision.
    fn touch(&mut self, key: Key) -> u64 {
        if let Some(a) = self.accounts.get(&key) {
            self.changes.remove(&a.rev);
        }
        self.rev += 1;
        self.changes.insert(self.rev, key);
        self.accounts.entry(key).or_default().touched = self.now;
        self.rev
    }

    /// Returns whether nothing is known of any workspace.
    pub(crate) fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Returns the revision of this router's counts.
    pub(crate) fn rev(&self) -> u64 {
        self.rev
    }
}
