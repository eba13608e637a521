//! A router, as the owner of a pool sees it.

use {
    super::Cell,
    crate::{
        dispatch::{
            Report,
            Wait, //
        },
        service::ReplicaKey,
        Incarnation,
        PeerState,
        Span,
        Time,
        Zone, //
    },
    std::collections::BTreeMap,
};

/// How long a router's largest need counts.
const PEAK: Span = Span::secs(2);

/// A router that may hold slots.
#[derive(Debug)]
pub(crate) struct Borrower {
    pub(crate) incarnation: Incarnation,
    pub(crate) zone: Zone,
    /// Whether callers of the service are pointed to it.
    pub(crate) home: bool,
    pub(crate) state: PeerState,
    /// Since when its state is what it is.
    pub(crate) since: Time,
    /// Its term, as of its last report.
    pub(crate) term: u32,
    /// Number of its last report; none was heard while it is 0.
    pub(crate) report: u64,
    /// What it holds of each replica, in the order of the pool's.
    pub(crate) cells: Vec<Cell>,
    /// Slots that it said it keeps on replicas that the pool does not know.
    strays: BTreeMap<ReplicaKey, u32>,
    pub(crate) running: u32,
    /// The most that lately ran and waited there.
    pub(crate) peak: f64,
    noted: Time,
    pub(crate) waits: Vec<Wait>,
    /// Mean cost in thousandths of a unit and mean time that its requests run.
    pub(crate) pace: Option<(u64, Span)>,
    /// Number of the last lend to it.
    pub(crate) lend: u64,
    /// Slots that it was lent in all.
    total: u32,
    /// The last lend that it has seen.
    pub(crate) seen: u64,
    /// When it was last told.
    pub(crate) told: Option<Time>,
    /// When it was last told the levels of the workspaces that wait there.
    pub(crate) levels: Option<Time>,
    /// When it was last told limits of replicas, and which.
    pub(super) limits: (Option<Time>, BTreeMap<ReplicaKey, u32>),
    /// Set by a report that could not be understood, to its term.
    pub(crate) puzzled: Option<u32>,
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
            home: false,
            state,
            since: now,
            term: 0,
            report: 0,
            cells: Vec::new(),
            strays: BTreeMap::new(),
            running: 0,
            peak: 0.0,
            noted: now,
            waits: Vec::new(),
            pace: None,
            lend: 0,
            total: 0,
            seen: 0,
            told: None,
            levels: None,
            limits: (None, BTreeMap::new()),
            puzzled: None,
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

    /// Returns how many slots it was lent in all.
    pub(crate) fn total(&self) -> u32 {
        self.total
    }

    /// Returns how many slots it may be using in all.
    pub(crate) fn held(&self) -> u32 {
        self.cells.iter().map(Cell::holds).sum()
    }

    /// Lends one more slot of a replica.
    pub(crate) fn raise(&mut self, at: usize) {
        let cell = &mut self.cells[at];
        cell.lend(cell.lent + 1, self.lend + 1);
        self.total += 1;
        self.dirty = true;
    }

    /// Asks one slot of a replica back.
    pub(crate) fn lower(&mut self, at: usize) {
        let cell = &mut self.cells[at];
        if cell.lent > 0 {
            cell.lend(cell.lent - 1, self.lend + 1);
            self.total -= 1;
            self.dirty = true;
        }
    }

    /// Follows a change of the pool's replicas.
    pub(crate) fn reorder(&mut self, old: &[ReplicaKey], new: &[ReplicaKey]) {
        let cells = std::mem::take(&mut self.cells);
        let mut known: BTreeMap<ReplicaKey, Cell> = old.iter().copied().zip(cells).collect();
        for key in new {
            let mut cell = known.remove(key).unwrap_or_default();
            cell.kept = cell.kept.max(self.strays.remove(key).unwrap_or(0));
            self.cells.push(cell);
        }
        for (key, cell) in known.into_iter().filter(|(_, c)| c.kept > 0) {
            self.strays.insert(key, cell.kept);
        }
        self.total = self.cells.iter().map(|c| c.lent).sum();
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

    /// Returns how many requests wait there.
    pub(crate) fn waiting(&self) -> u32 {
        self.waits.iter().map(|w| w.queued).sum()
    }

    /// Returns whether it uses the service.
    pub(crate) fn busy(&self) -> bool {
        self.running > 0 || !self.waits.is_empty()
    }

    /// Takes in a later report. `at` finds a replica's place.
    pub(crate) fn report(&mut self, r: Report, at: impl Fn(ReplicaKey) -> Option<usize>) {
        self.report = r.seq;
        if r.base == 0 {
            self.strays.clear();
            self.cells.iter_mut().for_each(|c| c.kept = 0);
        }
        for (key, n) in r.kept {
            match at(key) {
                Some(at) => self.cells[at].kept = n,
                None => {
                    self.strays.insert(key, n);
                }
            }
        }
        if r.term != self.term {
            self.term = r.term;
            self.seen = 0;
            self.cells.iter_mut().for_each(Cell::adopt);
            self.dirty = true;
        }
        self.seen = self.seen.max(r.seen);
        // It answers the last lend, so what it keeps less than lent it has given back.
        let last = r.seen == self.lend;
        for cell in &mut self.cells {
            cell.seen(r.seen);
            if last {
                cell.lent = cell.lent.min(cell.kept);
            }
        }
        self.total = self.cells.iter().map(|c| c.lent).sum();
        self.running = r.running;
        if let Some(waits) = r.waits {
            self.waits = waits;
        }
        self.cells.iter_mut().for_each(|c| c.shunned = false);
        for at in r.shuns.iter().filter_map(|key| at(*key)) {
            self.cells[at].shunned = true;
        }
        for load in r.loads.iter().flat_map(|l| &l.seats) {
            if let Some(at) = at(load.key) {
                self.cells[at].running = load.running;
            }
        }
        if let Some(l) = r.loads.filter(|l| l.cost > 0 && l.run > Span::ZERO) {
            self.pace = Some((l.cost, l.run));
        }
    }

    /// Returns whether there is a free slot that it would use.
    pub(crate) fn helped(&self, free: &[i64]) -> bool {
        let mut all = self.cells.iter().zip(free);
        let shuns = self.cells.iter().any(|c| c.shunned);
        !shuns || all.any(|(cell, n)| *n > 0 && !cell.shunned)
    }

    /// Returns the replicas that can take nothing of what waits there.
    pub(crate) fn shuns(&self) -> Vec<usize> {
        let all = self.cells.iter().enumerate();
        all.filter(|(_, c)| c.shunned).map(|(at, _)| at).collect()
    }

    /// Forgets all that it held, as it is believed to be dead.
    pub(crate) fn bury(&mut self) {
        self.cells.iter_mut().for_each(|c| *c = Cell::default());
        self.strays.clear();
        self.total = 0;
        self.waits.clear();
        self.running = 0;
        self.report = self.report.max(1);
    }
}
