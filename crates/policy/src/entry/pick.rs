//! Which queued request starts next, and where.

use {
    super::{
        core::Lives,
        Entry,
        Queue,
        ReplicaKey,
        Seat, //
    },
    crate::{
        shares::{
            Key,
            MILLI, //
        },
        JobId,
        Mode,
        ReplicaId,
        Time,
        Zone, //
    },
};

/// How many requests at the head are tried when a retry must avoid a replica.
const HEAD: usize = 8;

impl Entry {
    /// Chooses the next request to start and its replica.
    pub(crate) fn next(
        &self,
        mode: Mode,
        lives: &Lives,
        zone: &Zone,
        now: Time,
    ) -> Option<(JobId, ReplicaId)> {
        if self.seats.free(now) == 0 {
            return None;
        }
        let keys = match mode {
            Mode::Static => self.by_arrival(),
            _ => self.by_level(lives),
        };
        keys.iter()
            .find_map(|key| self.placeable(&self.queues[key], lives, zone, now))
    }

    /// Returns the first request of a queue that has a replica to go to.
    fn placeable(
        &self,
        queue: &Queue,
        lives: &Lives,
        zone: &Zone,
        now: Time,
    ) -> Option<(JobId, ReplicaId)> {
        queue.places.iter().take(HEAD).find_map(|(_, _, id)| {
            let avoid = lives[*id].avoid.as_ref();
            Some((*id, self.seats.choose(zone, avoid, now)?))
        })
    }

    /// Returns the backlogged workspaces, first come first served.
    fn by_arrival(&self) -> Vec<Key> {
        let mut heads: Vec<_> = self
            .queues
            .iter()
            .filter_map(|(k, q)| Some((q.places.first()?, *k)))
            .collect();
        heads.sort();
        heads.into_iter().map(|h| h.1).collect()
    }

    /// Returns the backlogged workspaces, the one that is due first.
    ///
    /// That is the one with the least normalised service; but within the window of
    /// it, the one with the most urgent head.
    fn by_level(&self, lives: &Lives) -> Vec<Key> {
        let window = (self.rules.window.0 * MILLI) as i64;
        let mut heads: Vec<_> = self
            .queues
            .iter()
            .filter_map(|(k, q)| {
                Some((
                    self.ledger.virtual_time(*k),
                    lives[q.places.first()?.2].job.urgency,
                    *k,
                ))
            })
            .collect();
        let least = heads.iter().map(|h| h.0).min().unwrap_or(0);
        heads.sort_by_key(|&(level, urgency, key)| {
            let within = level <= least + window;
            let rank = if within { 9 - urgency.min(9) } else { 10 };
            (rank, level, key)
        });
        heads.into_iter().map(|h| h.2).collect()
    }

    /// Returns the replicas that can take nothing of what waits.
    pub(crate) fn shunned(&self, lives: &Lives, now: Time) -> Vec<ReplicaKey> {
        let failing = |s: &Seat| !s.health.admits_any(s.running, now);
        if self.retries == 0 && !self.seats.all.values().any(failing) {
            return Vec::new();
        }
        let heads = self
            .queues
            .values()
            .flat_map(|q| q.places.iter().take(HEAD));
        let avoids: Vec<_> = heads.map(|h| lives[h.2].avoid.as_ref()).collect();
        self.seats.shunned(&avoids, now)
    }
}
