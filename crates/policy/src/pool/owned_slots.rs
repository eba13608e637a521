//! A replica of a pool and its learnt limit.

use crate::{
    dispatch::Load,
    limit::Limit,
    service::ReplicaKey,
    Slots,
    Time,
    Zone, //
};

/// A replica of a pool.
#[derive(Debug)]
pub(crate) struct Lot {
    pub(crate) key: ReplicaKey,
    pub(crate) zone: Zone,
    limit: Limit,
}

impl Lot {
    pub(crate) fn new(key: ReplicaKey, zone: Zone, start: Slots) -> Lot {
        Lot {
            key,
            zone,
            limit: Limit::new(start),
        }
    }

    /// Returns how many requests may run on it at once.
    pub(crate) fn limit(&self) -> u32 {
        self.limit.get().0
    }

    /// Returns whether it runs fewer requests for a while, to see whether they are faster.
    pub(crate) fn probing(&self) -> bool {
        self.limit.probing()
    }

    /// Returns how many slots that takes.
    pub(crate) fn probe_cost(&self) -> u32 {
        self.limit.probe_cost().0
    }

    /// Learns from how it answered one router, while `running` ran in all.
    pub(crate) fn learn(&mut self, load: &Load, running: u32, probe: bool, now: Time) {
        let running = Slots(running);
        self.limit.allow_probe(probe);
        self.limit
            .sample(load.first, load.gap, running, load.ok, now);
        if let Some((runs, waits)) = load.said {
            self.limit.load(runs, waits, now);
        }
    }

    /// Begins at least at what the routers use, where the owner is new and the limit was
    /// learnt by another.
    pub(crate) fn inherit(&mut self, used: u32) {
        if used > self.limit() {
            self.limit = Limit::new(Slots(used));
        }
    }
}
