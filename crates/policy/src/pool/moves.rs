//! Which slots move between routers.

use {
    super::{
        wants::Wants,
        Borrower,
        Lot,
        Pool, //
    },
    crate::{
        entry::ReplicaKey,
        RouterId, //
    },
    std::collections::BTreeMap,
};

impl Pool {
    /// Returns the free slots of a replica, below zero where too many are out.
    fn free(&self, key: ReplicaKey, lot: &Lot) -> i64 {
        let held: u32 = self.borrowers.values().map(|b| b.holds(key)).sum();
        let unheard = self.borrowers.values().filter(|b| !b.heard()).count();
        let unknown = lot.limit() as usize * unheard / self.borrowers.len().max(1);
        i64::from(lot.limit()) - i64::from(held) - unknown as i64
    }

    /// Takes back what is lent above a replica's limit or on one that is gone.
    pub(super) fn trim(&mut self) {
        for b in self.borrowers.values_mut() {
            let before = b.lent.len();
            b.lent.retain(|key, _| self.lots.contains_key(key));
            b.dirty |= b.lent.len() != before;
        }
        let keys: Vec<ReplicaKey> = self.lots.keys().copied().collect();
        for key in keys {
            let limit = self.lots[&key].limit();
            let lent =
                |p: &Pool| -> u32 { p.borrowers.values().filter_map(|b| b.lent.get(&key)).sum() };
            while lent(self) > limit {
                let most = self
                    .borrowers
                    .values_mut()
                    .max_by_key(|b| b.lent.get(&key).copied().unwrap_or(0));
                let Some(b) = most else { break };
                b.lower(key);
            }
        }
    }

    /// Lends again what a router still uses beyond what it was lent, if it should have it.
    pub(super) fn restore(&mut self, wants: &Wants) {
        for (id, b) in &mut self.borrowers {
            let want = wants.get(id).copied().unwrap_or(0);
            let kept = b.kept.clone();
            for (key, n) in kept.into_iter().filter(|(k, _)| self.lots.contains_key(k)) {
                while b.total() < want && b.lent.get(&key).is_none_or(|l| *l < n) {
                    b.raise(key);
                }
            }
        }
    }

    /// Returns how many slots each router needs for what runs and waits there.
    pub(super) fn needs(&self) -> Wants {
        let takers = self.borrowers.iter().filter(|(_, b)| b.takes());
        takers
            .map(|(id, b)| (id.clone(), b.running + b.waiting()))
            .collect()
    }

    /// Asks slots back from routers that have more than wanted, where others lack what
    /// they need.
    pub(super) fn take_back(&mut self, wants: &Wants, needs: &Wants) {
        let free: i64 = self.lots.iter().map(|(k, l)| self.free(*k, l).max(0)).sum();
        let lack: i64 = self
            .borrowers
            .iter()
            .map(|(id, b)| i64::from(needs.get(id).map_or(0, |n| n.saturating_sub(b.total()))))
            .sum();
        // Slots that were asked back and are not yet free count as on their way.
        let coming: i64 = self
            .borrowers
            .values()
            .map(|b| {
                let held: u32 = self.lots.keys().map(|k| b.holds(*k)).sum();
                i64::from(held) - i64::from(b.total())
            })
            .sum();
        for _ in 0..(lack - free - coming).max(0) {
            let most = self
                .borrowers
                .iter_mut()
                .filter(|(id, b)| b.total() > wants.get(*id).copied().unwrap_or(0))
                .max_by_key(|(id, b)| b.total() - wants.get(*id).copied().unwrap_or(0));
            let Some((_, b)) = most else { return };
            let far = |key: &ReplicaKey| self.lots.get(key).is_some_and(|l| l.zone != b.zone);
            let key = b
                .lent
                .iter()
                .max_by_key(|(key, n)| (far(key), **n))
                .map(|(key, _)| *key);
            let Some(key) = key else { return };
            b.lower(key);
        }
    }

    /// Lends free slots to the routers that lack most.
    pub(super) fn give(&mut self, wants: &Wants) {
        let mut free: BTreeMap<ReplicaKey, i64> = self
            .lots
            .iter()
            .map(|(k, l)| (*k, self.free(*k, l)))
            .collect();
        let mut room: i64 = free.values().sum();
        if self.borrowers.values().all(Borrower::heard) {
            room = i64::MAX;
        }
        free.retain(|_, n| *n > 0);
        // What the unheard hold is only guessed, so it counts for the whole pool as well:
        // they may hold more of one replica and less of another.
        while !free.is_empty() && room > 0 {
            room -= 1;
            let lack = |id: &RouterId, b: &Borrower| {
                wants.get(id).map_or(0, |w| w.saturating_sub(b.total()))
            };
            let most = self
                .borrowers
                .iter_mut()
                .filter(|(id, b)| lack(id, b) > 0)
                .max_by_key(|(id, b)| lack(id, b));
            let Some((_, b)) = most else { return };
            let near = |key: &ReplicaKey| self.lots[key].zone == b.zone;
            let best = free
                .iter()
                .max_by_key(|(key, n)| (near(key), **n))
                .map(|(key, _)| *key);
            let Some(key) = best else { return };
            b.raise(key);
            if let Some(n) = free.get_mut(&key) {
                *n -= 1;
            }
            free.retain(|_, n| *n > 0);
        }
    }
}
