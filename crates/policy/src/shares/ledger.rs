//! The accounts of all workspaces at one service.

use {
    super::{
        Account,
        Key,
        Writer, //
    },
    crate::{
        Share,
        Time, //
    },
    std::collections::BTreeMap,
};

/// Thousandths in one unit.
pub(crate) const MILLI: f64 = 1000.0;

/// The accounts of all workspaces at one service, as one router knows them.
#[derive(Debug)]
pub(crate) struct Ledger {
    /// This start of this router.
    me: Writer,
    /// Counts this router's changes.
    pub(crate) rev: u64,
    accounts: BTreeMap<Key, Account>,
    shares: BTreeMap<Key, Share>,
}

impl Ledger {
    pub(crate) fn new(me: Writer) -> Ledger {
        Ledger {
            me,
            rev: 0,
            accounts: BTreeMap::new(),
            shares: BTreeMap::new(),
        }
    }

    /// Sets the shares that are not 1.
    pub(crate) fn set_shares(&mut self, shares: BTreeMap<Key, Share>) {
        self.shares = shares;
    }

    /// Returns the share of a workspace.
    pub(crate) fn share(&self, key: Key) -> Share {
        self.shares.get(&key).copied().unwrap_or(Share::ONE)
    }

    /// Returns normalised service in thousandths of a unit.
    pub(crate) fn level(&self, key: Key) -> i64 {
        match self.accounts.get(&key) {
            Some(a) => a.level(self.share(key)),
            None => 0,
        }
    }

    /// Charges an amount, which may be below zero.
    pub(crate) fn charge(&mut self, key: Key, milli: i64, now: Time) {
        if milli == 0 {
            return;
        }
        self.rev += 1;
        let account = self.accounts.entry(key).or_default();
        account.charge(self.me, self.rev, milli);
        account.touched = now;
    }
}
