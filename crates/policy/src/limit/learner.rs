//! The limit of one replica, and how it is learnt.

use {
    super::{
        cut::{
            Cut,
            Effect,
            Trail, //
        },
        rules::{
            Bounds,
            ABOVE_FULL,
            BELOW_FLOOR,
            CAP,
            EVIDENCE,
            FIRST,
            FULL,
            GAP,
            GROWTH,
            HALF_FULL,
            IN_USE,
            KEPT_REFUSED,
            LEAST_KEPT,
            MOST_KEPT,
            PATIENCE,
            PLAIN,
            PROBE,
            REPORT_LAG,
            SETTLED,
            SLOW,
            START_GROWTH,
            WAITING,
            WINDOW, //
        },
        track::Track,
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
    gap: Track,
    first: Track,
    /// It was found full once, so it no longer grows by leaps.
    found: bool,
    /// When the floor was last looked for, and how long until the next time.
    probed: Option<Time>,
    period: Span,
    /// When the engine's report last brought a decrease.
    reported: Option<Time>,
    /// The slow windows in a row up to now.
    slow: Trail,
    cut: Option<Cut>,
}

impl Limit {
    /// Makes the limit of a replica of which nothing is known.
    pub fn new(start: Slots) -> Limit {
        Limit {
            limit: f64::from(start.0.max(1)),
            cap: CAP,
            window: Window::default(),
            gap: Track::new(),
            first: Track::new(),
            found: false,
            probed: None,
            period: PROBE[0],
            reported: None,
            slow: Trail::default(),
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
        let running = f64::from(running);
        let waits = f64::from(waiting) > (running * WAITING).max(1.0);
        let lately = self.reported.is_some_and(|t| now.since(t) < REPORT_LAG);
        if waits && !lately && running >= 1.0 && running < self.limit {
            self.reported = Some(now);
            self.found = true;
            self.put(running);
        }
    }

    /// Draws the conclusion from one window.
    fn learn(&mut self, w: &Window, now: Time) {
        let gap = w.gap().map(|t| self.gap.ratio(t));
        let first = w.first().map(|t| self.first.ratio(t));
        let first_bounds = match gap {
            Some(_) => FIRST,
            None => PLAIN,
        };
        let rates = [(gap, GAP), (first, first_bounds)];
        let over =
            |pick: fn(Bounds) -> f64| rates.iter().any(|(r, b)| r.is_some_and(|r| r > pick(*b)));
        let (slow, steady) = (over(|b| b.shrink), !over(|b| b.grow));
        let main = gap.or(first);
        if w.refused {
            self.found = true;
            self.put(self.limit.min(w.running().max(1.0)) * KEPT_REFUSED);
            return;
        }
        if self.cut.is_some() {
            self.judge(w, now);
            return;
        }
        let used = w.running() + 1.0 > self.limit * IN_USE;
        let probed = *self.probed.get_or_insert(now);
        let due = now.since(probed) >= self.period;
        if !slow && !due {
            self.slow = Trail::default();
        }
        match main {
            Some(ratio) if slow => {
                self.slow.push(w);
                if self.slow.count >= SLOW {
                    self.shrink(ratio, false, now);
                }
            }
            Some(_) if due && used => {
                self.slow.push(w);
                if self.slow.count >= EVIDENCE {
                    self.shrink(1.0, true, now);
                }
            }
            Some(_) if steady && used => self.grow(),
            _ => {}
        }
    }

    fn grow(&mut self) {
        let more = match self.found {
            true => (self.limit * GROWTH).max(1.0),
            false => self.limit * (START_GROWTH - 1.0),
        };
        self.put(self.limit + more);
    }

    /// Takes the limit down to where the replica should be just full, and watches what that
    /// changes.
    fn shrink(&mut self, ratio: f64, probe: bool, now: Time) {
        let before = std::mem::take(&mut self.slow).sum;
        let running = before.running();
        if running < 1.5 {
            // One request alone can't be slowed by others: this is the floor now.
            self.probed = Some(now);
            return self.rebase(&before);
        }
        self.found = true;
        let kept = (ABOVE_FULL / ratio).clamp(LEAST_KEPT, MOST_KEPT);
        self.cut = Some(Cut {
            probe,
            limit: self.limit,
            floors: [self.gap.floor(), self.first.floor()],
            before,
            after: Trail::default(),
            age: 0,
        });
        self.put((self.limit.min(running) * kept).floor());
    }

    /// Sees what a decrease has changed, once fewer requests run.
    fn judge(&mut self, w: &Window, now: Time) {
        // An engine that has become slower for every request looks like one that is full. Cut
        // after cut would bring its limit to 1 and leave it idle. A cut tells the two apart:
        // fewer requests make a full replica faster, and a slow one not at all.
        let Some(mut cut) = self.cut.take() else {
            return;
        };
        cut.age += 1;
        let running = cut.before.running();
        let settled =
            w.running() <= running * SETTLED && w.running() <= self.limit.max(1.0) * ABOVE_FULL;
        if settled {
            cut.after.push(w);
        }
        if cut.after.count < EVIDENCE {
            match cut.age < PATIENCE {
                true => self.cut = Some(cut),
                false if cut.probe => self.put(cut.limit),
                false => {}
            }
            return;
        }
        let Some(effect) = cut.effect() else {
            return;
        };
        self.probed = Some(now);
        if cut.probe {
            self.go_on(&cut, effect);
        } else if effect.fullness < HALF_FULL {
            self.period = PROBE[0];
            self.rebase(&cut.after.sum);
            self.put(cut.limit);
        }
    }

    /// Goes back up after a probe, unless the replica is still full.
    fn go_on(&mut self, cut: &Cut, effect: Effect) {
        self.period = Span((self.period.0 * 2).clamp(PROBE[0].0, PROBE[1].0));
        if effect.fullness < FULL[0] {
            self.rebase(&cut.after.sum);
            self.put(cut.limit);
        } else if effect.fullness < FULL[1] || effect.after > effect.floor * BELOW_FLOOR {
            self.put(effect.knee * ABOVE_FULL);
        } else {
            // The floor was learnt while the replica was full: go on looking.
            self.period = Span::ZERO;
        }
    }

    /// Takes these times for the floor.
    fn rebase(&mut self, w: &Window) {
        if let Some(t) = w.gap() {
            self.gap.set(t);
        }
        if let Some(t) = w.first() {
            self.first.set(t);
        }
    }

    fn put(&mut self, limit: f64) {
        self.limit = limit.clamp(1.0, self.cap);
    }
}
