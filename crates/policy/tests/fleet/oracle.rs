//! Oracle that sees the complete fleet and checks its invariants.

use {
    super::Fleet,
    policy::{
        gap_bound,
        GapTerms,
        Span,
        Time,
        Units, //
    },
    std::collections::BTreeMap,
};

/// Time that the routers have to converge after a fault.
pub const SETTLE_TIME: Span = Span::secs(6);
/// The same after many routers were killed together: their slots are held for longer, as
/// partitioned routers would keep using them.
pub const PARTITION_SETTLE_TIME: Span = Span::secs(36);
/// Maximum time of an idle slot while requests are queued: the delays of a report, a grant and
/// the ticks before each; and of a new request just after a plan of the owner.
pub const EXCHANGE_DELAY: Span = Span::millis(250);
/// A backlogged workspace gets a slot within this time.
const STARVATION_LIMIT: Span = Span::secs(10);
/// Maximum cost of one request in these tests, in units.
pub const MAX_COST: f64 = 3.0;
/// Maximum run time in these tests.
pub const MAX_RUN: Span = Span::millis(600);

/// Checks the complete fleet in each tick.
#[derive(Default)]
pub struct Oracle {
    /// When a fault was last active.
    pub last_fault: Time,
    pub faulted: bool,
    idle_since: Option<Time>,
    last_progress: BTreeMap<usize, Time>,
    /// Minimum and maximum difference of service while both workspaces are backlogged.
    gap_ranges: BTreeMap<(usize, usize), (f64, f64)>,
    /// The largest gap before the first fault, relative to the bound.
    pub largest_gap: f64,
}

impl Oracle {
    /// Records a fault, and restarts all checks.
    pub fn record_fault(&mut self, now: Time) {
        self.last_fault = now;
        self.faulted = true;
        self.idle_since = None;
        self.last_progress.clear();
        self.gap_ranges.clear();
    }

    /// Checks the state after a tick.
    pub fn check(&mut self, f: &Fleet) {
        self.check_deadlines(f);
        let settle = if f.many_dead() {
            PARTITION_SETTLE_TIME
        } else {
            SETTLE_TIME
        };
        let settled = !self.faulted || f.now.since(self.last_fault) >= settle;
        if !settled {
            return;
        }
        self.check_limits(f);
        self.check_idle(f);
        self.check_starving(f);
        self.check_gap(f);
    }

    /// No request is queued beyond its deadline.
    fn check_deadlines(&self, f: &Fleet) {
        for o in f.nodes.iter().flatten().flat_map(|n| n.open.values()) {
            assert!(
                o.started.is_some() || o.deadline >= f.now,
                "a request of w{} is queued beyond its deadline",
                o.workspace
            );
        }
    }

    /// No replica exceeds its limit.
    fn check_limits(&self, f: &Fleet) {
        let limit = f.rules.services[0].start.0;
        for (replica, n) in &f.running {
            assert!(*n <= limit, "{replica} runs {n}, its limit is {limit}");
        }
    }

    /// No slot is idle for longer than `EXCHANGE_DELAY` while requests are queued.
    fn check_idle(&mut self, f: &Fleet) {
        let waits = (0..f.served.len()).any(|w| f.waiting(w) > 0);
        if !waits || f.busy() >= f.slots() {
            self.idle_since = None;
            return;
        }
        let since = *self.idle_since.get_or_insert(f.now);
        let idle = f.slots() - f.busy();
        assert!(
            f.now.since(since) <= EXCHANGE_DELAY,
            "{idle} slots idle while requests are queued since {since:?}, now {:?}",
            f.now
        );
    }

    /// No backlogged workspace starves.
    fn check_starving(&mut self, f: &Fleet) {
        for w in 0..f.served.len() {
            if f.waiting(w) == 0 || f.slots() == 0 || f.last_start[w] == f.now {
                self.last_progress.insert(w, f.now);
                continue;
            }
            let since = *self.last_progress.entry(w).or_insert(f.now);
            let since = since.max(f.last_start[w]);
            assert!(
                f.now.since(since) <= STARVATION_LIMIT,
                "w{w} starves since {since:?}"
            );
        }
    }

    /// The gap of service between any two backlogged workspaces stays within the bound.
    fn check_gap(&mut self, f: &Fleet) {
        let bound = bound(f, self.faulted);
        let waits: Vec<bool> = (0..f.served.len()).map(|w| f.waiting(w) > 0).collect();
        for i in 0..waits.len() {
            for j in 0..i {
                if !waits[i] || !waits[j] {
                    self.gap_ranges.remove(&(i, j));
                    continue;
                }
                let level = |w: usize| f.served[w] / f.share(w);
                let d = level(i) - level(j);
                let p = self.gap_ranges.entry((i, j)).or_insert((d, d));
                *p = (p.0.min(d), p.1.max(d));
                if !self.faulted {
                    self.largest_gap = self.largest_gap.max((p.1 - p.0) / bound);
                }
                assert!(
                    p.1 - p.0 <= bound,
                    "the gap between w{i} and w{j} is {:.1}, the bound {bound:.1}",
                    p.1 - p.0
                );
            }
        }
    }
}

/// Returns the bound of the gap; after a fault it includes the debt to be repaid.
pub fn bound(f: &Fleet, faulted: bool) -> f64 {
    let rules = &f.rules.services[0];
    let slots = f64::from(f.slots());
    let least = (0..f.served.len()).map(|w| f.share(w)).fold(1.0, f64::min);
    let most = slots * MAX_COST / least;
    let terms = GapTerms {
        running: Units(most),
        rate: Units(most / MAX_RUN.as_secs()),
        exchange: EXCHANGE_DELAY + MAX_RUN,
        window: rules.window,
        credit: rules.credit,
    };
    let debt = 2.0 * most + rules.window.0 + rules.credit.0;
    gap_bound(&terms).0 + if faulted { debt } else { 0.0 }
}
