//! Selection of the next request to start, and of its replica.

use {
    super::{
        state::ActiveRequests,
        Queue,
        ReplicaKey,
        ReplicaSlots,
        ServiceState, //
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

/// Number of requests at the head of a queue that are considered, as a retry may avoid the
/// only replica with a free slot.
const HEAD_LIMIT: usize = 8;

impl ServiceState {
    /// Selects the next request to start and its replica.
    pub(crate) fn next_request(
        &self,
        mode: Mode,
        requests: &ActiveRequests,
        zone: &Zone,
        now: Time,
    ) -> Option<(JobId, ReplicaId)> {
        if self.replica_slots.free(now) == 0 {
            return None;
        }
        let keys = match mode {
            Mode::Static => self.by_arrival(),
            _ => self.by_virtual_time(requests),
        };
        keys.iter()
            .find_map(|key| self.first_placeable(&self.queues[key], requests, zone, now))
    }

    /// Returns the first request of a queue for which a replica has a free slot.
    fn first_placeable(
        &self,
        queue: &Queue,
        requests: &ActiveRequests,
        zone: &Zone,
        now: Time,
    ) -> Option<(JobId, ReplicaId)> {
        queue
            .positions
            .iter()
            .take(HEAD_LIMIT)
            .find_map(|(_, _, id)| {
                let avoid = requests[*id].avoid.as_ref();
                Some((*id, self.replica_slots.choose(zone, avoid, now)?))
            })
    }

    /// Returns the backlogged workspaces, first come, first served.
    fn by_arrival(&self) -> Vec<Key> {
        let mut heads: Vec<_> = self
            .queues
            .iter()
            .filter_map(|(k, q)| Some((q.positions.first()?, *k)))
            .collect();
        heads.sort();
        heads.into_iter().map(|h| h.1).collect()
    }

    /// Returns the backlogged workspaces in the order in which they are served.
    ///
    /// The least virtual time comes first, but within the rules' window of it the most urgent
    /// request at the head of a queue.
    fn by_virtual_time(&self, requests: &ActiveRequests) -> Vec<Key> {
        let window = (self.rules.window.0 * MILLI) as i64;
        let mut heads: Vec<_> = self
            .queues
            .iter()
            .filter_map(|(k, q)| {
                Some((
                    self.ledger.virtual_time(*k),
                    requests[q.positions.first()?.2].job.urgency,
                    *k,
                ))
            })
            .collect();
        let least = heads.iter().map(|h| h.0).min().unwrap_or(0);
        heads.sort_by_key(|&(virtual_time, urgency, key)| {
            let within = virtual_time <= least + window;
            let rank = if within { 9 - urgency.min(9) } else { 10 };
            (rank, virtual_time, key)
        });
        heads.into_iter().map(|h| h.2).collect()
    }

    /// Returns the replicas that can serve none of the queued requests.
    pub(crate) fn avoided_replicas(&self, requests: &ActiveRequests, now: Time) -> Vec<ReplicaKey> {
        let failing = |s: &ReplicaSlots| !s.health.admits_any(s.running, now);
        if self.queued_retries == 0 && !self.replica_slots.all.values().any(failing) {
            return Vec::new();
        }
        let heads = self
            .queues
            .values()
            .flat_map(|q| q.positions.iter().take(HEAD_LIMIT));
        let avoids: Vec<_> = heads.map(|h| requests[h.2].avoid.as_ref()).collect();
        self.replica_slots.avoided_replicas(&avoids, now)
    }
}
