//! The owner's side of a pool: distribution of its slots among the routers.

use {
    super::{
        grants::GrantHeader,
        ByteBudget,
        GrantedSlots,
        Grantee,
        Limits,
        OwnedSlots,
        RequestEstimate, //
    },
    crate::{
        dispatch::{
            ReplicaLoad,
            Report,
            ServiceKey,
            SlotGrant,
            WorkspaceDemand, //
        },
        service::{
            ReplicaKey,
            ServiceReplicas, //
        },
        shares::{
            Ledger,
            Writer,
            MILLI, //
        },
        GranteeDump,
        Incarnation,
        Peer,
        PeerState,
        RouterId,
        ServiceRules,
        Slots,
        Span,
        Time, //
    },
    std::collections::{
        BTreeMap,
        BTreeSet, //
    },
};

/// Minimum interval between two plans that revoke slots while the pool is contended.
const REVOKE_INTERVAL: Span = Span::millis(100);
/// The same while the pool is not contended.
const IDLE_REVOKE_INTERVAL: Span = Span::millis(500);
/// Minimum interval between two plans, for each pair of a replica and a router.
const PLAN_TIME_PER_PAIR: Span = Span(8);
/// Rate at which an owner may send grants, and the size of a burst.
const GRANT_BYTES_PER_SEC: f64 = 8_000.0;
const GRANT_BURST_BYTES: f64 = 3_000.0;
/// A probe may run at any time if it takes at most one in this number of the pool's slots.
const PROBE_DIVISOR: u32 = 50;
/// Minimum time from the last probe to one that takes more, while the pool is contended.
const LARGE_PROBE_INTERVAL: Span = Span::secs(120);
/// Maximum lead of a workspace, in multiples of the cost of requests on all slots.
const DEBT_FACTOR: f64 = 2.0;

/// A pool of slots, at its owner.
#[derive(Debug)]
pub(crate) struct Pool {
    service: ServiceKey,
    /// The slots of each replica, ordered by its key.
    pub(super) owned_slots: Vec<OwnedSlots>,
    pub(super) grantees: BTreeMap<RouterId, Grantee>,
    pub(crate) contended: bool,
    /// When this router became the owner.
    pub(super) owned_since: Time,
    /// Since when demand has exceeded the slots.
    pub(super) full_since: Option<Time>,
    /// When demand last exceeded the slots, after it had done so for `CONTENDED_AFTER`.
    pub(super) last_full: Option<Time>,
    last_revoke: Time,
    /// When the last plan of any kind was made.
    last_plan: Time,
    pub(super) changed: bool,
    /// When a replica last ran fewer requests to probe its baseline latency.
    last_probe: Time,
    /// The router that becomes the owner if this one fails.
    successor: Option<RouterId>,
    send_budget: ByteBudget,
}

impl Pool {
    pub(crate) fn new(service: ServiceKey, now: Time) -> Pool {
        Pool {
            service,
            owned_slots: Vec::new(),
            grantees: BTreeMap::new(),
            contended: false,
            owned_since: now,
            full_since: None,
            last_full: None,
            last_revoke: now,
            last_plan: Time(0),
            successor: None,
            changed: true,
            last_probe: now,
            send_budget: ByteBudget::default(),
        }
    }

    /// Replaces the replicas. What was learnt about those that remain is kept.
    ///
    /// A new replica starts at its last known limit, or else at `start`.
    pub(crate) fn set_replicas(
        &mut self,
        service_replicas: &ServiceReplicas,
        known_limits: &Limits,
        start: Slots,
    ) {
        let old_keys: Vec<ReplicaKey> = self.owned_slots.iter().map(|l| l.key).collect();
        let previous = std::mem::take(&mut self.owned_slots);
        let mut old: BTreeMap<ReplicaKey, OwnedSlots> =
            previous.into_iter().map(|l| (l.key, l)).collect();
        for slots in service_replicas.all.values().filter(|s| s.accepts_work()) {
            let owned = old.remove(&slots.key).unwrap_or_else(|| {
                let limit = known_limits.get(&slots.key).copied().map_or(start, Slots);
                OwnedSlots::new(slots.key, slots.replica.zone.clone(), limit)
            });
            self.owned_slots.push(owned);
        }
        self.owned_slots.sort_by_key(|l| l.key);
        let keys: Vec<ReplicaKey> = self.owned_slots.iter().map(|l| l.key).collect();
        if keys != old_keys {
            for g in self.grantees.values_mut() {
                g.reindex(&old_keys, &keys);
            }
        }
        self.changed = true;
    }

    /// Returns the index of a replica.
    fn index_of(owned_slots: &[OwnedSlots], key: ReplicaKey) -> Option<usize> {
        owned_slots.binary_search_by_key(&key, |l| l.key).ok()
    }

    /// Sets the successor of the owner.
    pub(crate) fn set_successor(&mut self, successor: Option<RouterId>) {
        self.successor = successor;
    }

    /// Replaces the routers, this one included, and the set of preferred ones.
    pub(crate) fn set_routers<'a>(
        &mut self,
        list: impl Iterator<Item = &'a Peer>,
        preferred_routers: &BTreeSet<RouterId>,
        now: Time,
    ) {
        let mut old = std::mem::take(&mut self.grantees);
        for p in list {
            let kept = old.remove(&p.id).filter(|g| g.incarnation == p.incarnation);
            let mut g = match kept {
                Some(g) => g,
                None => {
                    let mut g = Grantee::new(p.incarnation, p.zone.clone(), p.state, now);
                    g.granted_slots = vec![GrantedSlots::default(); self.owned_slots.len()];
                    g
                }
            };
            g.preferred = preferred_routers.contains(&p.id);
            if g.state != p.state {
                g.state = p.state;
                g.state_since = now;
            }
            self.grantees.insert(p.id.clone(), g);
        }
        self.changed = true;
    }

    /// Processes a report of a router.
    pub(crate) fn apply_report(&mut self, from: &RouterId, inc: Incarnation, r: Report, now: Time) {
        let Some(g) = self.grantees.get_mut(from) else {
            return;
        };
        if g.incarnation != inc || r.seq <= g.last_report {
            return;
        }
        // The report contains the changes since an older one that was lost with the memory of the
        // last owner, or with this owner's list of routers. Request a full report.
        if r.base > g.last_report {
            g.full_report_term = Some(r.term);
            return;
        }
        for (key, limit) in &r.limits {
            if let Some(at) = Self::index_of(&self.owned_slots, *key) {
                self.owned_slots[at].inherit(*limit);
            }
        }
        let loads = r.loads.clone().map_or(Vec::new(), |l| l.replicas);
        g.apply_report(r, |key| Self::index_of(&self.owned_slots, key));
        g.update_peak(now);
        self.learn_limits(loads, now);
        self.changed = true;
    }

    /// Updates the limits of replicas from the performance that a router observed.
    fn learn_limits(&mut self, loads: Vec<ReplicaLoad>, now: Time) {
        for load in loads {
            let Some(at) = Self::index_of(&self.owned_slots, load.key) else {
                continue;
            };
            let running = self
                .grantees
                .values()
                .map(|g| g.granted_slots[at].running)
                .sum();
            let probe = self.may_probe(at, now);
            self.owned_slots[at].learn(&load, running, probe, now);
            if self.owned_slots[at].probing() {
                self.last_probe = now;
            }
        }
    }

    /// Returns whether a replica may run fewer requests for a while, to see whether they become
    /// faster.
    ///
    /// If all replicas did so at the same time, a tenth of the pool would be idle while requests
    /// are queued. So only one replica probes at a time, and rarely if its probe takes more than a
    /// small part of the pool.
    fn may_probe(&self, at: usize, now: Time) -> bool {
        let cheap =
            self.owned_slots[at].probe_cost() * PROBE_DIVISOR <= self.capacity() || !self.contended;
        let rare = now.since(self.last_probe) >= LARGE_PROBE_INTERVAL;
        (cheap || rare) && !self.owned_slots.iter().any(OwnedSlots::probing)
    }

    /// Returns the maximum lead of a backlogged workspace over the others, in thousandths of a
    /// unit, if the cost of requests is known.
    ///
    /// It is well above the lead that arises without faults: one workspace having all slots
    /// several times over.
    pub(crate) fn debt(&self, rules: &ServiceRules) -> Option<i64> {
        let estimate = RequestEstimate::of(self.grantees.values());
        let all_slots_cost = f64::from(self.capacity()) * estimate.cost;
        let allowance = (rules.window.0 + rules.credit.0) * MILLI;
        estimate
            .known
            .then_some((DEBT_FACTOR * all_slots_cost + allowance) as i64)
    }

    /// Replans if anything has changed and enough time has passed.
    pub(crate) fn plan(&mut self, ledger: &Ledger, now: Time) {
        let was_contended = self.contended;
        self.reclaim(now);
        self.update_contention(now);
        // Planning a large pool takes longer, and one slot matters less in it.
        let pairs = self.owned_slots.len() * self.grantees.len();
        if now.since(self.last_plan) < Span(pairs as u64 * PLAN_TIME_PER_PAIR.0) {
            return;
        }
        let interval = if self.contended {
            REVOKE_INTERVAL
        } else {
            IDLE_REVOKE_INTERVAL
        };
        let due = now.since(self.last_revoke) >= interval;
        if !self.changed && !due && was_contended == self.contended {
            return;
        }
        self.changed = false;
        self.last_plan = now;
        self.revoke_excess();
        let targets = match self.contended {
            true => self.contended_targets(ledger),
            false => self.uncontended_targets(),
        };
        self.regrant_kept(&targets);
        if !self.contended {
            // Slots that queued requests need move at once, spare ones only when a revocation
            // is due.
            let needs = self.needs();
            self.revoke(&needs, &needs);
        }
        if due {
            self.last_revoke = now;
            self.revoke(&targets, &targets);
        }
        if self.is_gathering_reports(now) {
            return;
        }
        if !self.contended {
            self.grant_free(&self.needs());
        }
        self.grant_free(&targets);
    }

    /// Returns the number of slots of the pool.
    pub(crate) fn capacity(&self) -> u32 {
        self.owned_slots.iter().map(OwnedSlots::limit).sum()
    }

    /// Returns the limit of a replica.
    pub(crate) fn limit(&self, key: ReplicaKey) -> Option<Slots> {
        Self::index_of(&self.owned_slots, key).map(|at| Slots(self.owned_slots[at].limit()))
    }

    /// Returns the limits of all replicas, for the next owner.
    pub(crate) fn limits(&self) -> Limits {
        self.owned_slots
            .iter()
            .map(|l| (l.key, l.limit()))
            .collect()
    }

    /// Returns the slots of each router for operators.
    pub(crate) fn dump(&self) -> Vec<GranteeDump> {
        self.grantees
            .iter()
            .map(|(id, g)| GranteeDump {
                router: id.clone(),
                state: g.state,
                granted: Slots(g.total()),
                kept: Slots(g.granted_slots.iter().map(|c| c.kept).sum()),
                running: Slots(g.running),
                waiting: g.demands.iter().map(|w| w.queued as usize).sum(),
            })
            .collect()
    }

    /// Returns the due grants.
    pub(crate) fn due_grants(
        &mut self,
        me: &RouterId,
        ledger: &Ledger,
        now: Time,
    ) -> Vec<(RouterId, SlotGrant)> {
        self.send_budget
            .refill(GRANT_BYTES_PER_SEC, GRANT_BURST_BYTES, now);
        let header = GrantHeader {
            service: self.service,
            contended: self.contended,
            capacity: self.capacity(),
            sharers: self.grantees.values().filter(|g| g.uses_service()).count() as u32,
        };
        let mut out = Vec::new();
        for (id, g) in &mut self.grantees {
            if let Some(term) = g.full_report_term.take() {
                out.push((id.clone(), header.request_full_report(term)));
            } else if g.has_reported() && g.state != PeerState::Suspect {
                let writer = Writer::of(id, g.incarnation);
                let virtual_time = |w: &WorkspaceDemand| ledger.virtual_time_without(w.key, writer);
                let local = id == me;
                let may_send = local || self.send_budget.has_bytes() && g.can_send(now);
                let mut grant =
                    g.due_grant(&header, &self.owned_slots, virtual_time, may_send, now);
                if let Some(l) = grant
                    .as_mut()
                    .filter(|_| self.successor.as_ref() == Some(id))
                {
                    l.limits = g.due_limits(&self.owned_slots, now);
                }
                if !local {
                    self.send_budget
                        .spend(grant.as_ref().map_or(0, SlotGrant::size));
                }
                out.extend(grant.map(|l| (id.clone(), l)));
            }
        }
        out
    }
}
