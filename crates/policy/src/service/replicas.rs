//! The replicas of one service and how many requests this router may run on each.

use {
    super::{
        health::Health,
        sample::Sample, //
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

/// A replica, by a short hash of its name, on the wire.
pub(crate) type ReplicaKey = u32;

/// One replica.
#[derive(Debug)]
pub(crate) struct Seat {
    pub(crate) replica: Replica,
    pub(crate) key: ReplicaKey,
    /// Requests that this router may run on it at once.
    pub(crate) allowed: u32,
    pub(crate) running: u32,
    /// Slots that the owner was last told to be kept, and by which report.
    pub(crate) told: Option<u32>,
    pub(crate) touched: u64,
    /// Set when it was seen to leave before the list said so.
    pub(crate) withdrawn: bool,
    pub(crate) health: Health,
    pub(crate) sample: Sample,
}

/// All replicas of one service.
#[derive(Debug, Default)]
pub(crate) struct Seats {
    pub(crate) all: BTreeMap<ReplicaId, Seat>,
}

impl Seat {
    /// Returns whether it takes new work.
    pub(crate) fn open(&self) -> bool {
        !self.replica.leaving && !self.withdrawn
    }

    /// Returns how many slots this router keeps on it.
    pub(crate) fn kept(&self) -> u32 {
        self.allowed.max(self.running)
    }

    /// Returns how many more requests may start on it.
    fn free(&self, now: Time) -> u32 {
        if !self.open() {
            return 0;
        }
        let free = self.allowed.saturating_sub(self.running);
        self.health.admits(free, self.running, now)
    }
}

impl Seats {
    /// Takes over a new list, which knows what was withdrawn before.
    ///
    /// Counts of replicas that stay are kept.
    pub(crate) fn replace(&mut self, list: Vec<Replica>) {
        let mut old = std::mem::take(&mut self.all);
        for replica in list {
            let id = replica.id.clone();
            let seat = match old.remove(&id) {
                Some(s) => Seat {
                    replica,
                    withdrawn: false,
                    ..s
                },
                None => Seat {
                    key: key_of(&id),
                    replica,
                    allowed: 0,
                    running: 0,
                    told: None,
                    touched: 0,
                    withdrawn: false,
                    health: Health::default(),
                    sample: Sample::default(),
                },
            };
            self.all.insert(id, seat);
        }
        // A replica that is gone from the list still runs what it has.
        for (id, mut seat) in old {
            if seat.running > 0 {
                seat.replica.leaving = true;
                self.all.insert(id, seat);
            }
        }
    }

    /// Returns how many more requests may start.
    pub(crate) fn free(&self, now: Time) -> u32 {
        self.all.values().map(|s| s.free(now)).sum()
    }

    /// Returns how many requests run.
    pub(crate) fn running(&self) -> u32 {
        self.all.values().map(|s| s.running).sum()
    }

    /// Returns whether any replica takes new work.
    pub(crate) fn any_open(&self) -> bool {
        self.all.values().any(Seat::open)
    }

    /// Gives this router its static fraction of each replica.
    pub(crate) fn allot(&mut self, limit: u32, rank: u32, routers: u32) {
        for (at, seat) in self.all.values_mut().enumerate() {
            let extra = (rank + at as u32) % routers < limit % routers;
            seat.allowed = (limit / routers + u32::from(extra)).max(1);
        }
    }

    /// Takes over what was lent: on the replicas named, or where it is `all`, on no other.
    ///
    /// Returns whether any slot was asked back.
    pub(crate) fn allow(&mut self, slots: &[(ReplicaKey, u32)], all: bool) -> bool {
        let slots: BTreeMap<ReplicaKey, u32> = slots.iter().copied().collect();
        let mut fewer = false;
        for seat in self.all.values_mut() {
            let Some(n) = slots.get(&seat.key).copied().or(all.then_some(0)) else {
                continue;
            };
            // One that was given back on its own counts too: the owner asked for it.
            let named = slots.contains_key(&seat.key);
            fewer |= n < seat.allowed || named && n == seat.allowed;
            seat.allowed = n;
        }
        fewer
    }

    /// Returns what this router keeps of each replica where it changed after the report
    /// `base`, to be told by the report `seq`; all that it keeps where there is no base.
    pub(crate) fn news(&mut self, seq: u64, base: u64) -> Vec<(ReplicaKey, u32)> {
        let mut out = Vec::new();
        for seat in self.all.values_mut() {
            let kept = seat.kept();
            if seat.told != Some(kept) {
                seat.told = Some(kept);
                seat.touched = seq;
            }
            let news = match base {
                0 => kept > 0,
                _ => seat.touched > base,
            };
            if news {
                out.push((seat.key, kept));
            }
        }
        out
    }

    /// Keeps no more than what runs; returns whether that changed anything.
    pub(crate) fn close(&mut self) -> bool {
        let mut closed = false;
        for seat in self.all.values_mut() {
            closed |= seat.allowed > seat.running;
            seat.allowed = seat.allowed.min(seat.running);
        }
        closed
    }

    /// Returns the replicas that can take none of the requests which avoid these.
    ///
    /// A replica that fails is let alone for a while, and a retry keeps away from the one
    /// that failed it, unless there is no other.
    pub(crate) fn shunned(&self, avoids: &[Option<&ReplicaId>], now: Time) -> Vec<ReplicaKey> {
        if avoids.is_empty() {
            return Vec::new();
        }
        let open = self.all.values().filter(|s| s.open());
        let others = open.clone().count() > 1;
        let avoided = |s: &Seat| avoids.iter().all(|a| *a == Some(&s.replica.id));
        open.filter(|s| !s.health.admits_any(s.running, now) || others && avoided(s))
            .map(|s| s.key)
            .collect()
    }

    /// Keeps no more than what runs on these replicas; returns whether that changed anything.
    pub(crate) fn close_some(&mut self, keys: &[ReplicaKey]) -> bool {
        let mut closed = false;
        for seat in self.all.values_mut().filter(|s| keys.contains(&s.key)) {
            closed |= seat.allowed > seat.running;
            seat.allowed = seat.allowed.min(seat.running);
        }
        closed
    }

    /// Chooses a replica with room: in this zone first, then the idlest.
    ///
    /// `avoid` is chosen only when no other replica takes new work at all.
    pub(crate) fn choose(
        &self,
        zone: &Zone,
        avoid: Option<&ReplicaId>,
        now: Time,
    ) -> Option<ReplicaId> {
        let others = self
            .all
            .values()
            .any(|s| s.open() && Some(&s.replica.id) != avoid);
        self.all
            .values()
            .filter(|s| s.free(now) > 0)
            .filter(|s| !others || Some(&s.replica.id) != avoid)
            .max_by_key(|s| (&s.replica.zone == zone, s.free(now)))
            .map(|s| s.replica.id.clone())
    }
}

/// Returns the short hash of a replica's name.
pub(crate) fn key_of(id: &ReplicaId) -> ReplicaKey {
    xxh3_64(id.as_str().as_bytes()) as ReplicaKey
}
