//! The owner's side of a pool: who gets how many slots.

use {
    super::{
        borrower::Borrower,
        fill,
        Row, //
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
            Key,
            Ledger, //
        },
        BorrowerDump,
        Incarnation,
        Peer,
        PeerState,
        RouterId,
        Slots,
        Span,
        Time,
        Zone, //
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
/// A router that vanished alone gets its slots taken back after this time.
const VANISHED: Span = Span::secs(2);
/// If many vanished at once, a partition is likely and they may run on for long.
const CUT_OFF: Span = Span::secs(30);
/// Part of the idle slots that stays with the owner while nothing waits.
const RESERVE: f64 = 0.25;
/// A slot moves only where the target differs by more than rounding.
const STICKY: f64 = 0.6;

/// What the owner assumes about the cost of requests.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Pace {
    /// Normalised service that one slot gives in a second, in thousandths.
    pub(crate) rate: f64,
    /// How far ahead the plan looks, in seconds.
    pub(crate) horizon: f64,
}

/// A replica of the pool.
#[derive(Debug)]
struct Lot {
    zone: Zone,
    limit: u32,
}

/// A pool of slots, at its owner.
#[derive(Debug)]
pub(crate) struct Pool {
    service: ServiceKey,
    lots: BTreeMap<ReplicaKey, Lot>,
    borrowers: BTreeMap<RouterId, Borrower>,
    pub(crate) pressed: bool,
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
            waited: now,
            planned: now,
            changed: true,
        }
    }

    /// Takes over the replicas.
    pub(crate) fn set_seats(&mut self, seats: &Seats, start: u32) {
        self.lots = seats
            .all
            .values()
            .filter(|s| s.open())
            .map(|s| {
                let lot = Lot {
                    zone: s.replica.zone.clone(),
                    limit: start,
                };
                (s.key, lot)
            })
            .collect();
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
    pub(crate) fn report(&mut self, from: &RouterId, inc: Incarnation, r: Report) {
        let Some(b) = self.borrowers.get_mut(from) else {
            return;
        };
        if b.incarnation != inc || r.seq <= b.report {
            return;
        }
        b.report = r.seq;
        b.seen = b.seen.max(r.seen);
        b.open.retain(|(seq, _)| *seq > r.seen);
        b.kept = r.body.kept.into_iter().collect();
        b.running = r.body.running;
        b.waits = r.body.waits;
        // It answers the last lend, so what it keeps less than lent it has given back.
        if r.seen == b.lend {
            let kept = &b.kept;
            b.lent.retain(|key, n| {
                *n = kept.get(key).map_or(0, |k| (*n).min(*k));
                *n > 0
            });
        }
        self.changed = true;
    }

    /// Plans anew if something has changed and enough time has passed.
    pub(crate) fn plan(&mut self, ledger: &Ledger, pace: Pace, now: Time) {
        let old = self.pressed;
        self.reclaim(now);
        self.press(now);
        let interval = if self.pressed { PLAN } else { SPREAD };
        let due = now.since(self.planned) >= interval;
        if !self.changed && !due && old == self.pressed {
            return;
        }
        self.changed = false;
        self.adopt();
        self.trim();
        let wants = match self.pressed {
            true => self.wants_pressed(ledger, pace),
            false => self.wants_idle(),
        };
        self.restore(&wants);
        if due {
            self.planned = now;
            self.take_back(&wants);
        }
        self.give(&wants);
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
                b.lent.clear();
                b.kept.clear();
                b.open.clear();
                b.waits.clear();
                b.running = 0;
                b.report = b.report.max(1);
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

    /// Takes what a router said it keeps for lent, if it was never lent anything.
    ///
    /// That is how a new owner takes over from the old one without cutting anybody off.
    fn adopt(&mut self) {
        for b in self.borrowers.values_mut() {
            if b.takes() && b.lend == 0 && b.lent.is_empty() && !b.kept.is_empty() {
                b.lent = b.kept.clone();
                b.dirty = true;
            }
        }
    }

    /// Returns all slots of the pool.
    pub(crate) fn capacity(&self) -> u32 {
        self.lots.values().map(|l| l.limit).sum()
    }

    /// Returns the limit of a replica.
    pub(crate) fn limit(&self, key: ReplicaKey) -> Option<Slots> {
        self.lots.get(&key).map(|l| Slots(l.limit))
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

    /// Returns the free slots of a replica, below zero where too many are out.
    fn free(&self, key: ReplicaKey, lot: &Lot) -> i64 {
        let held: u32 = self.borrowers.values().map(|b| b.holds(key)).sum();
        let unheard = self.borrowers.values().filter(|b| !b.heard()).count();
        let unknown = lot.limit as usize * unheard / self.borrowers.len().max(1);
        i64::from(lot.limit) - i64::from(held) - unknown as i64
    }

    /// Takes back what is lent above a replica's limit or on one that is gone.
    fn trim(&mut self) {
        for b in self.borrowers.values_mut() {
            let before = b.lent.len();
            b.lent.retain(|key, _| self.lots.contains_key(key));
            b.dirty |= b.lent.len() != before;
        }
        let keys: Vec<ReplicaKey> = self.lots.keys().copied().collect();
        for key in keys {
            let limit = self.lots[&key].limit;
            let lent =
                |p: &Pool| -> u32 { p.borrowers.values().filter_map(|b| b.lent.get(&key)).sum() };
            while lent(self) > limit {
                let most = self
                    .borrowers
                    .values_mut()
                    .max_by_key(|b| b.lent.get(&key).copied().unwrap_or(0));
                let Some(b) = most else { break };
                b.lower(key);
            }
        }
    }

    /// Returns how many slots each router should have while work waits.
    fn wants_pressed(&self, ledger: &Ledger, pace: Pace) -> BTreeMap<RouterId, u32> {
        let mut rows: BTreeMap<Key, f64> = BTreeMap::new();
        let mut passing = 0.0;
        for b in self.borrowers.values() {
            passing += f64::from(b.passing());
            for w in b.waits.iter().filter(|_| b.takes()) {
                *rows.entry(w.key).or_default() += f64::from(w.queued + w.running);
            }
        }
        let list: Vec<Row> = rows
            .iter()
            .map(|(key, demand)| Row {
                level: ledger.level(*key) as f64,
                share: ledger.share(*key).get(),
                demand: *demand,
            })
            .collect();
        let slots = (f64::from(self.capacity()) - passing).max(0.0);
        let split = fill(slots, pace.rate * pace.horizon, &list);
        let part: BTreeMap<Key, f64> = rows
            .iter()
            .zip(split)
            .map(|((key, demand), slots)| (*key, slots / demand))
            .collect();
        let exact: Vec<(&RouterId, f64, u32)> = self
            .borrowers
            .iter()
            .filter(|(_, b)| b.takes())
            .map(|(id, b)| {
                let due: f64 = b
                    .waits
                    .iter()
                    .map(|w| f64::from(w.queued + w.running) * part[&w.key])
                    .sum();
                // Where nothing waits, what runs needs no slot after it.
                let passing = if b.waits.is_empty() { 0 } else { b.passing() };
                (id, due + f64::from(passing), b.total())
            })
            .collect();
        round(exact, self.capacity())
    }

    /// Returns how many slots each router should have while nothing waits.
    fn wants_idle(&self) -> BTreeMap<RouterId, u32> {
        let takers: Vec<_> = self.borrowers.iter().filter(|(_, b)| b.takes()).collect();
        let running: u32 = takers.iter().map(|(_, b)| b.running).sum();
        let idle = f64::from(self.capacity().saturating_sub(running)) * (1.0 - RESERVE);
        let n = takers.len().max(1) as f64;
        takers
            .iter()
            .map(|(id, b)| {
                let used = f64::from(b.running) / f64::from(running.max(1));
                let spare = match running {
                    0 => idle / n,
                    _ => idle / 2.0 / n + idle / 2.0 * used,
                };
                let want = f64::from(b.running) + spare;
                // Spare slots are not worth a message for every small change.
                let now = f64::from(b.total());
                let near = (now - want).abs() < spare / 2.0;
                let want = if near { now } else { want };
                ((*id).clone(), want as u32)
            })
            .collect()
    }

    /// Lends again what a router still uses beyond what it was lent, if it should have it.
    fn restore(&mut self, wants: &BTreeMap<RouterId, u32>) {
        for (id, b) in &mut self.borrowers {
            let want = wants.get(id).copied().unwrap_or(0);
            let kept = b.kept.clone();
            for (key, n) in kept.into_iter().filter(|(k, _)| self.lots.contains_key(k)) {
                while b.total() < want && b.lent.get(&key).is_none_or(|l| *l < n) {
                    b.raise(key);
                }
            }
        }
    }

    /// Asks slots back from routers that have more than they should, where another lacks.
    fn take_back(&mut self, wants: &BTreeMap<RouterId, u32>) {
        let free: i64 = self.lots.iter().map(|(k, l)| self.free(*k, l).max(0)).sum();
        let lack: i64 = self
            .borrowers
            .iter()
            .map(|(id, b)| i64::from(wants.get(id).map_or(0, |w| w.saturating_sub(b.total()))))
            .sum();
        // Slots that were asked back and are not yet free count as on their way.
        let coming: i64 = self
            .borrowers
            .values()
            .map(|b| {
                let held: u32 = self.lots.keys().map(|k| b.holds(*k)).sum();
                i64::from(held) - i64::from(b.total())
            })
            .sum();
        for _ in 0..(lack - free - coming).max(0) {
            let most = self
                .borrowers
                .iter_mut()
                .filter(|(id, b)| b.total() > wants.get(*id).copied().unwrap_or(0))
                .max_by_key(|(id, b)| b.total() - wants.get(*id).copied().unwrap_or(0));
            let Some((_, b)) = most else { return };
            let far = |key: &ReplicaKey| self.lots.get(key).is_some_and(|l| l.zone != b.zone);
            let key = b
                .lent
                .iter()
                .max_by_key(|(key, n)| (far(key), **n))
                .map(|(key, _)| *key);
            let Some(key) = key else { return };
            b.lower(key);
        }
    }

    /// Lends free slots to the routers that lack most.
    fn give(&mut self, wants: &BTreeMap<RouterId, u32>) {
        let mut free: BTreeMap<ReplicaKey, i64> = self
            .lots
            .iter()
            .map(|(k, l)| (*k, self.free(*k, l)))
            .filter(|(_, n)| *n > 0)
            .collect();
        while !free.is_empty() {
            let lack = |id: &RouterId, b: &Borrower| {
                wants.get(id).map_or(0, |w| w.saturating_sub(b.total()))
            };
            let most = self
                .borrowers
                .iter_mut()
                .filter(|(id, b)| lack(id, b) > 0)
                .max_by_key(|(id, b)| lack(id, b));
            let Some((_, b)) = most else { return };
            let near = |key: &ReplicaKey| self.lots[key].zone == b.zone;
            let best = free
                .iter()
                .max_by_key(|(key, n)| (near(key), **n))
                .map(|(key, _)| *key);
            let Some(key) = best else { return };
            b.raise(key);
            if let Some(n) = free.get_mut(&key) {
                *n -= 1;
            }
            free.retain(|_, n| *n > 0);
        }
    }

    /// Returns the lends that are due.
    pub(crate) fn lends(&mut self, now: Time) -> Vec<(RouterId, Lend)> {
        let capacity = self.capacity();
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
                seq: b.lend,
                seen: b.report,
                pressed,
                capacity,
                slots: b.lent.iter().map(|(k, n)| (*k, *n)).collect(),
            };
            out.push((id.clone(), lend));
        }
        out
    }
}

impl Borrower {
    /// Returns how many of its running requests belong to workspaces that do not wait.
    ///
    /// Their slots come free as they end.
    fn passing(&self) -> u32 {
        let waiting: u32 = self.waits.iter().map(|w| w.running).sum();
        self.running.saturating_sub(waiting)
    }
}

/// Rounds targets to whole slots so that few of them move.
fn round(exact: Vec<(&RouterId, f64, u32)>, capacity: u32) -> BTreeMap<RouterId, u32> {
    let total: f64 = exact.iter().map(|e| e.1).sum();
    let mut out: BTreeMap<RouterId, u32> = BTreeMap::new();
    let mut rest: Vec<(f64, &RouterId)> = Vec::new();
    for (id, due, now) in exact {
        let whole = due.floor();
        let has = if f64::from(now) > whole { STICKY } else { 0.0 };
        out.insert(id.clone(), whole as u32);
        rest.push((due - whole + has, id));
    }
    let given: u32 = out.values().sum();
    let left = capacity.min(total.round() as u32).saturating_sub(given);
    rest.sort_by(|a, b| b.0.total_cmp(&a.0));
    for (_, id) in rest.into_iter().take(left as usize) {
        *out.entry(id.clone()).or_default() += 1;
    }
    out
}
