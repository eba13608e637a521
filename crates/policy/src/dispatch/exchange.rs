//! What goes between routers: reports, lends and notes.

use {
    super::message::service_key,
    crate::{
        entry::Entry,
        pool::Pool,
        rendezvous,
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
    std::collections::BTreeMap,
};

/// Bytes a second that one router may send as notes.
const BUDGET: f64 = 3_000.0;
/// Most bytes that may be saved up.
const BURST: f64 = 3_000.0;
/// Shortest time between two notes about one service to one router.
const NOTES: Span = Span::secs(1);
/// The owner splits the slots, so it is told sooner, and tells the others sooner.
const NOTES_OWNER: Span = Span::millis(200);
/// Most routers that callers of one service are pointed to.
pub(super) const HOMES: usize = 14;
/// Times that a lend to itself may lead to another.
const ROUNDS: usize = 4;

impl Dispatch {
    /// Takes in a message of another router.
    pub fn deliver(&mut self, from: &RouterId, incarnation: Incarnation, msg: Message, now: Time) {
        if self.rules.mode != Mode::Fleet {
            return;
        }
        let key = msg.service();
        let service = self.services.keys().find(|s| service_key(s) == key);
        let Some(service) = service.cloned() else {
            return;
        };
        let Some(entry) = self.services.get_mut(&service) else {
            return;
        };
        entry.mates.hear(from, now);
        match msg {
            Message::Report(r) => {
                if let Some(pool) = &mut entry.pool {
                    pool.report(from, incarnation, r, now);
                }
            }
            Message::Lend(l) => {
                for (key, level) in entry.hold.levels(from, incarnation, &l) {
                    entry.ledger.hear(key, level, now);
                }
                entry
                    .hold
                    .lend(from, incarnation, &l, &mut entry.seats, now);
            }
            Message::Notes(n) => entry.ledger.merge(Writer::of(from, incarnation), n),
        }
        self.pump(&service, now);
    }

    /// Finds out who owns what after a change of routers, replicas or rules.
    pub(super) fn rank(&mut self, now: Time) {
        let live = self.live();
        let friends: BTreeMap<Writer, bool> = self
            .routers
            .values()
            .map(|p| {
                (
                    Writer::of(&p.id, p.incarnation),
                    p.state != PeerState::Suspect,
                )
            })
            .collect();
        let mut me = self.me.clone();
        if self.leaving {
            me.state = PeerState::Leaving;
        }
        for (service, entry) in &mut self.services {
            entry.ledger.set_friends(&friends);
            let homes = rendezvous::top(service.as_str(), &live, HOMES, |id| id.as_str());
            let homes = homes.into_iter().filter(|id| **id != me.id);
            entry.mates.set_homes(homes.cloned());
            if self.rules.mode != Mode::Fleet {
                let place = Place::of(&live, &me.id);
                entry
                    .seats
                    .allot(entry.rules.start.0, place.rank, place.routers);
                continue;
            }
            let owner = rendezvous::best(service.as_str(), &live, |id| id.as_str());
            let owner = owner
                .filter(|_| self.listed)
                .map(|id| match self.routers.get(id) {
                    Some(p) => (id.clone(), p.incarnation),
                    None => (me.id.clone(), me.incarnation),
                });
            let mine = owner.as_ref().is_some_and(|o| o.0 == me.id);
            entry.hold.follow(owner, now);
            entry.own(service, mine, &me, &self.routers, now);
        }
        let services: Vec<ServiceId> = self.services.keys().cloned().collect();
        for service in services {
            self.pump(&service, now);
        }
    }

    /// Sends the reports and lends of a service that are due.
    pub(super) fn flush(&mut self, service: &ServiceId, now: Time) {
        for _ in 0..ROUNDS {
            let Some(entry) = self.services.get_mut(service) else {
                return;
            };
            let out = entry.speak(service, &self.me, self.leaving, now);
            self.actions.extend(out.sends);
            if !out.lent {
                return;
            }
            self.start(service, now);
        }
    }

    /// Sends the notes that are due, and uses the static fraction where no owner answers.
    pub(super) fn exchange(&mut self, now: Time) {
        if self.rules.mode != Mode::Fleet {
            return;
        }
        let live = self.live();
        let place = Place::of(&live, &self.me.id);
        for entry in self.services.values_mut() {
            entry.tend(&place, now);
            entry.mates.forget(now);
        }
        self.pacer.refill(BUDGET, BURST, now);
        let mut due = self.due_notes(now);
        due.sort();
        for (_, service, to) in due {
            if !self.pacer.open() {
                return;
            }
            self.note(service, to, now);
        }
    }

    /// Returns which notes may be sent, the longest unsent first.
    fn due_notes(&self, now: Time) -> Vec<(Time, ServiceId, RouterId)> {
        let mut due = Vec::new();
        for (service, entry) in &self.services {
            let owner = entry.hold.owner.as_ref().map(|o| &o.0);
            for id in entry.mates.ids() {
                let live = |p: &Peer| p.state != PeerState::Suspect;
                if !self.routers.get(id).is_some_and(live) {
                    continue;
                }
                let close = owner == Some(id) || owner == Some(&self.me.id);
                let interval = if close { NOTES_OWNER } else { NOTES };
                let told = entry.mates.told(id);
                if told.is_none_or(|t| now.since(t) >= interval) {
                    due.push((told.unwrap_or_default(), service.clone(), id.clone()));
                }
            }
        }
        due
    }

    /// Sends the notes about one service to one router, if there are any.
    fn note(&mut self, service: ServiceId, to: RouterId, now: Time) {
        let relay = self.relays_to(&to);
        let (Some(entry), Some(peer)) = (self.services.get_mut(&service), self.routers.get(&to))
        else {
            return;
        };
        let writer = Writer::of(&to, peer.incarnation);
        let Some(n) = entry.ledger.notes(service_key(&service), writer, relay) else {
            return;
        };
        self.pacer.spend(n.size());
        entry.mates.tell(&to, now);
        self.actions.push(Action::Send {
            to,
            msg: Message::Notes(n),
        });
    }

    /// Returns whether this router tells a new one what it knows of all others.
    fn relays_to(&self, to: &RouterId) -> bool {
        let rest: Vec<RouterId> = self.live().into_iter().filter(|id| id != to).collect();
        let first = rendezvous::top(to.as_str(), &rest, RELAYS, |id| id.as_str());
        first.contains(&&self.me.id)
    }
}

/// How many routers tell a new one what they know of all others.
const RELAYS: usize = 2;

/// The place of this router among the live ones.
#[derive(Debug)]
struct Place {
    rank: u32,
    routers: u32,
}

impl Place {
    fn of(live: &[RouterId], me: &RouterId) -> Place {
        Place {
            rank: live.iter().position(|id| id == me).unwrap_or(0) as u32,
            routers: live.len().max(1) as u32,
        }
    }
}

/// What one service has to say.
struct Out {
    sends: Vec<Action>,
    /// Whether this router lent itself something new.
    lent: bool,
}

impl Entry {
    /// Takes the pool over, keeps it or lets it go.
    fn own(
        &mut self,
        service: &ServiceId,
        mine: bool,
        me: &Peer,
        routers: &BTreeMap<RouterId, Peer>,
        now: Time,
    ) {
        if !mine {
            self.pool = None;
            return;
        }
        let pool = self
            .pool
            .get_or_insert_with(|| Pool::new(service_key(service), now));
        pool.set_seats(&self.seats, &self.hold.limits, self.rules.start);
        pool.set_routers(routers.values().chain([me]), now);
    }

    /// Returns what is to be told to whom about slots.
    fn speak(&mut self, service: &ServiceId, me: &Peer, leaving: bool, now: Time) -> Out {
        let mut out = Out {
            sends: Vec::new(),
            lent: false,
        };
        self.hold.give_back(&self.queues, &mut self.seats, leaving);
        let report = self.hold.report(
            service_key(service),
            &self.queues,
            &self.seats,
            self.pool.is_some(),
            now,
        );
        if let (Some(mut r), Some((to, _))) = (report, self.hold.owner.clone()) {
            if self.hold.loads_due(now) {
                self.hold.loads_sent(now);
                r.loads = Some(self.loads());
            }
            match &mut self.pool {
                Some(pool) => pool.report(&me.id, me.incarnation, r, now),
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
        for (to, lend) in pool.lends(&me.id, &self.ledger, now) {
            if to == me.id {
                out.lent |= self
                    .hold
                    .lend(&to, me.incarnation, &lend, &mut self.seats, now);
            } else {
                let msg = Message::Lend(lend);
                out.sends.push(Action::Send { to, msg });
            }
        }
        out
    }

    /// Does what is due now and then.
    fn tend(&mut self, place: &Place, now: Time) {
        self.ledger.watch(now);
        if let Some(pool) = &self.pool {
            if let Some(debt) = pool.debt(&self.rules) {
                self.ledger.forgive(debt);
            }
        }
        if self.hold.deaf(now) {
            self.seats
                .allot(self.rules.start.0, place.rank, place.routers);
        }
    }
}
