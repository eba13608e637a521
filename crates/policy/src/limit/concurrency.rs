//! The concurrency limit of one replica, and how it is learnt.

use {
    super::{
        baselines::{
            Baselines,
            Slowdown, //
        },
        ceiling::Ceiling,
        decrease::{
            Decrease,
            LatencyKind,
            RecentWindows, //
        },
        parameters::{
            DECREASE_TIMEOUT_WINDOWS,
            FLAT_RATIO,
            GROWTH_FACTOR,
            GROWTH_RATES,
            HEADROOM_RATIO,
            IN_USE_RATIO,
            MAX_LIMIT,
            MAX_WINDOWS,
            MIN_KEPT_RATIO,
            MIN_SATURATION,
            MIN_WINDOWS,
            PROBE_INTERVALS,
            PROBE_KEPT_RATIO,
            PROBE_MIN_WINDOWS,
            QUEUED_KEPT_RATIO,
            REJECTED_KEPT_RATIO,
            REPORT_LAG,
            SAMPLE_WINDOW, //
        },
        window::Window, //
    },
    crate::{
        Slots,
        Span,
        Time, //
    },
};

/// The learnt number of requests that one replica can run concurrently.
///
/// # Examples
///
/// ```
/// use policy::{limit::ConcurrencyLimit, Slots, Span, Time};
///
/// let mut limit = ConcurrencyLimit::new(Slots(4));
/// for s in 0..5 {
///     let gap = Some(Span::millis(20));
///     limit.record(None, gap, limit.get(), true, Time(0) + Span::secs(s));
/// }
/// assert!(limit.get() > Slots(4));
/// ```
#[derive(Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    max_limit: f64,
    window: Window,
    baselines: Baselines,
    /// Relative size of the next increase.
    growth_rate: f64,
    /// When the last probe of the baseline started, and the interval to the next one.
    last_probe: Option<Time>,
    probe_interval: Span,
    /// Whether a probe may start now.
    probe_allowed: bool,
    /// When a load report of the engine last caused a decrease.
    last_report_decrease: Option<Time>,
    /// The last windows since the limit changed, and the number of all of them.
    recent: RecentWindows,
    windows_since_change: usize,
    /// A limit that was recently found too high.
    ceiling: Option<Ceiling>,
    decrease: Option<Decrease>,
}

impl ConcurrencyLimit {
    /// Creates the limit of a replica about which nothing is known.
    pub fn new(start: Slots) -> ConcurrencyLimit {
        ConcurrencyLimit {
            limit: f64::from(start.0.max(1)),
            max_limit: MAX_LIMIT,
            window: Window::default(),
            baselines: Baselines::new(),
            growth_rate: GROWTH_RATES[0],
            last_probe: None,
            probe_interval: PROBE_INTERVALS[0],
            probe_allowed: true,
            last_report_decrease: None,
            recent: RecentWindows::default(),
            windows_since_change: 0,
            ceiling: None,
            decrease: None,
        }
    }

    /// Bounds the limit by `max_limit`.
    pub fn with_max(mut self, max_limit: Slots) -> ConcurrencyLimit {
        self.max_limit = f64::from(max_limit.0.max(1));
        self.limit = self.limit.min(self.max_limit);
        self
    }

    /// Returns how many requests may run concurrently; at least 1.
    pub fn get(&self) -> Slots {
        Slots(self.limit.round() as u32)
    }

    /// Sets whether a probe of the baseline may start, which takes some slots for a while.
    ///
    /// If all replicas of a pool probed at the same time, a part of the pool would be idle.
    pub fn allow_probe(&mut self, allow: bool) {
        self.probe_allowed = allow;
    }

    /// Returns whether a probe of the baseline is running.
    pub fn is_probing(&self) -> bool {
        self.decrease.as_ref().is_some_and(|c| c.is_probe)
    }

    /// Returns the number of slots that a probe takes.
    pub fn probe_cost(&self) -> Slots {
        let limit = self.get();
        Slots(limit.0 - probe_target(limit).0)
    }

    /// Records the performance of the replica over the interval of a report: the mean times to the
    /// first token (or to the answer) and between tokens, the number of running requests, and
    /// whether it accepted all requests.
    pub fn record(
        &mut self,
        first_byte: Option<Span>,
        token_gap: Option<Span>,
        running: Slots,
        ok: bool,
        now: Time,
    ) {
        let start = *self.window.start.get_or_insert(now);
        self.window.push(first_byte, token_gap, running, ok);
        if now.since(start) >= SAMPLE_WINDOW {
            let w = std::mem::take(&mut self.window);
            self.window.start = Some(now);
            self.evaluate_window(&w, now);
        }
    }

    /// Records a load report of the engine, which lags: its running and its waiting requests.
    pub fn record_load(&mut self, running: u32, waiting: u32, now: Time) {
        // An engine that admits every request counts it as waiting until its first token, under
        // normal load too. A limit reduced to the running requests would leave slots idle while
        // requests are queued at the routers. So only more waiting than running requests count as
        // a queue, and the limit is not reduced below the number of requests inside the engine.
        let inside = f64::from(running) + f64::from(waiting);
        let recent_report = self
            .last_report_decrease
            .is_some_and(|t| now.since(t) < REPORT_LAG);
        if waiting > running && running > 0 && !recent_report && inside < self.limit {
            self.last_report_decrease = Some(now);
            self.set_limit(inside);
        }
    }

    /// Adjusts the limit by the results of one window.
    fn evaluate_window(&mut self, w: &Window, now: Time) {
        if w.rejected {
            self.decrease = None;
            self.set_limit(self.limit.min(w.running().max(1.0)) * REJECTED_KEPT_RATIO);
            return;
        }
        if self.decrease.is_some() {
            self.evaluate_decrease(w, now);
            return;
        }
        if self.recent.differs_from(w) {
            self.recent = RecentWindows::default();
        }
        self.recent.push(w, MAX_WINDOWS);
        self.windows_since_change += 1;
        if self.recent.count() < MIN_WINDOWS {
            return;
        }
        let Some(slowdown) = self.baselines.slowdown(&self.recent.sum()) else {
            return;
        };
        let probed = *self.last_probe.get_or_insert(now);
        let due = self.probe_allowed && now.since(probed) >= self.probe_interval;
        let in_use = self.recent.sum().running() + 1.0 > self.limit * IN_USE_RATIO;
        let enough = self.recent.count() == MAX_WINDOWS && self.windows_since_change > MAX_WINDOWS;
        if !slowdown.near_baseline {
            self.growth_rate = GROWTH_RATES[0];
        }
        if slowdown.slow {
            if enough {
                self.shrink(&slowdown, now);
            }
        } else if slowdown.near_baseline && in_use && self.below_ceiling(now) {
            self.grow(slowdown.ratio);
        } else if due && in_use && enough {
            self.start_probe(now);
        }
    }

    /// Returns whether the next increase stays below a limit recently found too high.
    fn below_ceiling(&self, now: Time) -> bool {
        let next = Slots((self.limit + self.growth_step()).round() as u32);
        let ceiling = self.ceiling.as_ref();
        ceiling.is_none_or(|c| c.admits(next, now))
    }

    fn growth_step(&self) -> f64 {
        (self.limit * self.growth_rate).max(1.0)
    }

    /// Increases the limit, by growing steps while latency stays near the baseline.
    fn grow(&mut self, ratio: f64) {
        // Starting with a large step would oversaturate a replica for seconds if it is already
        // near its capacity. The decrease that follows would take slots from every router at once,
        // which widens the fairness gap.
        let factor = if ratio <= FLAT_RATIO {
            GROWTH_FACTOR
        } else {
            0.0
        };
        self.set_limit(self.limit + self.growth_step());
        self.growth_rate = (self.growth_rate * factor).clamp(GROWTH_RATES[0], GROWTH_RATES[1]);
    }

    /// Decreases the limit to the point where the replica should be just saturated, and starts to
    /// observe the effect.
    fn shrink(&mut self, slowdown: &Slowdown, now: Time) {
        let running = self.recent.sum().running();
        if running < 1.5 {
            // A single request can't be slowed by others, so this latency is the baseline.
            self.last_probe = Some(now);
            let alone = self.recent.sum();
            return self.baselines.rebase(&alone);
        }
        let kept_ratio = match slowdown.kind {
            // A queue inside the engine delays only the first token, and the delay doesn't show
            // the length of the queue.
            LatencyKind::FirstByte => QUEUED_KEPT_RATIO,
            _ => (HEADROOM_RATIO / slowdown.ratio).max(MIN_KEPT_RATIO),
        };
        let most = f64::from(self.get().0) - 1.0;
        self.start_decrease(
            slowdown.kind,
            (self.limit.min(running) * kept_ratio).round().min(most),
        );
    }

    /// Starts a probe: a small decrease that shows whether the baseline is still valid.
    fn start_probe(&mut self, now: Time) {
        let target = probe_target(self.get());
        self.last_probe = Some(now);
        if target < self.get() {
            let kind = match self.recent.sum().token_gap() {
                Some(_) => LatencyKind::TokenGap,
                None => LatencyKind::Answer,
            };
            self.start_decrease(kind, f64::from(target.0));
            self.decrease.iter_mut().for_each(|c| c.is_probe = true);
        }
    }

    fn start_decrease(&mut self, kind: LatencyKind, limit: f64) {
        self.decrease = Some(Decrease {
            is_probe: false,
            kind,
            previous_limit: self.limit,
            initial_limit: self.limit,
            before: self.recent.sum(),
            after: RecentWindows::default(),
            windows: 0,
            settled: false,
        });
        self.set_limit(limit);
    }

    /// Evaluates the effect of a decrease once fewer requests run.
    fn evaluate_decrease(&mut self, w: &Window, now: Time) {
        // An engine that has become slower for all requests looks like a saturated one, and
        // repeated decreases would end at a limit of 1 and leave it idle. The effect of a decrease
        // tells the two apart: fewer requests speed up a saturated replica, but not a slow one.
        let Some(mut decrease) = self.decrease.take() else {
            return;
        };
        let needed = if decrease.is_probe {
            PROBE_MIN_WINDOWS
        } else {
            MIN_WINDOWS
        };
        decrease.record_window(w, self.limit);
        if decrease.after.count() < needed {
            match decrease.windows < DECREASE_TIMEOUT_WINDOWS {
                true => self.decrease = Some(decrease),
                false if decrease.is_probe => self.set_limit(decrease.initial_limit),
                false => {}
            }
            return;
        }
        let after = decrease.after.sum();
        if decrease.got_slower() {
            // The engine has changed meanwhile, so the decrease shows nothing. Its latencies must
            // not become the baseline, as this may be an engine that lost half of its memory.
            if decrease.is_probe {
                self.set_limit(decrease.initial_limit);
            }
            return;
        }
        let saturation = decrease.saturation(self.limit);
        if decrease.is_probe && saturation.is_none() {
            // The load ended meanwhile, so nothing was observed. Further probes would reduce the
            // limit to 1, and leave the replica idle when requests arrive again.
            self.set_limit(decrease.initial_limit);
            return;
        }
        let saturated = saturation.is_none_or(|f| f >= MIN_SATURATION);
        match (decrease.is_probe, saturated) {
            (true, true) => {
                // Fewer requests ran faster, so the replica was oversaturated: continue to probe.
                self.recent = decrease.after;
                self.start_probe(now);
                self.decrease
                    .iter_mut()
                    .for_each(|c| c.initial_limit = decrease.initial_limit);
            }
            (true, false) => {
                self.last_probe = Some(now);
                self.probe_interval = match self.baselines.has_risen(&after) {
                    true => PROBE_INTERVALS[0],
                    false => Span((self.probe_interval.0 * 2).min(PROBE_INTERVALS[1].0)),
                };
                self.baselines.rebase(&after);
                self.set_limit(
                    decrease
                        .initial_limit
                        .min(decrease.previous_limit * HEADROOM_RATIO),
                );
            }
            (false, true) => {
                let limit = Slots(decrease.previous_limit.round() as u32);
                self.ceiling = Some(Ceiling::new(limit, self.ceiling.take(), now));
            }
            (false, false) => {
                self.last_probe = Some(now);
                self.probe_interval = Span(PROBE_INTERVALS[0].0 * 2);
                self.ceiling = None;
                self.baselines.rebase(&after);
                self.set_limit(decrease.previous_limit);
            }
        }
    }

    fn set_limit(&mut self, limit: f64) {
        self.limit = limit.clamp(1.0, self.max_limit);
        self.recent = RecentWindows::default();
        self.windows_since_change = 0;
    }
}

/// Returns the limit during a probe: at least one slot less.
fn probe_target(limit: Slots) -> Slots {
    let kept = (f64::from(limit.0) * PROBE_KEPT_RATIO).round() as u32;
    Slots(kept.min(limit.0 - 1).max(1))
}
