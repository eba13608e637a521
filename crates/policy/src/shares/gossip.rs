//! The exchange of usage updates between ledgers.

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

/// Maximum number of counts in one message.
const MAX_UPDATES: usize = 128;

impl Ledger {
    /// Returns whether a router has not acknowledged any revision yet.
    pub(crate) fn is_new(&self, to: Writer) -> bool {
        self.peers.get(&to).is_some_and(|peer| peer.acked == 0)
    }

    /// Returns whether there is anything to send to a router.
    pub(crate) fn has_updates_for(&self, to: Writer, relay: bool) -> bool {
        let pending = |peer: &PeerSync| {
            peer.acked < self.rev || peer.announced != peer.seen || relay && peer.acked == 0
        };
        self.peers.get(&to).is_some_and(pending)
    }

    /// Returns the next message for a router.
    ///
    /// `relay` is set if this router is the one that sends the counts of all others to a new
    /// router.
    pub(crate) fn usage_updates(
        &mut self,
        service: u32,
        to: Writer,
        relay: bool,
    ) -> Option<UsageUpdates> {
        let peer = self.peers.get(&to)?;
        let acked = peer.acked;
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
        let others = match relay && peer.acked == 0 {
            true => self.others(to),
            false => Vec::new(),
        };
        let shift = |(key, a): (&Key, &Account)| (*key, a.catch_up, a.forgiven);
        let shifts = match others.is_empty() {
            true => Vec::new(),
            false => self.accounts.iter().map(shift).collect(),
        };
        // The receiver acknowledges a revision, so relayed counts need one that is not 0.
        if rev == 0 {
            self.rev = 1;
        }
        let rev = rev.max(1);
        let peer = self.peers.get_mut(&to)?;
        peer.announced = peer.seen;
        Some(UsageUpdates {
            service,
            to: to.0 as u32,
            seen: peer.seen,
            rev,
            floor: self.floor,
            updates,
            others,
            shifts,
        })
    }

    /// Returns this router's count of a workspace, for a peer that has seen revisions up to
    /// `acked`.
    fn usage_update(&self, key: Key, acked: u64) -> UsageUpdate {
        let a = &self.accounts[&key];
        let count = a.counts.get(&self.me).copied().unwrap_or_default();
        UsageUpdate {
            key,
            charged: count.charged,
            backlogged: count.backlogged,
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

    /// Merges a message of another router.
    ///
    /// The owner of the pool passes the maximum debt of a workspace.
    pub(crate) fn merge(&mut self, from: Writer, message: UsageUpdates, debt: Option<i64>) {
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        if message.to == self.me.0 as u32 {
            peer.acked = peer.acked.max(message.seen);
        }
        peer.seen = peer.seen.max(message.rev);
        peer.synced |= peer.live && message.updates.len() < MAX_UPDATES;
        self.floor = self.floor.max(message.floor);
        for update in message.updates {
            let was_backlogged = self
                .accounts
                .get(&update.key)
                .is_some_and(|a| self.is_backlogged(a));
            let account = self.accounts.entry(update.key).or_default();
            account.touched = self.now;
            if let Some((catch_up, forgiven)) = update.shift {
                account.merge_shifts(catch_up, forgiven);
            }
            let count = RouterCount {
                rev: message.rev,
                charged: update.charged,
                backlogged: update.backlogged,
            };
            account.merge(from, count);
            self.update_waiting(update.key);
            if let Some(debt) = debt.filter(|_| update.backlogged && !was_backlogged) {
                self.limit_lag(update.key, debt);
            }
        }
        for (key, catch_up, forgiven) in message.shifts {
            self.accounts
                .entry(key)
                .or_default()
                .merge_shifts(catch_up, forgiven);
        }
        for (writer, list) in message.others {
            if writer == self.me {
                continue;
            }
            for r in list {
                let count = RouterCount {
                    rev: r.rev,
                    charged: r.charged,
                    backlogged: false,
                };
                self.accounts.entry(r.key).or_default().merge(writer, count);
            }
        }
    }
}
