//! A fleet of routers before replicas that crash under one part of a prompt, in virtual time.

use policy::{
    placement::ReplicaKey,
    quarantine::{
        Quarantine,
        QuarantineUpdate,
        Suspect, //
    },
    Span,
    Time, //
};

const STEP: Span = Span::millis(5);
/// Interval between two messages of a router that has seen nothing.
const MESSAGE_INTERVAL: Span = Span::millis(500);
/// Fraction of the messages that are lost.
const LOSS_RATE: f64 = 0.02;
/// Number of replicas. Each of them restarts after it ended.
const REPLICAS: usize = 9;
/// Replicas that a part's requests prefer, as they have it cached.
const HOMES: usize = 2;
const RESTART_DELAY: Span = Span::secs(4);
/// Requests that a replica takes.
const SLOTS: usize = 48;
/// Replicas that a request may use per attempt of its caller.
const ATTEMPTS_MAX: u32 = 2;
/// First and second parts of sound requests. A few are in most requests, many in one at a time.
const FIRST_PARTS: u64 = 5;
const SECOND_PARTS: u64 = 400;
/// The part that crashes replicas, whose other parts sound requests have too.
const DEADLY_PART: u64 = 77_777;
/// Ends of replicas from which on requests with the part may no longer be sent, after this time.
const ENDS_ALLOWED: usize = 5;
const LATE_AFTER: Span = Span::secs(3);

/// The events of a run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Plan {
    pub(crate) span: Span,
    /// Arrivals of sound requests per second.
    pub(crate) sound_rate: f64,
    /// When requests with the deadly part begin to arrive, and how many do per second.
    pub(crate) deadly_from: Span,
    pub(crate) deadly_rate: f64,
    /// Replicas per second that crash by themselves.
    pub(crate) crash_rate: f64,
    /// When a rack with a third of the replicas fails.
    pub(crate) rack_at: Option<Span>,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            span: Span::secs(40),
            sound_rate: 120.0,
            deadly_from: Span::secs(10),
            deadly_rate: 6.0,
            crash_rate: 0.0,
            rack_at: None,
        }
    }
}

/// First attempts of sound requests in one second, and those of them that were sent to a replica.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Second {
    pub(crate) asked: usize,
    pub(crate) begun: usize,
}

/// The result of a run.
#[derive(Debug, Clone, Default)]
pub(crate) struct Outcome {
    /// Replicas that ended because of the part, and at which time the fifth did.
    pub(crate) deadly_ends: usize,
    pub(crate) fifth_end: Option<Time>,
    /// Sends of requests with the part that came too late.
    pub(crate) late: usize,
    /// Sound requests with the first part of the deadly ones, second by second.
    pub(crate) beside: Vec<Second>,
    /// Sound requests, and those of them that were rejected for what is held.
    pub(crate) sound: usize,
    pub(crate) rejected: usize,
}

impl Outcome {
    /// Returns the share of first attempts that began in these seconds.
    pub(crate) fn begun_share(&self, seconds: std::ops::Range<usize>) -> f64 {
        let seconds = &self.beside[seconds.start..seconds.end.min(self.beside.len())];
        let asked: usize = seconds.iter().map(|s| s.asked).sum();
        let begun: usize = seconds.iter().map(|s| s.begun).sum();
        begun as f64 / asked.max(1) as f64
    }
}

/// A request at a replica.
#[derive(Debug, Clone)]
struct Run {
    suspects: Vec<Suspect>,
    home: u64,
    deadly: bool,
    router: usize,
    attempts: u32,
    /// When it was sent to the replica.
    began: Time,
    /// When it is answered, or ends the replica.
    ends: Time,
}

#[derive(Debug)]
struct Replica {
    key: ReplicaKey,
    /// Since when it is up, which is in the future while it is down.
    up: Time,
    runs: Vec<Run>,
}

#[derive(Debug)]
struct Message {
    to: usize,
    at: Time,
    update: std::rc::Rc<QuarantineUpdate>,
}

/// Routers, replicas and messages in transit.
pub(crate) struct Fleet {
    routers: Vec<Quarantine>,
    next_send: Vec<Time>,
    replicas: Vec<Replica>,
    messages: Vec<Message>,
    now: Time,
    started: u32,
    next_request: u64,
    outcome: Outcome,
    rng: fastrand::Rng,
}

fn part(id: u64) -> Suspect {
    Suspect::prompt_part(&"drafting".parse().unwrap(), id)
}

impl Fleet {
    pub(crate) fn new(routers: usize, seed: u64) -> Fleet {
        let mut rng = fastrand::Rng::with_seed(seed);
        let next_send = (0..routers).map(|_| Time(rng.u64(..MESSAGE_INTERVAL.0)));
        let next_send = next_send.collect();
        let replicas = (0..REPLICAS).map(|n| Replica {
            key: ReplicaKey(n as u32),
            up: Time(0),
            runs: Vec::new(),
        });
        Fleet {
            routers: (0..routers).map(|_| Quarantine::default()).collect(),
            next_send,
            replicas: replicas.collect(),
            messages: Vec::new(),
            now: Time(0),
            started: REPLICAS as u32,
            next_request: 0,
            outcome: Outcome::default(),
            rng,
        }
    }

    /// Runs a plan and returns the result.
    pub(crate) fn run(mut self, plan: &Plan) -> Outcome {
        let seconds = plan.span.as_secs() as usize;
        self.outcome.beside = vec![Second::default(); seconds + 1];
        while self.now < Time(0) + plan.span {
            self.now += STEP;
            self.deliver();
            self.ask(plan);
            self.finish_runs();
            self.crash_by_chance(plan);
            self.send_updates();
        }
        self.outcome
    }

    fn arrives(&mut self, rate: f64) -> bool {
        self.rng.f64() < rate * STEP.as_secs()
    }

    /// Returns a number below `count`, small ones more often.
    fn skewed(&mut self, count: u64) -> u64 {
        let x = self.rng.f64();
        (x * x * x * count as f64) as u64
    }

    fn ask(&mut self, plan: &Plan) {
        if self.arrives(plan.sound_rate) {
            let (first, second) = (self.skewed(FIRST_PARTS), self.skewed(SECOND_PARTS));
            self.attempt(first, 1_000 + second, false);
        }
        if self.now >= Time(0) + plan.deadly_from && self.arrives(plan.deadly_rate) {
            self.attempt(0, DEADLY_PART, true);
        }
    }

    fn attempt(&mut self, first: u64, second: u64, deadly: bool) {
        self.next_request += 1;
        let router = self.rng.usize(..self.routers.len());
        let run = Run {
            suspects: vec![Suspect(self.next_request), part(first), part(second)],
            home: second,
            deadly,
            router,
            attempts: 1,
            began: Time(0),
            ends: Time(0),
        };
        let begun = self.send(run);
        if deadly {
            return;
        }
        self.outcome.sound += 1;
        if first == 0 {
            let second = self.now.since(Time(0)).as_secs() as usize;
            let second = &mut self.outcome.beside[second];
            second.asked += 1;
            second.begun += usize::from(begun);
        }
    }

    /// Sends a request to a replica, unless the router holds it. Returns whether it was sent.
    fn send(&mut self, mut run: Run) -> bool {
        let hold = self.routers[run.router].find_hold(&run.suspects, self.now);
        if hold.is_some() {
            self.outcome.rejected += usize::from(!run.deadly);
            return false;
        }
        let Some(n) = self.choose(run.home) else {
            return false;
        };
        let read = Span::millis(self.rng.u64(20..300));
        let write = match run.deadly {
            true => Span::millis(self.rng.u64(50..130)),
            false => Span::millis(self.rng.u64(200..1_200)),
        };
        run.began = self.now;
        run.ends = self.now + read + write;
        if run.deadly {
            let late = |fifth: Time| self.now >= fifth + LATE_AFTER;
            self.outcome.late += usize::from(self.outcome.fifth_end.is_some_and(late));
        }
        self.replicas[n].runs.push(run);
        true
    }

    /// Returns the first replica with room: those with the part cached come first.
    fn choose(&mut self, home: u64) -> Option<usize> {
        let first = home as usize % REPLICAS;
        let homes = (0..HOMES).map(|n| (first + n * 4) % REPLICAS);
        let mut others: Vec<usize> = (0..REPLICAS).collect();
        self.rng.shuffle(&mut others);
        let now = self.now;
        let has_room = |n: &usize| {
            let replica = &self.replicas[*n];
            replica.up <= now && replica.runs.len() < SLOTS
        };
        homes.chain(others).find(has_room)
    }

    /// Ends the requests that are answered, and the replicas that crash under one.
    fn finish_runs(&mut self) {
        let now = self.now;
        for n in 0..REPLICAS {
            let runs = std::mem::take(&mut self.replicas[n].runs);
            let (done, rest) = runs.into_iter().partition::<Vec<Run>, _>(|r| r.ends <= now);
            self.replicas[n].runs = rest;
            let crashes = done.iter().any(|r| r.deadly);
            for run in done {
                match run.deadly {
                    true => self.replicas[n].runs.push(run),
                    false => self.record_answer(&run),
                }
            }
            if crashes {
                self.outcome.deadly_ends += 1;
                if self.outcome.deadly_ends == ENDS_ALLOWED {
                    self.outcome.fifth_end = Some(now);
                }
                self.end(n);
            }
        }
    }

    fn record_answer(&mut self, run: &Run) {
        for suspect in &run.suspects {
            self.routers[run.router].answered(*suspect, self.now);
        }
    }

    fn crash_by_chance(&mut self, plan: &Plan) {
        let rack = plan.rack_at.is_some_and(|at| self.now == Time(0) + at);
        for n in (0..REPLICAS / 3).filter(|_| rack) {
            self.end(n);
        }
        if self.arrives(plan.crash_rate) {
            let n = self.rng.usize(..REPLICAS);
            self.end(n);
        }
    }

    fn end(&mut self, n: usize) {
        if self.replicas[n].up > self.now {
            return;
        }
        self.started += 1;
        let back = Replica {
            key: ReplicaKey(self.started),
            up: self.now + RESTART_DELAY,
            runs: Vec::new(),
        };
        let ended = std::mem::replace(&mut self.replicas[n], back);
        for run in &ended.runs {
            for suspect in &run.suspects {
                self.routers[run.router].ended(*suspect, ended.key, run.began, self.now);
            }
            // A router that saw an end reports it at once.
            self.next_send[run.router] = self.now;
        }
        for mut run in ended.runs {
            run.attempts += 1;
            if run.attempts <= ATTEMPTS_MAX {
                self.send(run);
            }
        }
    }

    fn send_updates(&mut self) {
        for from in 0..self.routers.len() {
            if self.now < self.next_send[from] {
                continue;
            }
            self.next_send[from] = self.now + MESSAGE_INTERVAL;
            let update = self.routers[from].full_update(self.now);
            if update == QuarantineUpdate::default() {
                continue;
            }
            let update = std::rc::Rc::new(update);
            for to in (0..self.routers.len()).filter(|to| *to != from) {
                if self.rng.f64() >= LOSS_RATE {
                    let at = self.now + Span::millis(self.rng.u64(1..8));
                    let update = update.clone();
                    self.messages.push(Message { to, at, update });
                }
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let messages = std::mem::take(&mut self.messages).into_iter();
        let (due, rest) = messages.partition::<Vec<Message>, _>(|m| m.at <= now);
        self.messages = rest;
        for message in due {
            self.routers[message.to].apply_update(&message.update, now);
        }
    }
}
