//! The owner's side of a pool: who gets how many slots.

use {
    super::{
        Borrower,
        Limits,
        Lot,
        Pace, //
    },
    crate::{
        dispatch::{
            Lend,
            Report,
            ServiceKey, //
        },
        entry::{
            ReplicaKey,
            Seats, //
        },
        shares::{
            Ledger,
            MILLI, //
        },
        BorrowerDump,
        Incarnation,
        Peer,
        PeerState,
        RouterId,
        ServiceRules,
        Slots,
        Span,
        Time, //
    },
    std::collections::BTreeMap,
};

/// Shortest time between two plans that take slots back.
const PLAN: Span = Span::millis(100);
/// Shortest time between two plans that spread what is idle.
const SPREAD: Span = Span::millis(500);
/// How long the pool counts as pressed after work last waited.
const PRESSED: Span = Span::millis(300);
/// Shortest time between two lends to one router.
const LEND: Span = Span::millis(10);
/// A lend that was not acknowledged is sent again after this time.
const AGAIN: Span = Span::millis(500);
/// A report is acknowledged within this time.
const ACK: Span = Span::millis(200);
/// A router that never reported is taken to hold its fraction for this time.
const UNHEARD: Span = Span::secs(5);
/// A new owner waits this long for reports of the live routers before it lends.
const GATHER: Span = Span::secs(1);
/// A router that vanished alone gets its slots taken back after this time.
const VANISHED: Span = Span::secs(2);
/// If many vanished at once, a partition is likely and they may run on for long.
const CUT_OFF: Span = Span::secs(30);
/// How many times all slots one workspace may be ahead.
const DEBT: f64 = 2.0;

/// A pool of slots, at its owner.
#[derive(Debug)]
pub(crate) struct Pool {
    service: ServiceKey,
    pub(super) lots: BTreeMap<ReplicaKey, Lot>,
    pub(super) borrowers: BTreeMap<RouterId, Borrower>,
    pub(crate) pressed: bool,
    /// Since when this router owns the pool.
    since: Time,
    waited: Time,
    planned: Time,
    changed: bool,
}

impl Pool {
    pub(crate) fn new(service: ServiceKey, now: Time) -> Pool {
        Pool {
            service,
            lots: BTreeMap::new(),
            borrowers: BTreeMap::new(),
            pressed: false,
            since: now,
            waited: now,
            planned: now,
            changed: true,
        }
    }

    /// Takes over the replicas. What was learnt of those that stay is kept.
    ///
    /// A replica that is new begins at the limit last heard of, else at `start`.
    pub(crate) fn set_seats(&mut self, seats: &Seats, heard: &Limits, start: Slots) {
        let mut old = std::mem::take(&mut self.lots);
        for seat in seats.all.values().filter(|s| s.open()) {
            let lot = old.remove(&seat.key).unwrap_or_else(|| {
                let limit = heard.get(&seat.key).copied().map_or(start, Slots);
                Lot::new(seat.replica.zone.clone(), limit)
            });
            self.lots.insert(seat.key, lot);
        }
        self.changed = true;
    }

    /// Takes over the routers, this one among them.
    pub(crate) fn set_routers<'a>(&mut self, list: impl Iterator<Item = &'a Peer>, now: Time) {
        let mut old = std::mem::take(&mut self.borrowers);
        for p in list {
            let kept = old.remove(&p.id).filter(|b| b.incarnation == p.incarnation);
            let mut b = match kept {
                Some(b) => b,
                None => Borrower::new(p.incarnation, p.zone.clone(), p.state, now),
            };
            if b.state != p.state {
                b.state = p.state;
                b.since = now;
            }
            self.borrowers.insert(p.id.clone(), b);
        }
        self.changed = true;
    }

    /// Takes in what a router says of itself.
    pub(crate) fn report(&mut self, from: &RouterId, inc: Incarnation, r: Report, now: Time) {
        let Some(b) = self.borrowers.get_mut(from) else {
            return;
        };
        if b.incarnation != inc || r.seq <= b.report {
            return;
        }
        for (key, limit) in &r.limits {
            if let Some(lot) = self.lots.get_mut(key) {
                lot.inherit(*limit);
            }
        }
        let fresh = r.loads.is_some();
        b.report(r);
        if fresh {
            self.learn(from, now);
        }
        self.changed = true;
    }

    /// Learns from how the replicas answered a router.
    fn learn(&mut self, from: &RouterId, now: Time) {
        let loads = |b: &Borrower| b.loads.clone().map_or(Vec::new(), |l| l.seats);
        let news = self.borrowers.get(from).map_or(Vec::new(), loads);
        for load in news {
            let on = |b: &Borrower| {
                let seats = b.loads.iter().flat_map(|l| &l.seats);
                let running = seats.filter(|s| s.key == load.key).map(|s| s.running);
                running.sum::<u32>()
            };
            let running = self.borrowers.values().map(on).sum();
            if let Some(lot) = self.lots.get_mut(&load.key) {
                lot.learn(&load, running, now);
            }
        }
    }

    /// Returns how far ahead of the others a backlogged workspace may be, in thousandths
    /// of a unit, if the cost of requests is known.
    ///
    /// It is well above what happens without faults: all slots in the hands of one
    /// workspace, some times over.
    pub(crate) fn debt(&self, rules: &ServiceRules) -> Option<i64> {
        let pace = Pace::of(self.borrowers.values());
        let all = f64::from(self.capacity()) * pace.cost;
        let more = (rules.window.0 + rules.credit.0) * MILLI;
        pace.known.then_some((DEBT * all + more) as i64)
    }

    /// Plans anew if something has changed and enough time has passed.
    pub(crate) fn plan(&mut self, ledger: &Ledger, now: Time) {
        let old = self.pressed;
        self.reclaim(now);
        self.press(now);
        let interval = if self.pressed { PLAN } else { SPREAD };
        let due = now.since(self.planned) >= interval;
        if !self.changed && !due && old == self.pressed {
            return;
        }
        self.changed = false;
        self.trim();
        let wants = match self.pressed {
            true => self.wants_pressed(ledger),
            false => self.wants_idle(),
        };
        self.restore(&wants);
        if due {
            self.planned = now;
            self.take_back(&wants);
        }
        if !self.gathers(now) {
            self.give(&wants);
        }
    }

    /// Returns whether this owner is so new that it does not know yet who holds what.
    ///
    /// It would lend slots a second time that routers hold from the last owner, which
    /// shows as replicas above their limit. Each router reports to a new owner at once.
    fn gathers(&self, now: Time) -> bool {
        let unheard = |b: &Borrower| b.state == PeerState::Live && !b.heard();
        now.since(self.since) < GATHER && self.borrowers.values().any(unheard)
    }

    /// Takes slots back from routers that are believed to be dead.
    fn reclaim(&mut self, now: Time) {
        let known = self.borrowers.len();
        let live = self
            .borrowers
            .values()
            .filter(|b| b.state != PeerState::Suspect)
            .count();
        // A partition shows as many routers that fall silent together. They may run on
        // with what they hold, so their slots are not lent again until the list would
        // have dropped the dead. One router that falls silent alone is likely dead.
        let wait = if live * 3 >= known * 2 {
            VANISHED
        } else {
            CUT_OFF
        };
        for b in self.borrowers.values_mut() {
            if b.state == PeerState::Suspect && now.since(b.since) >= wait {
                self.changed |= b.total() > 0 || !b.kept.is_empty();
                b.bury();
            }
            if !b.heard() && now.since(b.since) >= UNHEARD {
                b.report = 1;
                self.changed = true;
            }
        }
    }

    /// Notes whether work waits anywhere.
    fn press(&mut self, now: Time) {
        let waits = self
            .borrowers
            .values()
            .any(|b| b.takes() && !b.waits.is_empty());
        if waits {
            self.waited = now;
        }
        let pressed = waits || self.pressed && now.since(self.waited) < PRESSED;
        if pressed != self.pressed {
            self.pressed = pressed;
            for b in self.borrowers.values_mut() {
                b.dirty = true;
            }
        }
    }

    /// Returns all slots of the pool.
    pub(crate) fn capacity(&self) -> u32 {
        self.lots.values().map(Lot::limit).sum()
    }

    /// Returns the limit of a replica.
    pub(crate) fn limit(&self, key: ReplicaKey) -> Option<Slots> {
        self.lots.get(&key).map(|l| Slots(l.limit()))
    }

    /// Returns what each router holds, as operators read it.
    pub(crate) fn dump(&self) -> Vec<BorrowerDump> {
        self.borrowers
            .iter()
            .map(|(id, b)| BorrowerDump {
                router: id.clone(),
                state: b.state,
                lent: Slots(b.total()),
                kept: Slots(b.kept.values().sum()),
                running: Slots(b.running),
                waiting: b.waits.iter().map(|w| w.queued as usize).sum(),
            })
            .collect()
    }

    /// Returns the lends that are due.
    pub(crate) fn lends(&mut self, now: Time) -> Vec<(RouterId, Lend)> {
        let capacity = self.capacity();
        let limits: Limits = self.lots.iter().map(|(k, l)| (*k, l.limit())).collect();
        let (service, pressed) = (self.service, self.pressed);
        let mut out = Vec::new();
        for (id, b) in &mut self.borrowers {
            if !b.heard() || b.state == PeerState::Suspect {
                continue;
            }
            let passed = b.told.map_or(Span::secs(60), |t| now.since(t));
            let again = b.seen < b.lend && passed >= AGAIN;
            let ack = b.acked < b.report && passed >= ACK;
            if !(b.dirty && passed >= LEND || again || ack) {
                continue;
            }
            if b.dirty || b.lend == 0 {
                b.lend += 1;
                b.open.push((b.lend, b.lent.clone()));
            }
            b.dirty = false;
            b.told = Some(now);
            b.acked = b.report;
            let lend = Lend {
                service,
                term: b.term,
                seq: b.lend,
                seen: b.report,
                pressed,
                capacity,
                slots: b.lent.iter().map(|(k, n)| (*k, *n)).collect(),
                limits: b.limits_due(&limits, now),
            };
            out.push((id.clone(), lend));
        }
        out
    }
}
