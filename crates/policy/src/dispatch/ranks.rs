//! Which router owns which pool, and who deals with which service.

use {
    super::exchange::HOMES,
    crate::{
        entry::Entry,
        pool::Pool,
        rendezvous,
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

/// The routers, as they matter to every service.
struct View<'a> {
    me: Peer,
    /// Those that take work, in order of name, with this one.
    live: Vec<RouterId>,
    /// Those that may hold slots, heard or not.
    known: Vec<&'a RouterId>,
    /// Whether each other router is heard from.
    friends: BTreeMap<Writer, bool>,
    others: &'a BTreeMap<RouterId, Peer>,
    /// Whether the list of routers was given at least once.
    listed: bool,
    mode: Mode,
}

/// The place of this router among the live ones.
#[derive(Debug)]
pub(super) struct Place {
    pub(super) rank: u32,
    pub(super) routers: u32,
}

impl Place {
    pub(super) fn of(live: &[RouterId], me: &RouterId) -> Place {
        Place {
            rank: live.iter().position(|id| id == me).unwrap_or(0) as u32,
            routers: live.len().max(1) as u32,
        }
    }
}

impl View<'_> {
    /// Returns the first routers for a service, best first.
    fn first<'a>(&self, service: &ServiceId, of: &'a [RouterId], n: usize) -> Vec<&'a RouterId> {
        rendezvous::top(service.as_str(), of, n, |id| id.as_str())
    }
}

impl Dispatch {
    /// Finds out who owns what after a change of routers or services.
    pub(super) fn rank(&mut self, now: Time) {
        let mut services = std::mem::take(&mut self.services);
        let view = self.view();
        for (service, entry) in &mut services {
            entry.rank(service, &view, now);
        }
        self.services = services;
        self.pump_all(now);
    }

    /// Follows a change of a service's replicas.
    pub(super) fn reseat(&mut self, service: &ServiceId, now: Time) {
        let place = Place::of(&self.live(), &self.me.id);
        let mode = self.rules.mode;
        let Some(entry) = self.services.get_mut(service) else {
            return;
        };
        entry.reseat(mode, &place);
        self.pump(service, now);
    }

    pub(super) fn pump_all(&mut self, now: Time) {
        let services: Vec<ServiceId> = self.services.keys().cloned().collect();
        for service in services {
            self.pump(&service, now);
        }
    }

    /// Returns the routers that take work, in order of name, with this one.
    pub(super) fn live(&self) -> Vec<RouterId> {
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

    fn view(&self) -> View<'_> {
        let mut me = self.me.clone();
        if self.leaving {
            me.state = PeerState::Leaving;
        }
        let heard = |p: &Peer| p.state != PeerState::Suspect;
        let friend = |p: &Peer| (Writer::of(&p.id, p.incarnation), heard(p));
        let mut known: Vec<&RouterId> = self.routers.keys().collect();
        known.push(&self.me.id);
        View {
            me,
            live: self.live(),
            known,
            friends: self.routers.values().map(friend).collect(),
            others: &self.routers,
            listed: self.listed,
            mode: self.rules.mode,
        }
    }
}

impl Entry {
    /// Finds out who owns the service's pool and who deals with it.
    fn rank(&mut self, service: &ServiceId, view: &View<'_>, now: Time) {
        self.ledger.set_peers(&view.friends);
        let homes = view.first(service, &view.live, HOMES);
        self.hold.home = homes.contains(&&view.me.id);
        let others = homes.iter().filter(|id| ***id != view.me.id);
        self.mates.set_homes(others.map(|id| (*id).clone()));
        if view.mode == Mode::Fleet {
            let first = view.first(service, &view.live, 2);
            let owner = first.first().filter(|_| view.listed);
            let owner = owner.map(|id| match view.others.get(*id) {
                Some(p) => ((*id).clone(), p.incarnation),
                None => (view.me.id.clone(), view.me.incarnation),
            });
            let mine = owner.as_ref().is_some_and(|o| o.0 == view.me.id);
            self.hold.follow(owner, now);
            self.own(service, mine, view, now);
            let heir = first.get(1).map(|id| (*id).clone());
            if let Some(pool) = &mut self.pool {
                pool.set_heir(heir);
            }
        }
        self.reseat(view.mode, &Place::of(&view.live, &view.me.id));
    }

    /// Takes the pool over, keeps it or lets it go.
    fn own(&mut self, service: &ServiceId, mine: bool, view: &View<'_>, now: Time) {
        if !mine {
            if let Some(pool) = self.pool.take() {
                self.hold.limits = pool.limits();
            }
            return;
        }
        let pool = self.pool.get_or_insert_with(|| Pool::new(self.key, now));
        let known = view.known.iter().copied();
        let homes = rendezvous::top(service.as_str(), known, HOMES, |id| id.as_str());
        let homes: BTreeSet<RouterId> = homes.into_iter().cloned().collect();
        pool.set_routers(view.others.values().chain([&view.me]), &homes, now);
    }

    /// Follows a change of the replicas.
    fn reseat(&mut self, mode: Mode, place: &Place) {
        if mode != Mode::Fleet {
            self.seats
                .allot(self.rules.start.0, place.rank, place.routers);
        } else if let Some(pool) = &mut self.pool {
            pool.set_seats(&self.seats, &self.hold.limits, self.rules.start);
        }
    }
}
