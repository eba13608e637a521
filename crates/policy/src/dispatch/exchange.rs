//! What goes between routers: reports, lends and notes.

use {
    super::ranks::Place,
    crate::{
        entry::{
            Entry,
            ReplicaKey, //
        },
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
};

/// Bytes a second that one router may send as notes.
const BUDGET: f64 = 3_000.0;
/// Most bytes that may be saved up.
const BURST: f64 = 3_000.0;
/// Shortest time between two notes about one service to one router.
const NOTES: Span = Span::secs(1);
/// The owner splits the slots, so it is told sooner, and tells the others sooner.
const NOTES_OWNER: Span = Span::millis(200);
/// Time between two looks for notes to be sent.
const EXCHANGE: Span = Span::millis(50);
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
        let service = self.services.iter().find(|(_, e)| e.key == key);
        let Some(service) = service.map(|(s, _)| s.clone()) else {
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
            Message::SlotGrant(l) => {
                for (key, level) in entry.hold.levels(from, incarnation, &l) {
                    entry.ledger.set_owner_view(key, level, now);
                }
                entry
                    .hold
                    .lend(from, incarnation, &l, &mut entry.seats, now);
            }
            Message::Notes(n) => {
                let debt = entry.pool.as_ref().and_then(|p| p.debt(&entry.rules));
                let writer = Writer::of(from, incarnation);
                entry.ledger.merge(writer, n, debt);
            }
        }
        self.pump(&service, now);
    }

    /// Sends the reports and lends of a service that are due.
    pub(super) fn flush(&mut self, service: &ServiceId, now: Time) {
        for _ in 0..ROUNDS {
            let Some(entry) = self.services.get_mut(service) else {
                return;
            };
            let shuns = entry.shunned(&self.lives, now);
            let out = entry.speak(&self.me, shuns, self.leaving, now);
            self.actions.extend(out.sends);
            if !out.lent {
                return;
            }
            self.start(service, now);
        }
    }

    /// Sends the notes that are due, and uses the static fraction where no owner answers.
    pub(super) fn exchange(&mut self, now: Time) {
        if self.rules.mode != Mode::Fleet || now.since(self.exchanged) < EXCHANGE {
            return;
        }
        self.exchanged = now;
        let live = self.live();
        let place = Place::of(&live, &self.me.id);
        for entry in self.services.values_mut().filter(|e| !e.calm()) {
            entry.tend(&place, now);
        }
        self.pacer.refill(BUDGET, BURST, now);
        let mut due = self.due_notes(&live, now);
        due.sort();
        for (_, service, to, relay) in due {
            if !self.pacer.open() {
                return;
            }
            self.note(service, to, relay, now);
        }
    }

    /// Returns which notes may be sent, the longest unsent first.
    fn due_notes(&self, live: &[RouterId], now: Time) -> Vec<(Time, ServiceId, RouterId, bool)> {
        let mut due = Vec::new();
        for (service, entry) in &self.services {
            if entry.ledger.is_empty() {
                continue;
            }
            let owner = entry.hold.owner.as_ref().map(|o| &o.0);
            for id in entry.mates.ids() {
                let Some(p) = self
                    .routers
                    .get(id)
                    .filter(|p| p.state != PeerState::Suspect)
                else {
                    continue;
                };
                let close = owner == Some(id) || owner == Some(&self.me.id);
                let interval = if close { NOTES_OWNER } else { NOTES };
                if !entry.mates.rested(id, entry.ledger.rev(), interval, now) {
                    continue;
                }
                let writer = Writer::of(id, p.incarnation);
                let relay = entry.ledger.is_new(writer) && self.relays_to(id, live);
                if entry.ledger.has_updates_for(writer, relay) {
                    let told = entry.mates.told(id).unwrap_or_default();
                    due.push((told, service.clone(), id.clone(), relay));
                }
            }
        }
        due
    }

    /// Sends the notes about one service to one router, if there are any.
    fn note(&mut self, service: ServiceId, to: RouterId, relay: bool, now: Time) {
        let (Some(entry), Some(peer)) = (self.services.get_mut(&service), self.routers.get(&to))
        else {
            return;
        };
        let writer = Writer::of(&to, peer.incarnation);
        let Some(n) = entry.ledger.usage_updates(entry.key, writer, relay) else {
            return;
        };
        self.pacer.spend(n.size());
        entry.mates.tell(&to, entry.ledger.rev(), now);
        self.actions.push(Action::Send {
            to,
            msg: Message::Notes(n),
        });
    }

    /// Returns whether this router tells a new one what it knows of all others.
    fn relays_to(&self, to: &RouterId, live: &[RouterId]) -> bool {
        let rest = live.iter().filter(|id| *id != to);
        let first = rendezvous::top(to.as_str(), rest, RELAYS, |id| id.as_str());
        first.contains(&&self.me.id)
    }
}

/// How many routers tell a new one what they know of all others.
const RELAYS: usize = 2;

/// What one service has to say.
struct Out {
    sends: Vec<Action>,
    /// Whether this router lent itself something new.
    lent: bool,
}

impl Entry {
    /// Returns what is to be told to whom about slots.
    fn speak(&mut self, me: &Peer, shuns: Vec<ReplicaKey>, leaving: bool, now: Time) -> Out {
        let mut out = Out {
            sends: Vec::new(),
            lent: false,
        };
        self.hold.give_back(&self.queues, &mut self.seats, leaving);
        self.hold.shun(&mut self.seats, &shuns, now);
        let local = self.pool.is_some();
        let report = self
            .hold
            .report(self.key, &self.queues, &mut self.seats, shuns, local, now);
        if let (Some(mut r), Some((to, _))) = (report, self.hold.owner.clone()) {
            if self.hold.loads_due(self.seats.all.len(), now) {
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
                let msg = Message::SlotGrant(lend);
                out.sends.push(Action::Send { to, msg });
            }
        }
        out
    }

    /// Does what is due now and then.
    fn tend(&mut self, place: &Place, now: Time) {
        self.ledger.tick(now);
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
