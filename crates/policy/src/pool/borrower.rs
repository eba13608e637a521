//! A router, as the owner of a pool sees it.

use {
    super::Limits,
    crate::{
        dispatch::{
            Lend,
            Loads,
            Report,
            ServiceKey,
            Wait, //
        },
        entry::ReplicaKey,
        Incarnation,
        PeerState,
        Span,
        Time,
        Zone, //
    },
    std::collections::BTreeMap,
};

/// Shortest time between two lists of limits to one router.
const LIMITS: Span = Span::secs(2);

/// How long a router's largest need counts.
const PEAK: Span = Span::secs(2);
/// Shortest time between two lends to one router.
const LEND: Span = Span::millis(10);
/// A lend that was not acknowledged is sent again after this time.
const AGAIN: Span = Span::millis(500);
/// A report is acknowledged within this time.
const ACK: Span = Span::millis(190);

/// What all routers are told alike.
#[derive(Debug)]
pub(crate) struct Common {
    pub(crate) service: ServiceKey,
    pub(crate) pressed: bool,
    pub(crate) capacity: u32,
    pub(crate) sharers: u32,
}

/// A router that may hold slots.
#[derive(Debug)]
pub(crate) struct Borrower {
    pub(crate) incarnation: Incarnation,
    pub(crate) zone: Zone,
    pub(crate) state: PeerState,
    /// Since when its state is what it is.
    pub(crate) since: Time,
    /// Its term, as of its last report.
    pub(crate) term: u32,
    /// Number of its last report; none was heard while it is 0.
    pub(crate) report: u64,
    /// Slots that it said it keeps.
    pub(crate) kept: BTreeMap<ReplicaKey, u32>,
    pub(crate) running: u32,
    /// The most that lately ran and waited there.
    pub(crate) peak: f64,
    noted: Time,
    pub(crate) waits: Vec<Wait>,
    /// How the replicas last answered it.
    pub(crate) loads: Option<Loads>,
    /// Number of the last lend to it.
    pub(crate) lend: u64,
    /// Slots that it was lent.
    pub(crate) lent: BTreeMap<ReplicaKey, u32>,
    /// Lends that it may or may not have seen.
    ///
    /// A slot that was lent and asked back at once may already be in use: the first of
    /// the two messages arrives first. So it counts as held until it says that it has
    /// seen the second.
    pub(crate) open: Vec<(u64, BTreeMap<ReplicaKey, u32>)>,
    /// The last lend that it has seen.
    pub(crate) seen: u64,
    /// When it was last told.
    pub(crate) told: Option<Time>,
    /// When it was last told the levels of the workspaces that wait there.
    pub(crate) levels: Option<Time>,
    /// When it was last told the limits of replicas, and which.
    pub(crate) limits: Option<(Time, Limits)>,
    /// Whether it has to be told.
    pub(crate) dirty: bool,
    /// The last report that it was told to be seen.
    pub(crate) acked: u64,
}

impl Borrower {
    pub(crate) fn new(incarnation: Incarnation, zone: Zone, state: PeerState, now: Time) -> Self {
        Borrower {
            incarnation,
            zone,
            state,
            since: now,
            term: 0,
            report: 0,
            kept: BTreeMap::new(),
            running: 0,
            peak: 0.0,
            noted: now,
            waits: Vec::new(),
            loads: None,
            lend: 0,
            lent: BTreeMap::new(),
            open: Vec::new(),
            seen: 0,
            told: None,
            levels: None,
            limits: None,
            dirty: false,
            acked: 0,
        }
    }

    /// Returns whether it was heard as this incarnation.
    pub(crate) fn heard(&self) -> bool {
        self.report > 0
    }

    /// Returns whether slots may be lent to it.
    pub(crate) fn takes(&self) -> bool {
        self.heard() && self.state == PeerState::Live
    }

    /// Returns how many slots of a replica it may be using.
    pub(crate) fn holds(&self, key: ReplicaKey) -> u32 {
        let lent = self.lent.get(&key).copied().unwrap_or(0);
        let kept = self.kept.get(&key).copied().unwrap_or(0);
        let open = self.open.iter().filter_map(|(_, l)| l.get(&key).copied());
        open.fold(lent.max(kept), u32::max)
    }

    /// Returns how many slots it was lent in all.
    pub(crate) fn total(&self) -> u32 {
        self.lent.values().sum()
    }

    /// Lends one more slot.
    pub(crate) fn raise(&mut self, key: ReplicaKey) {
        *self.lent.entry(key).or_default() += 1;
        self.dirty = true;
    }

    /// Asks one slot back.
    pub(crate) fn lower(&mut self, key: ReplicaKey) {
        if let Some(n) = self.lent.get_mut(&key) {
            *n = n.saturating_sub(1);
            self.dirty = true;
        }
        self.lent.retain(|_, n| *n > 0);
    }

    /// Returns how many of its running requests belong to workspaces that do not wait.
    ///
    /// Their slots come free as they end.
    pub(crate) fn passing(&self) -> u32 {
        let waiting: u32 = self.waits.iter().map(|w| w.running).sum();
        self.running.saturating_sub(waiting)
    }

    /// Notes how much it needs; the most of the last seconds counts.
    pub(crate) fn note_need(&mut self, now: Time) {
        let dt = now.since(self.noted).as_secs();
        self.noted = now;
        let need = f64::from(self.running + self.waiting());
        self.peak = need.max(self.peak * (-dt / PEAK.as_secs()).exp());
    }

    /// Returns whether it was not told just now.
    pub(crate) fn rested(&self, now: Time) -> bool {
        self.told.is_none_or(|t| now.since(t) >= LEND)
    }

    /// Returns how many requests wait there.
    pub(crate) fn waiting(&self) -> u32 {
        self.waits.iter().map(|w| w.queued).sum()
    }

    /// Returns whether it uses the service.
    pub(crate) fn busy(&self) -> bool {
        self.running > 0 || !self.waits.is_empty()
    }

    /// Returns what it is to be told, if that is due.
    ///
    /// The slots are left out where it has seen them before.
    pub(crate) fn lend_due(
        &mut self,
        c: &Common,
        limits: &Limits,
        level: impl Fn(&Wait) -> i64,
        open: bool,
        now: Time,
    ) -> Option<Lend> {
        let passed = self.told.map_or(AGAIN, |t| now.since(t));
        let again = self.seen < self.lend && passed >= AGAIN;
        let ack = self.acked < self.report && passed >= ACK;
        let first = self.lend == 0;
        let news = first || self.dirty && open;
        if !(news || again || ack) {
            return None;
        }
        if self.dirty || first {
            self.lend += 1;
            self.open.push((self.lend, self.lent.clone()));
        }
        let known = self.seen == self.lend;
        let mut levels = Vec::new();
        if self.levels.is_none_or(|t| now.since(t) >= ACK) {
            self.levels = Some(now);
            levels = self.waits.iter().map(level).collect();
        }
        self.dirty = false;
        self.told = Some(now);
        self.acked = self.report;
        Some(Lend {
            service: c.service,
            term: self.term,
            seq: self.lend,
            seen: self.report,
            pressed: c.pressed,
            capacity: c.capacity,
            sharers: c.sharers,
            slots: (!known).then(|| self.lent.iter().map(|(k, n)| (*k, *n)).collect()),
            levels,
            limits: self.limits_due(limits, now),
        })
    }

    /// Returns the limits of replicas if it should hear them, for when it owns the pool.
    pub(crate) fn limits_due(&mut self, now_at: &Limits, now: Time) -> Vec<(ReplicaKey, u32)> {
        let fresh = match &self.limits {
            None => true,
            Some((at, told)) => told != now_at && now.since(*at) >= LIMITS,
        };
        if !fresh {
            return Vec::new();
        }
        self.limits = Some((now, now_at.clone()));
        now_at.iter().map(|(k, n)| (*k, *n)).collect()
    }

    /// Takes in a later report.
    pub(crate) fn report(&mut self, r: Report) {
        self.report = r.seq;
        // It comes from another owner, which lent it other slots. What it keeps counts as
        // lent, so that nobody is cut off, and no older lend counts any more.
        if r.term != self.term {
            self.term = r.term;
            self.lent = r.kept.iter().flatten().copied().collect();
            self.open.clear();
            self.dirty = true;
        }
        self.seen = self.seen.max(r.seen);
        self.open.retain(|(seq, _)| *seq > r.seen);
        if let Some(kept) = r.kept {
            self.kept = kept.into_iter().collect();
        }
        self.running = r.running;
        if let Some(waits) = r.waits {
            self.waits = waits;
        }
        if r.loads.is_some() {
            self.loads = r.loads;
        }
        // It answers the last lend, so what it keeps less than lent it has given back.
        if r.seen == self.lend {
            let kept = &self.kept;
            self.lent.retain(|key, n| {
                *n = kept.get(key).map_or(0, |k| (*n).min(*k));
                *n > 0
            });
        }
    }

    /// Forgets all that it held, as it is believed to be dead.
    pub(crate) fn bury(&mut self) {
        self.lent.clear();
        self.kept.clear();
        self.open.clear();
        self.waits.clear();
        self.running = 0;
        self.report = self.report.max(1);
    }
}
