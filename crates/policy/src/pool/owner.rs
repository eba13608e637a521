//! The owner's side of a pool: who gets how many slots.

use {
    super::{
        tell::Common,
        Borrower,
        Bucket,
        Cell,
        Limits,
        Lot,
        Pace, //
    },
    crate::{
        dispatch::{
            Load,
            Report,
            ServiceKey,
            SlotGrant,
            Wait, //
        },
        entry::{
            ReplicaKey,
            Seats, //
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

/// Shortest time between two plans that take slots back.
const PLAN: Span = Span::millis(100);
/// Shortest time between two plans that spread what is idle.
const SPREAD: Span = Span::millis(500);
/// Shortest time between two plans, for each replica of each router.
const PAIR: Span = Span(8);
/// Bytes a second that an owner sends, and the most that it saves up.
const TELLS: f64 = 8_000.0;
const BURST: f64 = 3_000.0;
/// The part of a pool, one in so many, that may be taken away to learn a limit.
const PROBED_PART: u32 = 50;
/// A pool where one slot is more than that learns so once in this time.
const PROBED: Span = Span::secs(120);
/// How many times all slots one workspace may be ahead.
const DEBT: f64 = 2.0;

/// A pool of slots, at its owner.
#[derive(Debug)]
pub(crate) struct Pool {
    service: ServiceKey,
    /// The replicas, by key.
    pub(super) lots: Vec<Lot>,
    pub(super) borrowers: BTreeMap<RouterId, Borrower>,
    pub(crate) pressed: bool,
    /// Since when this router owns the pool.
    pub(super) since: Time,
    /// Since when there is more work than slots.
    pub(super) full: Option<Time>,
    /// When there last was more work than slots, for a while.
    pub(super) waited: Option<Time>,
    planned: Time,
    /// When it was last planned at all.
    ran: Time,
    pub(super) changed: bool,
    /// When a replica last ran fewer requests to learn its limit.
    probed: Time,
    /// The router that owns the pool next.
    heir: Option<RouterId>,
    bucket: Bucket,
}

impl Pool {
    pub(crate) fn new(service: ServiceKey, now: Time) -> Pool {
        Pool {
            service,
            lots: Vec::new(),
            borrowers: BTreeMap::new(),
            pressed: false,
            since: now,
            full: None,
            waited: None,
            planned: now,
            ran: Time(0),
            heir: None,
            changed: true,
            probed: now,
            bucket: Bucket::default(),
        }
    }

    /// Takes over the replicas. What was learnt of those that stay is kept.
    ///
    /// A replica that is new begins at the limit last heard of, else at `start`.
    pub(crate) fn set_seats(&mut self, seats: &Seats, heard: &Limits, start: Slots) {
        let was: Vec<ReplicaKey> = self.lots.iter().map(|l| l.key).collect();
        let lots = std::mem::take(&mut self.lots);
        let mut old: BTreeMap<ReplicaKey, Lot> = lots.into_iter().map(|l| (l.key, l)).collect();
        for seat in seats.all.values().filter(|s| s.open()) {
            let lot = old.remove(&seat.key).unwrap_or_else(|| {
                let limit = heard.get(&seat.key).copied().map_or(start, Slots);
                Lot::new(seat.key, seat.replica.zone.clone(), limit)
            });
            self.lots.push(lot);
        }
        self.lots.sort_by_key(|l| l.key);
        let keys: Vec<ReplicaKey> = self.lots.iter().map(|l| l.key).collect();
        if keys != was {
            for b in self.borrowers.values_mut() {
                b.reorder(&was, &keys);
            }
        }
        self.changed = true;
    }

    /// Returns the place of a replica.
    fn at(lots: &[Lot], key: ReplicaKey) -> Option<usize> {
        lots.binary_search_by_key(&key, |l| l.key).ok()
    }

    /// Takes note of who owns the pool next.
    pub(crate) fn set_heir(&mut self, heir: Option<RouterId>) {
        self.heir = heir;
    }

    /// Takes over the routers, this one among them, and which of them are homes.
    pub(crate) fn set_routers<'a>(
        &mut self,
        list: impl Iterator<Item = &'a Peer>,
        homes: &BTreeSet<RouterId>,
        now: Time,
    ) {
        let mut old = std::mem::take(&mut self.borrowers);
        for p in list {
            let kept = old.remove(&p.id).filter(|b| b.incarnation == p.incarnation);
            let mut b = match kept {
                Some(b) => b,
                None => {
                    let mut b = Borrower::new(p.incarnation, p.zone.clone(), p.state, now);
                    b.cells = vec![Cell::default(); self.lots.len()];
                    b
                }
            };
            b.home = homes.contains(&p.id);
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
        // It tells what changed since a report that was lost with the last owner's memory,
        // or with this one's list of routers. It has to tell all.
        if r.base > b.report {
            b.puzzled = Some(r.term);
            return;
        }
        for (key, limit) in &r.limits {
            if let Some(at) = Self::at(&self.lots, *key) {
                self.lots[at].inherit(*limit);
            }
        }
        let loads = r.loads.clone().map_or(Vec::new(), |l| l.seats);
        b.report(r, |key| Self::at(&self.lots, key));
        b.note_need(now);
        self.learn(loads, now);
        self.changed = true;
    }

    /// Learns from how the replicas answered a router.
    fn learn(&mut self, loads: Vec<Load>, now: Time) {
        for load in loads {
            let Some(at) = Self::at(&self.lots, load.key) else {
                continue;
            };
            let running = self.borrowers.values().map(|b| b.cells[at].running).sum();
            let probe = self.may_probe(at, now);
            self.lots[at].learn(&load, running, probe, now);
            if self.lots[at].probing() {
                self.probed = now;
            }
        }
    }

    /// Returns whether a replica may run fewer requests for a while, to see whether they are
    /// faster.
    ///
    /// If all replicas did so at the same moment, a tenth of the pool would stand idle while
    /// work waits. So one does it at a time, and where even that is more than a small part
    /// of the pool, rarely.
    fn may_probe(&self, at: usize, now: Time) -> bool {
        let small = self.lots[at].probe_cost() * PROBED_PART <= self.capacity() || !self.pressed;
        let rare = now.since(self.probed) >= PROBED;
        (small || rare) && !self.lots.iter().any(Lot::probing)
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
        // A large pool takes a while to plan, and one slot matters less in it.
        let pairs = self.lots.len() * self.borrowers.len();
        if now.since(self.ran) < Span(pairs as u64 * PAIR.0) {
            return;
        }
        let interval = if self.pressed { PLAN } else { SPREAD };
        let due = now.since(self.planned) >= interval;
        if !self.changed && !due && old == self.pressed {
            return;
        }
        self.changed = false;
        self.ran = now;
        self.trim();
        let wants = match self.pressed {
            true => self.wants_pressed(ledger),
            false => self.wants_idle(),
        };
        self.restore(&wants);
        if !self.pressed {
            // Spare slots move now and then; those that work waits for move at once.
            let needs = self.needs();
            self.take_back(&needs, &needs);
        }
        if due {
            self.planned = now;
            self.take_back(&wants, &wants);
        }
        if self.gathers(now) {
            return;
        }
        if !self.pressed {
            self.give(&self.needs());
        }
        self.give(&wants);
    }

    /// Returns all slots of the pool.
    pub(crate) fn capacity(&self) -> u32 {
        self.lots.iter().map(Lot::limit).sum()
    }

    /// Returns the limit of a replica.
    pub(crate) fn limit(&self, key: ReplicaKey) -> Option<Slots> {
        Self::at(&self.lots, key).map(|at| Slots(self.lots[at].limit()))
    }

    /// Returns the limits of all replicas, for the next owner.
    pub(crate) fn limits(&self) -> Limits {
        self.lots.iter().map(|l| (l.key, l.limit())).collect()
    }

    /// Returns what each router holds, as operators read it.
    pub(crate) fn dump(&self) -> Vec<GranteeDump> {
        self.borrowers
            .iter()
            .map(|(id, b)| GranteeDump {
                router: id.clone(),
                state: b.state,
                granted: Slots(b.total()),
                kept: Slots(b.cells.iter().map(|c| c.kept).sum()),
                running: Slots(b.running),
                waiting: b.waits.iter().map(|w| w.queued as usize).sum(),
            })
            .collect()
    }

    /// Returns the lends that are due.
    pub(crate) fn lends(
        &mut self,
        me: &RouterId,
        ledger: &Ledger,
        now: Time,
    ) -> Vec<(RouterId, SlotGrant)> {
        self.bucket.refill(TELLS, BURST, now);
        let common = Common {
            service: self.service,
            pressed: self.pressed,
            capacity: self.capacity(),
            sharers: self.borrowers.values().filter(|b| b.busy()).count() as u32,
        };
        let mut out = Vec::new();
        for (id, b) in &mut self.borrowers {
            if let Some(term) = b.puzzled.take() {
                out.push((id.clone(), common.ask_all(term)));
            } else if b.heard() && b.state != PeerState::Suspect {
                let writer = Writer::of(id, b.incarnation);
                let level = |w: &Wait| ledger.virtual_time_without(w.key, writer);
                let local = id == me;
                let open = local || self.bucket.open() && b.rested(now);
                let mut lend = b.lend_due(&common, &self.lots, level, open, now);
                if let Some(l) = lend.as_mut().filter(|_| self.heir.as_ref() == Some(id)) {
                    l.limits = b.limits_due(&self.lots, now);
                }
                if !local {
                    self.bucket.spend(lend.as_ref().map_or(0, SlotGrant::size));
                }
                out.extend(lend.map(|l| (id.clone(), l)));
            }
        }
        out
    }
}
