//! The replicas of one service, with this router's slots on each.

use {
    super::{
        health::Health,
        sample::ReplicaSample, //
    },
    crate::{
        Replica,
        ReplicaId,
        Time,
        Zone, //
    },
    std::collections::BTreeMap,
    xxhash_rust::xxh3::xxh3_64,
};

/// Short hash of a replica's name, used on the wire.
pub(crate) type ReplicaKey = u32;

/// One replica, with this router's slots on it.
#[derive(Debug)]
pub(crate) struct ReplicaSlots {
    pub(crate) replica: Replica,
    pub(crate) key: ReplicaKey,
    /// Requests that this router may run on it concurrently.
    pub(crate) allowed: u32,
    pub(crate) running: u32,
    /// Kept slots as last reported to the owner, and the report in which they last changed.
    pub(crate) reported: Option<u32>,
    pub(crate) changed_in: u64,
    /// Whether it announced its shutdown before the list showed it.
    pub(crate) withdrawn: bool,
    pub(crate) health: Health,
    pub(crate) sample: ReplicaSample,
}

/// All replicas of one service.
#[derive(Debug, Default)]
pub(crate) struct ServiceReplicas {
    pub(crate) all: BTreeMap<ReplicaId, ReplicaSlots>,
}

impl ReplicaSlots {
    /// Returns whether it accepts new work.
    pub(crate) fn accepts_work(&self) -> bool {
        !self.replica.leaving && !self.withdrawn
    }

    /// Returns the number of slots that this router keeps on it.
    pub(crate) fn kept(&self) -> u32 {
        self.allowed.max(self.running)
    }

    /// Returns how many more requests may start on it.
    fn free(&self, now: Time) -> u32 {
        if !self.accepts_work() {
            return 0;
        }
        let free = self.allowed.saturating_sub(self.running);
        self.health.admits(free, self.running, now)
    }
}

impl ServiceReplicas {
    /// Replaces the list of replicas; the new list already reflects earlier withdrawals.
    ///
    /// The counts of replicas that remain are kept.
    pub(crate) fn replace(&mut self, list: Vec<Replica>) {
        let mut old = std::mem::take(&mut self.all);
        for replica in list {
            let id = replica.id.clone();
            let entry = match old.remove(&id) {
                Some(s) => ReplicaSlots {
                    replica,
                    withdrawn: false,
                    ..s
                },
                None => ReplicaSlots {
                    key: replica_key(&id),
                    replica,
                    allowed: 0,
                    running: 0,
                    reported: None,
                    changed_in: 0,
                    withdrawn: false,
                    health: Health::default(),
                    sample: ReplicaSample::default(),
                },
            };
            self.all.insert(id, entry);
        }
        // Requests still run on a replica that left the list.
        for (id, mut entry) in old {
            if entry.running > 0 {
                entry.replica.leaving = true;
                self.all.insert(id, entry);
            }
        }
    }

    /// Returns how many more requests may start.
    pub(crate) fn free(&self, now: Time) -> u32 {
        self.all.values().map(|s| s.free(now)).sum()
    }

    /// Returns the number of running requests.
    pub(crate) fn running(&self) -> u32 {
        self.all.values().map(|s| s.running).sum()
    }

    /// Returns whether any replica accepts new work.
    pub(crate) fn any_available(&self) -> bool {
        self.all.values().any(ReplicaSlots::accepts_work)
    }

    /// Allows this router its static share of each replica.
    pub(crate) fn set_static_share(&mut self, limit: u32, rank: u32, routers: u32) {
        for (at, entry) in self.all.values_mut().enumerate() {
            let extra = (rank + at as u32) % routers < limit % routers;
            entry.allowed = (limit / routers + u32::from(extra)).max(1);
        }
    }

    /// Applies granted slots. With `all`, replicas that are not listed get none.
    ///
    /// Returns whether the owner revoked any slot.
    pub(crate) fn set_allowed(&mut self, slots: &[(ReplicaKey, u32)], all: bool) -> bool {
        let slots: BTreeMap<ReplicaKey, u32> = slots.iter().copied().collect();
        let mut revoked = false;
        for entry in self.all.values_mut() {
            let Some(n) = slots.get(&entry.key).copied().or(all.then_some(0)) else {
                continue;
            };
            // A slot that was already released counts too, since the owner asked for it.
            let named = slots.contains_key(&entry.key);
            revoked |= n < entry.allowed || named && n == entry.allowed;
            entry.allowed = n;
        }
        revoked
    }

    /// Returns the slots kept on each replica that changed after the report `base`, to be sent in
    /// the report `seq`; on all replicas if there is no base.
    pub(crate) fn report_changes(&mut self, seq: u64, base: u64) -> Vec<(ReplicaKey, u32)> {
        let mut out = Vec::new();
        for entry in self.all.values_mut() {
            let kept = entry.kept();
            if entry.reported != Some(kept) {
                entry.reported = Some(kept);
                entry.changed_in = seq;
            }
            let changed = match base {
                0 => kept > 0,
                _ => entry.changed_in > base,
            };
            if changed {
                out.push((entry.key, kept));
            }
        }
        out
    }

    /// Releases all idle slots; returns whether there were any.
    pub(crate) fn release_idle(&mut self) -> bool {
        let mut released = false;
        for entry in self.all.values_mut() {
            released |= entry.allowed > entry.running;
            entry.allowed = entry.allowed.min(entry.running);
        }
        released
    }

    /// Returns the replicas that can serve none of the requests that avoid these replicas.
    ///
    /// A failing replica gets no requests for a while, and a retry avoids the replica that failed
    /// it unless there is no other.
    pub(crate) fn avoided_replicas(
        &self,
        avoids: &[Option<&ReplicaId>],
        now: Time,
    ) -> Vec<ReplicaKey> {
        if avoids.is_empty() {
            return Vec::new();
        }
        let open = self.all.values().filter(|s| s.accepts_work());
        let others = open.clone().count() > 1;
        let avoided = |s: &ReplicaSlots| avoids.iter().all(|a| *a == Some(&s.replica.id));
        open.filter(|s| !s.health.admits_any(s.running, now) || others && avoided(s))
            .map(|s| s.key)
            .collect()
    }

    /// Releases the idle slots of these replicas; returns whether there were any.
    pub(crate) fn release_idle_on(&mut self, keys: &[ReplicaKey]) -> bool {
        let mut released = false;
        for entry in self.all.values_mut().filter(|s| keys.contains(&s.key)) {
            released |= entry.allowed > entry.running;
            entry.allowed = entry.allowed.min(entry.running);
        }
        released
    }

    /// Selects a replica with a free slot: in this zone first, then the one with most free slots.
    ///
    /// `avoid` is selected only if no other replica accepts new work.
    pub(crate) fn choose(
        &self,
        zone: &Zone,
        avoid: Option<&ReplicaId>,
        now: Time,
    ) -> Option<ReplicaId> {
        let others = self
            .all
            .values()
            .any(|s| s.accepts_work() && Some(&s.replica.id) != avoid);
        self.all
            .values()
            .filter(|s| s.free(now) > 0)
            .filter(|s| !others || Some(&s.replica.id) != avoid)
            .max_by_key(|s| (&s.replica.zone == zone, s.free(now)))
            .map(|s| s.replica.id.clone())
    }
}

/// Returns the short hash of a replica's name.
pub(crate) fn replica_key(id: &ReplicaId) -> ReplicaKey {
    xxh3_64(id.as_str().as_bytes()) as ReplicaKey
}
