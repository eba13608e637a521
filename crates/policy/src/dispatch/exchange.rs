//! Exchange of reports, slot grants and usage updates between routers.

use {
    super::ownership::RouterPosition,
    crate::{
        rendezvous,
        service::{
            ReplicaKey,
            ServiceState, //
        },
        shares::Writer,
        Action,
        Dispatch,
        Incarnation,
        Message,
        Mode,
        Peer,
        PeerState,
        RouterId,
        ServiceId,
        Span,
        Time, //
    },
};

/// Rate at which one router may send usage updates.
const USAGE_BYTES_PER_SEC: f64 = 3_000.0;
/// Bytes that may be sent in a burst.
const USAGE_BURST_BYTES: f64 = 3_000.0;
/// Minimum interval between two usage updates about one service to one router.
const USAGE_INTERVAL: Span = Span::secs(1);
/// Minimum interval to and from the owner of the pool, which splits the slots by usage.
const OWNER_USAGE_INTERVAL: Span = Span::millis(200);
/// Interval between two checks for due usage updates.
const USAGE_CHECK_INTERVAL: Span = Span::millis(50);
/// Maximum number of routers that callers of one service are directed to.
pub(super) const PREFERRED_ROUTERS: usize = 14;
/// Maximum number of grants to this router itself in one step, as each may lead to another.
const SELF_GRANT_ROUNDS: usize = 4;

impl Dispatch {
    /// Processes a message from another router.
    pub fn deliver(&mut self, from: &RouterId, incarnation: Incarnation, msg: Message, now: Time) {
        if self.rules.mode != Mode::Fleet {
            return;
        }
        let key = msg.service();
        let service = self.services.iter().find(|(_, e)| e.key == key);
        let Some(service) = service.map(|(s, _)| s.clone()) else {
            return;
        };
        let Some(state) = self.services.get_mut(&service) else {
            return;
        };
        state.peers.record_received(from, now);
        match msg {
            Message::Report(r) => {
                if let Some(pool) = &mut state.pool {
                    pool.apply_report(from, incarnation, r, now);
                }
            }
            Message::SlotGrant(g) => {
                for (key, virtual_time) in
                    state
                        .pool_client
                        .granted_virtual_times(from, incarnation, &g)
                {
                    state.ledger.set_owner_view(key, virtual_time, now);
                }
                state
                    .pool_client
                    .apply_grant(from, incarnation, &g, &mut state.replica_slots, now);
            }
            Message::UsageUpdates(n) => {
                let debt = state.pool.as_ref().and_then(|p| p.debt(&state.rules));
                let writer = Writer::of(from, incarnation);
                state.ledger.merge(writer, n, debt);
            }
        }
        self.schedule(&service, now);
    }

    /// Sends the due reports and slot grants of a service.
    pub(super) fn send_pool_messages(&mut self, service: &ServiceId, now: Time) {
        for _ in 0..SELF_GRANT_ROUNDS {
            let Some(state) = self.services.get_mut(service) else {
                return;
            };
            let avoided = state.avoided_replicas(&self.requests, now);
            let out = state.pool_messages(&self.me, avoided, self.leaving, now);
            self.actions.extend(out.sends);
            if !out.self_granted {
                return;
            }
            self.start_requests(service, now);
        }
    }

    /// Sends the due usage updates, and falls back to static shares where no owner answers.
    pub(super) fn exchange_usage(&mut self, now: Time) {
        if self.rules.mode != Mode::Fleet || now.since(self.last_exchange) < USAGE_CHECK_INTERVAL {
            return;
        }
        self.last_exchange = now;
        let live = self.live_routers();
        let position = RouterPosition::of(&live, &self.me.id);
        for state in self.services.values_mut().filter(|e| !e.is_idle()) {
            state.maintain(&position, now);
        }
        self.usage_budget
            .refill(USAGE_BYTES_PER_SEC, USAGE_BURST_BYTES, now);
        let mut due = self.due_usage_updates(&live, now);
        due.sort();
        for (_, service, to, relay) in due {
            if !self.usage_budget.has_bytes() {
                return;
            }
            self.send_usage_update(service, to, relay, now);
        }
    }

    /// Returns the usage updates that may be sent, the longest unsent first.
    fn due_usage_updates(
        &self,
        live: &[RouterId],
        now: Time,
    ) -> Vec<(Time, ServiceId, RouterId, bool)> {
        let mut due = Vec::new();
        for (service, service_state) in &self.services {
            if service_state.ledger.is_empty() {
                continue;
            }
            let owner = service_state.pool_client.owner.as_ref().map(|o| &o.0);
            for id in service_state.peers.ids() {
                let Some(p) = self
                    .routers
                    .get(id)
                    .filter(|p| p.state != PeerState::Suspect)
                else {
                    continue;
                };
                let owner_involved = owner == Some(id) || owner == Some(&self.me.id);
                let interval = if owner_involved {
                    OWNER_USAGE_INTERVAL
                } else {
                    USAGE_INTERVAL
                };
                if !service_state
                    .peers
                    .is_due(id, service_state.ledger.rev(), interval, now)
                {
                    continue;
                }
                let writer = Writer::of(id, p.incarnation);
                let relay = service_state.ledger.is_new(writer) && self.relays_usage_to(id, live);
                if service_state.ledger.has_updates_for(writer, relay) {
                    let sent_at = service_state.peers.last_sent(id).unwrap_or_default();
                    due.push((sent_at, service.clone(), id.clone(), relay));
                }
            }
        }
        due
    }

    /// Sends a usage update about one service to one router, if there is anything to send.
    fn send_usage_update(&mut self, service: ServiceId, to: RouterId, relay: bool, now: Time) {
        let (Some(state), Some(peer)) = (self.services.get_mut(&service), self.routers.get(&to))
        else {
            return;
        };
        let writer = Writer::of(&to, peer.incarnation);
        let Some(n) = state.ledger.usage_updates(state.key, writer, relay) else {
            return;
        };
        self.usage_budget.spend(n.size());
        state.peers.record_sent(&to, state.ledger.rev(), now);
        self.actions.push(Action::Send {
            to,
            msg: Message::UsageUpdates(n),
        });
    }

    /// Returns whether this router relays the usage of all others to a new router.
    fn relays_usage_to(&self, to: &RouterId, live: &[RouterId]) -> bool {
        let rest = live.iter().filter(|id| *id != to);
        let relays = rendezvous::top(to.as_str(), rest, RELAY_COUNT, |id| id.as_str());
        relays.contains(&&self.me.id)
    }
}

/// Number of routers that relay the usage of all others to a new router.
const RELAY_COUNT: usize = 2;

/// The pool messages of one service.
struct PoolMessages {
    sends: Vec<Action>,
    /// Whether this router, as the owner, granted itself different slots.
    self_granted: bool,
}

impl ServiceState {
    /// Returns the due reports and slot grants.
    fn pool_messages(
        &mut self,
        me: &Peer,
        avoided: Vec<ReplicaKey>,
        leaving: bool,
        now: Time,
    ) -> PoolMessages {
        let mut out = PoolMessages {
            sends: Vec::new(),
            self_granted: false,
        };
        self.pool_client
            .release_unused(&self.queues, &mut self.replica_slots, leaving);
        self.pool_client
            .release_avoided(&mut self.replica_slots, &avoided, now);
        let local = self.pool.is_some();
        let report = self.pool_client.report(
            self.key,
            &self.queues,
            &mut self.replica_slots,
            avoided,
            local,
            now,
        );
        if let (Some(mut r), Some((to, _))) = (report, self.pool_client.owner.clone()) {
            if self
                .pool_client
                .loads_due(self.replica_slots.all.len(), now)
            {
                self.pool_client.record_loads_sent(now);
                r.loads = Some(self.take_loads());
            }
            match &mut self.pool {
                Some(pool) => pool.apply_report(&me.id, me.incarnation, r, now),
                None => out.sends.push(Action::Send {
                    to,
                    msg: Message::Report(r),
                }),
            }
        }
        let Some(pool) = &mut self.pool else {
            return out;
        };
        pool.plan(&self.ledger, now);
        for (to, grant) in pool.due_grants(&me.id, &self.ledger, now) {
            if to == me.id {
                out.self_granted |= self.pool_client.apply_grant(
                    &to,
                    me.incarnation,
                    &grant,
                    &mut self.replica_slots,
                    now,
                );
            } else {
                let msg = Message::SlotGrant(grant);
                out.sends.push(Action::Send { to, msg });
            }
        }
        out
    }

    /// Does periodic work: ages the usage ledger and falls back to the static share if the owner
    /// is unreachable.
    fn maintain(&mut self, position: &RouterPosition, now: Time) {
        self.ledger.tick(now);
        if let Some(pool) = &self.pool {
            if let Some(debt) = pool.debt(&self.rules) {
                self.ledger.forgive(debt);
            }
        }
        if self.pool_client.owner_unreachable(now) {
            self.replica_slots.set_static_share(
                self.rules.start.0,
                position.rank,
                position.routers,
            );
        }
    }
}
