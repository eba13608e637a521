//! What must hold, judged by one who sees the whole fleet at once.

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

/// After a fault ends, the routers have this long to agree again.
pub const SETTLE: Span = Span::secs(6);
/// When many routers vanish together, their slots are held for longer: they may only be cut
/// off, and go on using them.
pub const CUT_OFF: Span = Span::secs(36);
/// The stated delay of an idle slot while work waits: the way of a report, a lend and the
/// ticks before each; and of a new request that finds its owner's plan just made.
pub const EXCHANGE: Span = Span::millis(250);
/// A backlogged workspace gets a slot within this time.
const STARVED: Span = Span::secs(10);
/// Largest cost of one request in these tests, in units.
pub const COST_MAX: f64 = 3.0;
/// Longest run in these tests.
pub const RUN_MAX: Span = Span::millis(600);

/// Watches the whole fleet, tick by tick.
#[derive(Default)]
pub struct Oracle {
    /// Since when no fault has been active.
    pub calm: Time,
    pub faulted: bool,
    idle_since: Option<Time>,
    started: BTreeMap<usize, Time>,
    /// Least and largest difference of service since both are backlogged.
    pairs: BTreeMap<(usize, usize), (f64, f64)>,
    /// The largest gap while no fault had happened yet, as a part of the bound.
    pub gap: f64,
}

impl Oracle {
    /// Notes a fault; what is judged starts anew.
    pub fn fault(&mut self, now: Time) {
        self.calm = now;
        self.faulted = true;
        self.idle_since = None;
        self.started.clear();
        self.pairs.clear();
    }

    /// Judges the state after a tick.
    pub fn judge(&mut self, f: &Fleet) {
        self.judge_deadlines(f);
        let settle = if f.many_dead() { CUT_OFF } else { SETTLE };
        let settled = !self.faulted || f.now.since(self.calm) >= settle;
        if !settled {
            return;
        }
        self.judge_limits(f);
        self.judge_idle(f);
        self.judge_starving(f);
        self.judge_gap(f);
    }

    /// Nothing waits beyond its deadline.
    fn judge_deadlines(&self, f: &Fleet) {
        for o in f.nodes.iter().flatten().flat_map(|n| n.open.values()) {
            assert!(
                o.at.is_some() || o.deadline >= f.now,
                "a request of w{} waits beyond its deadline",
                o.workspace
            );
        }
    }

    /// No replica runs more than its limit.
    fn judge_limits(&self, f: &Fleet) {
        let limit = f.rules.services[0].start.0;
        for (replica, n) in &f.running {
            assert!(*n <= limit, "{replica} runs {n}, its limit is {limit}");
        }
    }

    /// No slot is idle for long while work waits.
    fn judge_idle(&mut self, f: &Fleet) {
        let waits = (0..f.served.len()).any(|w| f.waiting(w) > 0);
        if !waits || f.busy() >= f.slots() {
            self.idle_since = None;
            return;
        }
        let since = *self.idle_since.get_or_insert(f.now);
        let idle = f.slots() - f.busy();
        assert!(
            f.now.since(since) <= EXCHANGE,
            "{idle} slots idle while work waits since {since:?}, now {:?}",
            f.now
        );
    }

    /// Every backlogged workspace gets a slot now and then.
    fn judge_starving(&mut self, f: &Fleet) {
        for w in 0..f.served.len() {
            if f.waiting(w) == 0 || f.slots() == 0 || f.last_start[w] == f.now {
                self.started.insert(w, f.now);
                continue;
            }
            let since = *self.started.entry(w).or_insert(f.now);
            let since = since.max(f.last_start[w]);
            assert!(
                f.now.since(since) <= STARVED,
                "w{w} starves since {since:?}"
            );
        }
    }

    /// The gap of service between any two backlogged workspaces stays in the bound.
    fn judge_gap(&mut self, f: &Fleet) {
        let bound = bound(f, self.faulted);
        let waits: Vec<bool> = (0..f.served.len()).map(|w| f.waiting(w) > 0).collect();
        for i in 0..waits.len() {
            for j in 0..i {
                if !waits[i] || !waits[j] {
                    self.pairs.remove(&(i, j));
                    continue;
                }
                let level = |w: usize| f.served[w] / f.share(w);
                let d = level(i) - level(j);
                let p = self.pairs.entry((i, j)).or_insert((d, d));
                *p = (p.0.min(d), p.1.max(d));
                if !self.faulted {
                    self.gap = self.gap.max((p.1 - p.0) / bound);
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

/// Returns the stated bound; after a fault, what is paid back comes on top.
pub fn bound(f: &Fleet, faulted: bool) -> f64 {
    let rules = &f.rules.services[0];
    let slots = f64::from(f.slots());
    let least = (0..f.served.len()).map(|w| f.share(w)).fold(1.0, f64::min);
    let most = slots * COST_MAX / least;
    let terms = GapTerms {
        running: Units(most),
        rate: Units(most / RUN_MAX.as_secs()),
        exchange: EXCHANGE + RUN_MAX,
        window: rules.window,
        credit: rules.credit,
    };
    let debt = 2.0 * most + rules.window.0 + rules.credit.0;
    gap_bound(&terms).0 + if faulted { debt } else { 0.0 }
}
