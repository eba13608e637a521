//! What routers tell each other of their accounts.

use {
    super::{
        account::RouterCount,
        ledger::PeerSync,
        usage_updates::{
            Relay,
            UsageUpdate,
            UsageUpdates, //
        },
        Account,
        Key,
        Ledger,
        Writer, //
    },
    std::collections::BTreeMap,
};

/// Most counts in one message.
const MAX_UPDATES: usize = 128;

impl Ledger {
    /// Returns whether a router has not acknowledged anything yet.
    pub(crate) fn is_new(&self, to: Writer) -> bool {
        self.peers.get(&to).is_some_and(|f| f.acked == 0)
    }

    /// Returns whether there is anything to tell a router.
    pub(crate) fn has_updates_for(&self, to: Writer, relay: bool) -> bool {
        let pending =
            |f: &PeerSync| f.acked < self.rev || f.announced != f.seen || relay && f.acked == 0;
        self.peers.get(&to).is_some_and(pending)
    }

    /// Returns what a router should be told, if there is anything.
    ///
    /// `relay` says whether this router is the one to tell a new one of all others.
    pub(crate) fn usage_updates(
        &mut self,
        service: u32,
        to: Writer,
        relay: bool,
    ) -> Option<UsageUpdates> {
        let f = self.peers.get(&to)?;
        let acked = f.acked;
        let changed = self.changes.range(acked + 1..);
        let count = changed.clone().count();
        let rev = match changed.clone().nth(MAX_UPDATES - 1) {
            Some((rev, _)) if count > MAX_UPDATES => *rev,
            _ => self.rev,
        };
        let updates: Vec<UsageUpdate> = changed
            .take(MAX_UPDATES)
            .map(|(_, key)| self.usage_update(*key, acked))
            .collect();
        let others = match relay && f.acked == 0 {
            true => self.others(to),
            false => Vec::new(),
        };
        let shift = |(key, a): (&Key, &Account)| (*key, a.catch_up, a.forgiven);
        let shifts = match others.is_empty() {
            true => Vec::new(),
            false => self.accounts.iter().map(shift).collect(),
        };
        // The receiver acknowledges a revision, so what is relayed needs one.
        if rev == 0 {
            self.rev = 1;
        }
        let rev = rev.max(1);
        let f = self.peers.get_mut(&to)?;
        f.announced = f.seen;
        Some(UsageUpdates {
            service,
            to: to.0 as u32,
            seen: f.seen,
            rev,
            floor: self.floor,
            updates,
            others,
            shifts,
        })
    }

    /// Returns this router's count of a workspace, for one that has seen it up to `acked`.
    fn usage_update(&self, key: Key, acked: u64) -> UsageUpdate {
        let a = &self.accounts[&key];
        let part = a.counts.get(&self.me).copied().unwrap_or_default();
        UsageUpdate {
            key,
            charged: part.charged,
            backlogged: part.backlogged,
            shift: (a.shifted > acked).then_some((a.catch_up, a.forgiven)),
        }
    }

    /// Returns the counts of all routers but this one and the receiver.
    fn others(&self, to: Writer) -> Vec<(Writer, Vec<Relay>)> {
        let mut out: BTreeMap<Writer, Vec<Relay>> = BTreeMap::new();
        for (key, a) in &self.accounts {
            for (w, p) in &a.counts {
                if *w != self.me && *w != to {
                    out.entry(*w).or_default().push(Relay {
                        key: *key,
                        rev: p.rev,
                        charged: p.charged,
                    });
                }
            }
        }
        out.into_iter().collect()
    }

    /// Takes in what another router tells.
    ///
    /// The owner of the pool gives the debt that its workspaces may have.
    pub(crate) fn merge(&mut self, from: Writer, n: UsageUpdates, debt: Option<i64>) {
        let Some(f) = self.peers.get_mut(&from) else {
            return;
        };
        if n.to == self.me.0 as u32 {
            f.acked = f.acked.max(n.seen);
        }
        f.seen = f.seen.max(n.rev);
        f.synced |= f.live && n.updates.len() < MAX_UPDATES;
        self.floor = self.floor.max(n.floor);
        for update in n.updates {
            let waited = self
                .accounts
                .get(&update.key)
                .is_some_and(|a| self.is_backlogged(a));
            let account = self.accounts.entry(update.key).or_default();
            account.touched = self.now;
            if let Some((catch_up, forgiven)) = update.shift {
                account.merge_shifts(catch_up, forgiven);
            }
            let part = RouterCount {
                rev: n.rev,
                charged: update.charged,
                backlogged: update.backlogged,
            };
            account.merge(from, part);
            self.update_waiting(update.key);
            if let Some(debt) = debt.filter(|_| update.backlogged && !waited) {
                self.limit_lag(update.key, debt);
            }
        }
        for (key, catch_up, forgiven) in n.shifts {
            self.accounts
                .entry(key)
                .or_default()
                .merge_shifts(catch_up, forgiven);
        }
        for (writer, list) in n.others {
            if writer == self.me {
                continue;
            }
            for r in list {
                let part = RouterCount {
                    rev: r.rev,
                    charged: r.charged,
                    backlogged: false,
                };
                self.accounts.entry(r.key).or_default().merge(writer, part);
            }
        }
    }
}
