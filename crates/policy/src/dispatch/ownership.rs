//! Assignment of pools to owners, and of services to preferred routers.

use {
    super::exchange::PREFERRED_ROUTERS,
    crate::{
        pool::Pool,
        rendezvous,
        service::ServiceState,
        shares::Writer,
        Dispatch,
        Mode,
        Peer,
        PeerState,
        RouterId,
        ServiceId,
        Time, //
    },
    std::collections::{
        BTreeMap,
        BTreeSet, //
    },
};

/// The routers, as needed for every service.
struct RouterView<'a> {
    me: Peer,
    /// The routers that accept work, this one included, ordered by name.
    live: Vec<RouterId>,
    /// The routers that may hold slots, reachable or not.
    known: Vec<&'a RouterId>,
    /// Whether messages of each other router arrive.
    reachable: BTreeMap<Writer, bool>,
    others: &'a BTreeMap<RouterId, Peer>,
    /// Whether the list of routers was received at least once.
    routers_known: bool,
    mode: Mode,
}

/// The position of this router among the live ones.
#[derive(Debug)]
pub(super) struct RouterPosition {
    pub(super) rank: u32,
    pub(super) routers: u32,
}

impl RouterPosition {
    pub(super) fn of(live: &[RouterId], me: &RouterId) -> RouterPosition {
        RouterPosition {
            rank: live.iter().position(|id| id == me).unwrap_or(0) as u32,
            routers: live.len().max(1) as u32,
        }
    }
}

impl RouterView<'_> {
    /// Returns the `n` highest-ranked routers for a service, best first.
    fn top_ranked<'a>(
        &self,
        service: &ServiceId,
        of: &'a [RouterId],
        n: usize,
    ) -> Vec<&'a RouterId> {
        rendezvous::top(service.as_str(), of, n, |id| id.as_str())
    }
}

impl Dispatch {
    /// Recomputes all owners after a change of routers or services.
    pub(super) fn update_ownership(&mut self, now: Time) {
        let mut services = std::mem::take(&mut self.services);
        let view = self.router_view();
        for (service, state) in &mut services {
            state.update_ownership(service, &view, now);
        }
        self.services = services;
        self.schedule_all(now);
    }

    /// Recomputes a service's slots after a change of its replicas.
    pub(super) fn update_slots(&mut self, service: &ServiceId, now: Time) {
        let position = RouterPosition::of(&self.live_routers(), &self.me.id);
        let mode = self.rules.mode;
        let Some(state) = self.services.get_mut(service) else {
            return;
        };
        state.update_slots(mode, &position);
        self.schedule(service, now);
    }

    pub(super) fn schedule_all(&mut self, now: Time) {
        let services: Vec<ServiceId> = self.services.keys().cloned().collect();
        for service in services {
            self.schedule(&service, now);
        }
    }

    /// Returns the routers that accept work, this one included, ordered by name.
    pub(super) fn live_routers(&self) -> Vec<RouterId> {
        let mut live: Vec<RouterId> = self
            .routers
            .values()
            .filter(|p| p.state == PeerState::Live)
            .map(|p| p.id.clone())
            .collect();
        if !self.leaving {
            live.push(self.me.id.clone());
        }
        live.sort();
        live
    }

    fn router_view(&self) -> RouterView<'_> {
        let mut me = self.me.clone();
        if self.leaving {
            me.state = PeerState::Leaving;
        }
        let is_heard = |p: &Peer| p.state != PeerState::Suspect;
        let reachability = |p: &Peer| (Writer::of(&p.id, p.incarnation), is_heard(p));
        let mut known: Vec<&RouterId> = self.routers.keys().collect();
        known.push(&self.me.id);
        RouterView {
            me,
            live: self.live_routers(),
            known,
            reachable: self.routers.values().map(reachability).collect(),
            others: &self.routers,
            routers_known: self.routers_known,
            mode: self.rules.mode,
        }
    }
}

impl ServiceState {
    /// Recomputes the owner of the service's pool and the service's preferred routers.
    fn update_ownership(&mut self, service: &ServiceId, view: &RouterView<'_>, now: Time) {
        self.ledger.set_peers(&view.reachable);
        let preferred_routers = view.top_ranked(service, &view.live, PREFERRED_ROUTERS);
        self.pool_client.preferred = preferred_routers.contains(&&view.me.id);
        let others = preferred_routers.iter().filter(|id| ***id != view.me.id);
        self.peers.set_preferred(others.map(|id| (*id).clone()));
        if view.mode == Mode::Fleet {
            let first = view.top_ranked(service, &view.live, 2);
            let owner = first.first().filter(|_| view.routers_known);
            let owner = owner.map(|id| match view.others.get(*id) {
                Some(p) => ((*id).clone(), p.incarnation),
                None => (view.me.id.clone(), view.me.incarnation),
            });
            let is_owner = owner.as_ref().is_some_and(|o| o.0 == view.me.id);
            self.pool_client.set_owner(owner, now);
            self.update_pool(service, is_owner, view, now);
            let successor = first.get(1).map(|id| (*id).clone());
            if let Some(pool) = &mut self.pool {
                pool.set_successor(successor);
            }
        }
        self.update_slots(view.mode, &RouterPosition::of(&view.live, &view.me.id));
    }

    /// Takes over the pool, updates it, or hands it over.
    fn update_pool(
        &mut self,
        service: &ServiceId,
        is_owner: bool,
        view: &RouterView<'_>,
        now: Time,
    ) {
        if !is_owner {
            if let Some(pool) = self.pool.take() {
                self.pool_client.limits = pool.limits();
            }
            return;
        }
        let pool = self.pool.get_or_insert_with(|| Pool::new(self.key, now));
        let known = view.known.iter().copied();
        let preferred_routers =
            rendezvous::top(service.as_str(), known, PREFERRED_ROUTERS, |id| id.as_str());
        let preferred_routers: BTreeSet<RouterId> =
            preferred_routers.into_iter().cloned().collect();
        pool.set_routers(
            view.others.values().chain([&view.me]),
            &preferred_routers,
            now,
        );
    }

    /// Recomputes the slots after a change of replicas.
    fn update_slots(&mut self, mode: Mode, position: &RouterPosition) {
        if mode != Mode::Fleet {
            self.replica_slots.set_static_share(
                self.rules.start.0,
                position.rank,
                position.routers,
            );
        } else if let Some(pool) = &mut self.pool {
            pool.set_replicas(
                &self.replica_slots,
                &self.pool_client.limits,
                self.rules.start,
            );
        }
    }
}
