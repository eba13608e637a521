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
/// Latency of a message between routers.
const LATENCY: Span = Span::millis(10);
/// Timeout of a call without an answer, in addition to the long poll.
const CALL_TIMEOUT: Span = Span::millis(800);

/// The state of a router.
#[derive(Debug, Clone, Copy, PartialEq)]
enum State {
    Checking { at: Time },
    Waiting { until: Time },
    Hanging { until: Time },
    BackingOff { until: Time },
}

struct Router {
    name: RouterId,
    watch: Watch,
    state: State,
    next_send: Time,
}

/// A fleet, and how the store treats it.
pub(crate) struct Fleet {
    routers: Vec<Router>,
    interval: Span,
    messages: Vec<(Time, usize, Option<Span>)>,
    pub(crate) now: Time,
    /// The store answers no calls.
    pub(crate) down: bool,
    /// Routers that the store rejects.
    pub(crate) rejected: BTreeSet<usize>,
    /// Routers whose calls get no answer.
    pub(crate) silent: BTreeSet<usize>,
    /// Number of calls.
    pub(crate) calls: usize,
    /// Time of the last answered call.
    pub(crate) answered: Time,
    rng: fastrand::Rng,
}

impl Fleet {
    pub(crate) fn new(n: usize, interval: Span, seed: u64) -> Fleet {
        let routers = (0..n).map(|i| Router {
            name: format!("r{i:03}").parse().unwrap(),
            watch: Watch::default(),
            state: State::Checking { at: Time(0) },
            next_send: Time(0) + interval * (i as f64 / n as f64),
        });
        Fleet {
            routers: routers.collect(),
            interval,
            messages: Vec::new(),
            now: Time(0),
            down: false,
            rejected: BTreeSet::new(),
            silent: BTreeSet::new(),
            calls: 0,
            answered: Time(0),
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Returns the routers that are waiting for a change.
    pub(crate) fn watching(&self) -> Vec<usize> {
        let is_waiting = |r: &Router| matches!(r.state, State::Waiting { .. });
        let all = self.routers.iter().enumerate();
        all.filter(|(_, r)| is_waiting(r)).map(|(i, _)| i).collect()
    }

    /// Runs for a while. Returns the longest time in which the store answered no router.
    pub(crate) fn run(&mut self, span: Span) -> Span {
        let end = self.now + span;
        let mut longest = Span::ZERO;
        while self.now < end {
            self.now += STEP;
            self.send_ages();
            for i in 0..self.routers.len() {
                self.step(i);
            }
            longest = longest.max(self.now.since(self.answered));
        }
        longest
    }

    fn send_ages(&mut self) {
        let now = self.now;
        for (i, r) in self.routers.iter_mut().enumerate() {
            if now >= r.next_send {
                r.next_send = now + self.interval;
                self.messages.push((now + LATENCY, i, r.watch.age(now)));
            }
        }
        let (due, rest) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|(at, ..)| now >= *at);
        self.messages = rest;
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
        match self.routers[i].state {
            State::Checking { at } if now >= at => {
                let due = self.routers[i].watch.is_due(self.rng.f64(), n, now);
                match due {
                    true => self.call(i),
                    false => {
                        self.routers[i].state = State::Checking {
                            at: now + Watch::POLL_INTERVAL,
                        }
                    }
                }
            }
            State::Waiting { until } if now >= until => self.call(i),
            State::Hanging { until } if now >= until => self.fail(i),
            State::BackingOff { until } if now >= until => {
                self.routers[i].state = State::Checking { at: now };
            }
            _ => {}
        }
    }

    /// Makes the next call of a router.
    fn call(&mut self, i: usize) {
        let now = self.now;
        self.calls += 1;
        if self.silent.contains(&i) {
            let until = now + Watch::LONG_POLL_TIMEOUT + CALL_TIMEOUT;
            self.routers[i].state = State::Hanging { until };
            return;
        }
        if self.down || self.rejected.contains(&i) {
            self.fail(i);
            return;
        }
        let router = &mut self.routers[i];
        self.answered = now;
        router.watch.confirmed(now);
        router.state = match router.watch.yields(&router.name, now) {
            true => {
                router.watch.ended();
                State::Checking { at: now }
            }
            false => State::Waiting {
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
        self.routers[i].state = State::BackingOff { until };
    }
}
