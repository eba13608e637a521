//! A router, as the owner of a pool sees it.

use {
    super::GrantedSlots,
    crate::{
        dispatch::{
            Report,
            WorkspaceDemand, //
        },
        service::ReplicaKey,
        Incarnation,
        PeerState,
        Span,
        Time,
        Zone, //
    },
    std::collections::BTreeMap,
};

/// Time constant of the decay of a router's peak demand.
const PEAK_DECAY: Span = Span::secs(2);

/// A router that may hold slots.
#[derive(Debug)]
pub(crate) struct Grantee {
    pub(crate) incarnation: Incarnation,
    pub(crate) zone: Zone,
    /// Whether callers of the service are directed to it.
    pub(crate) preferred: bool,
    pub(crate) state: PeerState,
    /// When its state last changed.
    pub(crate) state_since: Time,
    /// Its term, by its last report.
    pub(crate) term: u32,
    /// Sequence number of its last report; 0 if there is none.
    pub(crate) last_report: u64,
    /// Its slots on each replica, in the order of the pool's replicas.
    pub(crate) granted_slots: Vec<GrantedSlots>,
    /// Slots that it reported to keep on replicas that the pool doesn't know.
    unknown_kept: BTreeMap<ReplicaKey, u32>,
    pub(crate) running: u32,
    /// Recent peak of the requests that run and are queued there.
    pub(crate) peak_demand: f64,
    peak_updated: Time,
    pub(crate) demands: Vec<WorkspaceDemand>,
    /// Mean cost of its requests in thousandths of a unit, and their mean run time.
    pub(crate) estimate: Option<(u64, Span)>,
    /// Sequence number of the last grant to it.
    pub(crate) last_grant: u64,
    /// Total of the slots granted to it.
    total: u32,
    /// Sequence number of the last grant that it has acknowledged.
    pub(crate) seen_grant: u64,
    /// When the last message was sent to it.
    pub(crate) last_sent: Option<Time>,
    /// When it was last sent the virtual times of its backlogged workspaces.
    pub(crate) virtual_times_sent: Option<Time>,
    /// When it was last sent limits of replicas, and the limits sent.
    pub(super) sent_limits: (Option<Time>, BTreeMap<ReplicaKey, u32>),
    /// Set to the term of a report whose base is unknown, to request a full report.
    pub(crate) full_report_term: Option<u32>,
    /// Whether its next grant differs from the last one sent.
    pub(crate) changed: bool,
    /// The last report that was acknowledged to it.
    pub(crate) acked_report: u64,
}

impl Grantee {
    pub(crate) fn new(incarnation: Incarnation, zone: Zone, state: PeerState, now: Time) -> Self {
        Grantee {
            incarnation,
            zone,
            preferred: false,
            state,
            state_since: now,
            term: 0,
            last_report: 0,
            granted_slots: Vec::new(),
            unknown_kept: BTreeMap::new(),
            running: 0,
            peak_demand: 0.0,
            peak_updated: now,
            demands: Vec::new(),
            estimate: None,
            last_grant: 0,
            total: 0,
            seen_grant: 0,
            last_sent: None,
            virtual_times_sent: None,
            sent_limits: (None, BTreeMap::new()),
            full_report_term: None,
            changed: false,
            acked_report: 0,
        }
    }

    /// Returns whether this incarnation has reported.
    pub(crate) fn has_reported(&self) -> bool {
        self.last_report > 0
    }

    /// Returns whether slots may be granted to it.
    pub(crate) fn can_be_granted(&self) -> bool {
        self.has_reported() && self.state == PeerState::Live
    }

    /// Returns the total of the slots granted to it.
    pub(crate) fn total(&self) -> u32 {
        self.total
    }

    /// Returns the total of the slots that it may be using.
    pub(crate) fn held(&self) -> u32 {
        self.granted_slots.iter().map(GrantedSlots::reserved).sum()
    }

    /// Grants one more slot of a replica.
    pub(crate) fn grant_one(&mut self, at: usize) {
        let entry = &mut self.granted_slots[at];
        entry.set_granted(entry.granted + 1, self.last_grant + 1);
        self.total += 1;
        self.changed = true;
    }

    /// Revokes one slot of a replica.
    pub(crate) fn revoke_one(&mut self, at: usize) {
        let entry = &mut self.granted_slots[at];
        if entry.granted > 0 {
            entry.set_granted(entry.granted - 1, self.last_grant + 1);
            self.total -= 1;
            self.changed = true;
        }
    }

    /// Adapts to a change of the pool's replicas.
    pub(crate) fn reindex(&mut self, old: &[ReplicaKey], new: &[ReplicaKey]) {
        let previous = std::mem::take(&mut self.granted_slots);
        let mut known: BTreeMap<ReplicaKey, GrantedSlots> =
            old.iter().copied().zip(previous).collect();
        for key in new {
            let mut entry = known.remove(key).unwrap_or_default();
            entry.kept = entry.kept.max(self.unknown_kept.remove(key).unwrap_or(0));
            self.granted_slots.push(entry);
        }
        for (key, entry) in known.into_iter().filter(|(_, c)| c.kept > 0) {
            self.unknown_kept.insert(key, entry.kept);
        }
        self.total = self.granted_slots.iter().map(|c| c.granted).sum();
    }

    /// Returns the number of its running requests that belong to workspaces without a queue there.
    ///
    /// Their slots become free as they end.
    pub(crate) fn unqueued_running(&self) -> u32 {
        let waiting: u32 = self.demands.iter().map(|w| w.running).sum();
        self.running.saturating_sub(waiting)
    }

    /// Updates the decaying peak of its demand.
    pub(crate) fn update_peak(&mut self, now: Time) {
        let dt = now.since(self.peak_updated).as_secs();
        self.peak_updated = now;
        let demand = f64::from(self.running + self.waiting());
        self.peak_demand = demand.max(self.peak_demand * (-dt / PEAK_DECAY.as_secs()).exp());
    }

    /// Returns the number of requests queued there.
    pub(crate) fn waiting(&self) -> u32 {
        self.demands.iter().map(|w| w.queued).sum()
    }

    /// Returns whether it uses the service.
    pub(crate) fn uses_service(&self) -> bool {
        self.running > 0 || !self.demands.is_empty()
    }

    /// Applies a later report. `at` returns the index of a replica.
    pub(crate) fn apply_report(&mut self, r: Report, at: impl Fn(ReplicaKey) -> Option<usize>) {
        self.last_report = r.seq;
        if r.base == 0 {
            self.unknown_kept.clear();
            self.granted_slots.iter_mut().for_each(|c| c.kept = 0);
        }
        for (key, n) in r.kept {
            match at(key) {
                Some(at) => self.granted_slots[at].kept = n,
                None => {
                    self.unknown_kept.insert(key, n);
                }
            }
        }
        if r.term != self.term {
            self.term = r.term;
            self.seen_grant = 0;
            self.granted_slots.iter_mut().for_each(GrantedSlots::adopt);
            self.changed = true;
        }
        self.seen_grant = self.seen_grant.max(r.seen);
        // The report acknowledges the last grant, so missing slots were released.
        let current = r.seen == self.last_grant;
        for entry in &mut self.granted_slots {
            entry.confirm(r.seen);
            if current {
                entry.granted = entry.granted.min(entry.kept);
            }
        }
        self.total = self.granted_slots.iter().map(|c| c.granted).sum();
        self.running = r.running;
        if let Some(demands) = r.demands {
            self.demands = demands;
        }
        self.granted_slots
            .iter_mut()
            .for_each(|c| c.unusable = false);
        for at in r.avoided.iter().filter_map(|key| at(*key)) {
            self.granted_slots[at].unusable = true;
        }
        for load in r.loads.iter().flat_map(|l| &l.replicas) {
            if let Some(at) = at(load.key) {
                self.granted_slots[at].running = load.running;
            }
        }
        if let Some(l) = r.loads.filter(|l| l.cost > 0 && l.run_time > Span::ZERO) {
            self.estimate = Some((l.cost, l.run_time));
        }
    }

    /// Returns whether it could use any free slot.
    pub(crate) fn can_use_free(&self, free: &[i64]) -> bool {
        let mut all = self.granted_slots.iter().zip(free);
        let avoided = self.granted_slots.iter().any(|c| c.unusable);
        !avoided || all.any(|(entry, n)| *n > 0 && !entry.unusable)
    }

    /// Returns the replicas that can serve none of the requests queued there.
    pub(crate) fn avoided_replicas(&self) -> Vec<usize> {
        let all = self.granted_slots.iter().enumerate();
        all.filter(|(_, c)| c.unusable).map(|(at, _)| at).collect()
    }

    /// Clears its slots, as the router is presumed dead.
    pub(crate) fn clear_held(&mut self) {
        self.granted_slots
            .iter_mut()
            .for_each(|c| *c = GrantedSlots::default());
        self.unknown_kept.clear();
        self.total = 0;
        self.demands.clear();
        self.running = 0;
        self.last_report = self.last_report.max(1);
    }
}
