//! The limit of one replica, and how it is learnt.

use {
    super::{
        baselines::{
            Floors,
            Pace, //
        },
        ceiling::Ceiling,
        decrease::{
            Cut,
            Kind,
            Trail, //
        },
        parameters::{
            ABOVE_FULL,
            CAP,
            EVIDENCE,
            FLAT,
            FULL,
            GROWTH,
            IN_USE,
            KEPT_REFUSED,
            LEAST_KEPT,
            PATIENCE,
            PROBE,
            PROBE_EVIDENCE,
            PROBE_KEPT,
            QUEUED_KEPT,
            QUICKER,
            RECENT,
            REPORT_LAG,
            WINDOW, //
        },
        window::Window, //
    },
    crate::{
        Slots,
        Span,
        Time, //
    },
};

/// The number of requests that one replica can run at once, as learnt so far.
///
/// # Examples
///
/// ```
/// use policy::{limit::Limit, Slots, Span, Time};
///
/// let mut limit = Limit::new(Slots(4));
/// for s in 0..5 {
///     let gap = Some(Span::millis(20));
///     limit.sample(None, gap, limit.get(), true, Time(0) + Span::secs(s));
/// }
/// assert!(limit.get() > Slots(4));
/// ```
#[derive(Debug)]
pub struct Limit {
    limit: f64,
    cap: f64,
    window: Window,
    floors: Floors,
    /// The part that the next growth adds.
    rate: f64,
    /// When the floor was last looked for, and how long until the next time.
    probed: Option<Time>,
    period: Span,
    /// Whether the floor may be looked for now.
    probes: bool,
    /// When the engine's report last brought a decrease.
    reported: Option<Time>,
    /// The last windows since the limit was changed, and how many there were.
    recent: Trail,
    age: usize,
    /// Too much for the replica a short while ago.
    ceiling: Option<Ceiling>,
    cut: Option<Cut>,
}

impl Limit {
    /// Makes the limit of a replica of which nothing is known.
    pub fn new(start: Slots) -> Limit {
        Limit {
            limit: f64::from(start.0.max(1)),
            cap: CAP,
            window: Window::default(),
            floors: Floors::new(),
            rate: GROWTH[0],
            probed: None,
            period: PROBE[0],
            probes: true,
            reported: None,
            recent: Trail::default(),
            age: 0,
            ceiling: None,
            cut: None,
        }
    }

    /// Never lets the limit rise above `cap`.
    pub fn capped(mut self, cap: Slots) -> Limit {
        self.cap = f64::from(cap.0.max(1));
        self.limit = self.limit.min(self.cap);
        self
    }

    /// Returns how many requests may run at once, at least 1.
    pub fn get(&self) -> Slots {
        Slots(self.limit.round() as u32)
    }

    /// Says whether the floor may be looked for now, which takes some slots for a while.
    ///
    /// Replicas of one pool that did so at the same moment would leave a part of it idle.
    pub fn allow_probe(&mut self, allow: bool) {
        self.probes = allow;
    }

    /// Returns whether the floor is being looked for.
    pub fn probing(&self) -> bool {
        self.cut.as_ref().is_some_and(|c| c.probe)
    }

    /// Returns how many slots a look for the floor takes.
    pub fn probe_cost(&self) -> Slots {
        let limit = self.get();
        Slots(limit.0 - probe_target(limit).0)
    }

    /// Takes what was seen of the replica over a report's interval: the mean time to first
    /// token (or to the answer) and between tokens, how many requests ran in all, and
    /// whether it accepted what it was given.
    pub fn sample(
        &mut self,
        first: Option<Span>,
        gap: Option<Span>,
        running: Slots,
        ok: bool,
        now: Time,
    ) {
        let start = *self.window.start.get_or_insert(now);
        self.window.push(first, gap, running, ok);
        if now.since(start) >= WINDOW {
            let w = std::mem::take(&mut self.window);
            self.window.start = Some(now);
            self.learn(&w, now);
        }
    }

    /// Takes the engine's own report, which lags: what runs, and what waits inside it.
    pub fn load(&mut self, running: u32, waiting: u32, now: Time) {
        // An engine that admits whatever comes counts requests as waiting until their first
        // token, in normal work too. A limit cut to what runs would leave their slots idle
        // while work waits at the routers. Only more waiting than running is a queue, and
        // nothing below what is inside is taken away.
        let inside = f64::from(running) + f64::from(waiting);
        let lately = self.reported.is_some_and(|t| now.since(t) < REPORT_LAG);
        if waiting > running && running > 0 && !lately && inside < self.limit {
            self.reported = Some(now);
            self.put(inside);
        }
    }

    /// Draws the conclusion from one window.
    fn learn(&mut self, w: &Window, now: Time) {
        if w.refused {
            self.cut = None;
            self.put(self.limit.min(w.running().max(1.0)) * KEPT_REFUSED);
            return;
        }
        if self.cut.is_some() {
            self.judge(w, now);
            return;
        }
        if self.recent.differs(w) {
            self.recent = Trail::default();
        }
        self.recent.push(w, RECENT);
        self.age += 1;
        if self.recent.count() < EVIDENCE {
            return;
        }
        let Some(pace) = self.floors.pace(&self.recent.sum()) else {
            return;
        };
        let probed = *self.probed.get_or_insert(now);
        let due = self.probes && now.since(probed) >= self.period;
        let used = self.recent.sum().running() + 1.0 > self.limit * IN_USE;
        let full = self.recent.count() == RECENT && self.age > RECENT;
        if !pace.steady {
            self.rate = GROWTH[0];
        }
        if pace.slow {
            if full {
                self.shrink(&pace, now);
            }
        } else if pace.steady && used && self.free(now) {
            self.grow(pace.ratio);
        } else if due && used && full {
            self.probe(now);
        }
    }

    /// Returns whether the next increase stays below what was too much a short while ago.
    fn free(&self, now: Time) -> bool {
        let next = Slots((self.limit + self.more()).round() as u32);
        let ceiling = self.ceiling.as_ref();
        ceiling.is_none_or(|c| c.admits(next, now))
    }

    fn more(&self) -> f64 {
        (self.limit * self.rate).max(1.0)
    }

    /// Lets more run; by ever larger steps as long as that makes nothing slower.
    fn grow(&mut self, ratio: f64) {
        // A replica that starts at what it can run would be overfull for seconds after one
        // large step. The cut after it takes slots from every router at once, which shows as
        // a wider fairness gap.
        let faster = if ratio <= FLAT { QUICKER } else { 0.0 };
        self.put(self.limit + self.more());
        self.rate = (self.rate * faster).clamp(GROWTH[0], GROWTH[1]);
    }

    /// Takes the limit down to where the replica should be just full, and watches what that
    /// changes.
    fn shrink(&mut self, pace: &Pace, now: Time) {
        let running = self.recent.sum().running();
        if running < 1.5 {
            // One request alone can't be slowed by others: this is the floor now.
            self.probed = Some(now);
            let alone = self.recent.sum();
            return self.floors.rebase(&alone);
        }
        let kept = match pace.kind {
            // A queue inside the engine delays the first token only. Its length can't be
            // told from the delay.
            Kind::First => QUEUED_KEPT,
            _ => (ABOVE_FULL / pace.ratio).max(LEAST_KEPT),
        };
        let least = f64::from(self.get().0) - 1.0;
        self.cut(
            pace.kind,
            (self.limit.min(running) * kept).round().min(least),
        );
    }

    /// Takes a few slots away, to see whether the floor is where it is believed to be.
    fn probe(&mut self, now: Time) {
        let target = probe_target(self.get());
        self.probed = Some(now);
        if target < self.get() {
            let kind = match self.recent.sum().gap() {
                Some(_) => Kind::Gap,
                None => Kind::Answer,
            };
            self.cut(kind, f64::from(target.0));
            self.cut.iter_mut().for_each(|c| c.probe = true);
        }
    }

    fn cut(&mut self, kind: Kind, limit: f64) {
        self.cut = Some(Cut {
            probe: false,
            kind,
            limit: self.limit,
            top: self.limit,
            before: self.recent.sum(),
            after: Trail::default(),
            age: 0,
            settled: false,
        });
        self.put(limit);
    }

    /// Sees what a decrease has changed, once fewer requests run.
    fn judge(&mut self, w: &Window, now: Time) {
        // An engine that has become slower for every request looks like one that is full. Cut
        // after cut would bring its limit to 1 and leave it idle. A cut tells the two apart:
        // fewer requests make a full replica faster, and a slow one not at all.
        let Some(mut cut) = self.cut.take() else {
            return;
        };
        let wanted = if cut.probe { PROBE_EVIDENCE } else { EVIDENCE };
        cut.see(w, self.limit);
        if cut.after.count() < wanted {
            match cut.age < PATIENCE {
                true => self.cut = Some(cut),
                false if cut.probe => self.put(cut.top),
                false => {}
            }
            return;
        }
        let after = cut.after.sum();
        if cut.worse() {
            // The engine has changed meanwhile, so the cut shows nothing. Its times must not
            // become the floor: an engine that lost half of its memory would count as well.
            if cut.probe {
                self.put(cut.top);
            }
            return;
        }
        let fullness = cut.fullness(self.limit);
        if cut.probe && fullness.is_none() {
            // The load ended meanwhile, and nothing was seen. Going on would end at 1, and
            // leave the replica idle when work comes back.
            self.put(cut.top);
            return;
        }
        let full = fullness.is_none_or(|f| f >= FULL);
        match (cut.probe, full) {
            (true, true) => {
                // Fewer requests were faster, so it was more than full: go on looking.
                self.recent = cut.after;
                self.probe(now);
                self.cut.iter_mut().for_each(|c| c.top = cut.top);
            }
            (true, false) => {
                self.probed = Some(now);
                self.period = match self.floors.risen(&after) {
                    true => PROBE[0],
                    false => Span((self.period.0 * 2).min(PROBE[1].0)),
                };
                self.floors.rebase(&after);
                self.put(cut.top.min(cut.limit * ABOVE_FULL));
            }
            (false, true) => {
                let limit = Slots(cut.limit.round() as u32);
                self.ceiling = Some(Ceiling::new(limit, self.ceiling.take(), now));
            }
            (false, false) => {
                self.probed = Some(now);
                self.period = Span(PROBE[0].0 * 2);
                self.ceiling = None;
                self.floors.rebase(&after);
                self.put(cut.limit);
            }
        }
    }

    fn put(&mut self, limit: f64) {
        self.limit = limit.clamp(1.0, self.cap);
        self.recent = Trail::default();
        self.age = 0;
    }
}

/// Returns the limit while the floor is looked for: at least one slot less.
fn probe_target(limit: Slots) -> Slots {
    let kept = (f64::from(limit.0) * PROBE_KEPT).round() as u32;
    Slots(kept.min(limit.0 - 1).max(1))
}
