//! The slots of a replica and its learnt concurrency limit.

use crate::{
    dispatch::ReplicaLoad,
    limit::ConcurrencyLimit,
    service::ReplicaKey,
    Slots,
    Time,
    Zone, //
};

/// The slots of one replica of a pool.
#[derive(Debug)]
pub(crate) struct OwnedSlots {
    pub(crate) key: ReplicaKey,
    pub(crate) zone: Zone,
    limit: ConcurrencyLimit,
}

impl OwnedSlots {
    pub(crate) fn new(key: ReplicaKey, zone: Zone, start: Slots) -> OwnedSlots {
        OwnedSlots {
            key,
            zone,
            limit: ConcurrencyLimit::new(start),
        }
    }

    /// Returns how many requests may run on it concurrently.
    pub(crate) fn limit(&self) -> u32 {
        self.limit.get().0
    }

    /// Returns whether it runs fewer requests for a while, to probe its baseline latency.
    pub(crate) fn probing(&self) -> bool {
        self.limit.is_probing()
    }

    /// Returns the number of slots that a probe takes.
    pub(crate) fn probe_cost(&self) -> u32 {
        self.limit.probe_cost().0
    }

    /// Updates the limit from the performance one router observed; `running` counts the requests
    /// of all routers.
    pub(crate) fn learn(&mut self, load: &ReplicaLoad, running: u32, probe: bool, now: Time) {
        let running = Slots(running);
        self.limit.allow_probe(probe);
        self.limit
            .record(load.first_byte, load.token_gap, running, load.ok, now);
        if let Some((runs, waits)) = load.self_reported {
            self.limit.record_load(runs, waits, now);
        }
    }

    /// Raises the limit to the one that a previous owner has learnt.
    pub(crate) fn inherit(&mut self, learnt: u32) {
        if learnt > self.limit() {
            self.limit = ConcurrencyLimit::new(Slots(learnt));
        }
    }
}
