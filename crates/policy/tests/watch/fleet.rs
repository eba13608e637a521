//! Routers that take turns at watching the store, in virtual time.

use {
    policy::{
        RouterId,
        Span,
        Time,
        Watch, //
    },
    std::collections::BTreeSet,
};

/// One step of virtual time.
const STEP: Span = Span::millis(10);
/// Time from a router's word to its being heard.
const LINK: Span = Span::millis(10);
/// Time by which a call without an answer is given up later than its wait.
const HANGS: Span = Span::millis(800);

/// What a router does.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Doing {
    Looks { at: Time },
    Waits { until: Time },
    Hangs { until: Time },
    Pauses { until: Time },
}

struct Router {
    name: RouterId,
    watch: Watch,
    doing: Doing,
    speaks: Time,
}

/// A fleet, and how the store treats it.
pub(crate) struct Fleet {
    routers: Vec<Router>,
    every: Span,
    words: Vec<(Time, usize, Option<Span>)>,
    pub(crate) now: Time,
    /// The store answers nobody.
    pub(crate) down: bool,
    /// Routers that the store turns away.
    pub(crate) refused: BTreeSet<usize>,
    /// Routers whose calls get no answer.
    pub(crate) silent: BTreeSet<usize>,
    /// Calls that were made.
    pub(crate) calls: usize,
    /// When a call was last answered.
    pub(crate) answered: Time,
    rng: fastrand::Rng,
}

impl Fleet {
    pub(crate) fn new(n: usize, every: Span, seed: u64) -> Fleet {
        let routers = (0..n).map(|i| Router {
            name: format!("r{i:03}").parse().unwrap(),
            watch: Watch::default(),
            doing: Doing::Looks { at: Time(0) },
            speaks: Time(0) + every * (i as f64 / n as f64),
        });
        Fleet {
            routers: routers.collect(),
            every,
            words: Vec::new(),
            now: Time(0),
            down: false,
            refused: BTreeSet::new(),
            silent: BTreeSet::new(),
            calls: 0,
            answered: Time(0),
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Returns the routers that wait for a change now.
    pub(crate) fn watching(&self) -> Vec<usize> {
        let waits = |r: &Router| matches!(r.doing, Doing::Waits { .. });
        let all = self.routers.iter().enumerate();
        all.filter(|(_, r)| waits(r)).map(|(i, _)| i).collect()
    }

    /// Runs for a while. Returns the longest time in which the store told nobody anything.
    pub(crate) fn run(&mut self, span: Span) -> Span {
        let end = self.now + span;
        let mut longest = Span::ZERO;
        while self.now < end {
            self.now += STEP;
            self.speak();
            for i in 0..self.routers.len() {
                self.step(i);
            }
            longest = longest.max(self.now.since(self.answered));
        }
        longest
    }

    fn speak(&mut self) {
        let now = self.now;
        for (i, r) in self.routers.iter_mut().enumerate() {
            if now >= r.speaks {
                r.speaks = now + self.every;
                self.words.push((now + LINK, i, r.watch.age(now)));
            }
        }
        let (due, rest) = std::mem::take(&mut self.words)
            .into_iter()
            .partition(|(at, ..)| now >= *at);
        self.words = rest;
        let due: Vec<(Time, usize, Option<Span>)> = due;
        for (_, from, age) in due {
            let name = self.routers[from].name.clone();
            for (to, r) in self.routers.iter_mut().enumerate() {
                // One datagram in fifty is lost.
                if to != from && self.rng.f64() > 0.02 {
                    r.watch.set_peer(&name, age, now);
                }
            }
        }
    }

    fn step(&mut self, i: usize) {
        let (now, n) = (self.now, self.routers.len());
        match self.routers[i].doing {
            Doing::Looks { at } if now >= at => {
                let due = self.routers[i].watch.is_due(self.rng.f64(), n, now);
                match due {
                    true => self.call(i),
                    false => {
                        self.routers[i].doing = Doing::Looks {
                            at: now + Watch::POLL_INTERVAL,
                        }
                    }
                }
            }
            Doing::Waits { until } if now >= until => self.call(i),
            Doing::Hangs { until } if now >= until => self.fail(i),
            Doing::Pauses { until } if now >= until => {
                self.routers[i].doing = Doing::Looks { at: now };
            }
            _ => {}
        }
    }

    /// Makes a router's next call.
    fn call(&mut self, i: usize) {
        let now = self.now;
        self.calls += 1;
        if self.silent.contains(&i) {
            let until = now + Watch::LONG_POLL_TIMEOUT + HANGS;
            self.routers[i].doing = Doing::Hangs { until };
            return;
        }
        if self.down || self.refused.contains(&i) {
            self.fail(i);
            return;
        }
        let router = &mut self.routers[i];
        self.answered = now;
        router.watch.confirmed(now);
        router.doing = match router.watch.yields(&router.name, now) {
            true => {
                router.watch.ended();
                Doing::Looks { at: now }
            }
            false => Doing::Waits {
                until: now + Watch::LONG_POLL_TIMEOUT,
            },
        };
    }

    fn fail(&mut self, i: usize) {
        let roll = self.rng.f64();
        let n = self.routers.len();
        let watch = &mut self.routers[i].watch;
        watch.failed();
        let until = self.now + watch.pause(roll, n);
        self.routers[i].doing = Doing::Pauses { until };
    }
}
