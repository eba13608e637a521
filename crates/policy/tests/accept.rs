//! New connections at an instance that has little processor time, in virtual time.

use {
    policy::{
        accept::{
            Shedding,
            DELAY_INTERVAL, //
        },
        Span,
        Time, //
    },
    std::collections::VecDeque, //
};

/// Requests that the instance can read per second.
const READ_RATE: u64 = 150;
/// Time to accept a connection or to close it.
const ACCEPT: Span = Span(100);
/// Connections that the operating system holds for the instance.
const ACCEPT_QUEUE: usize = 128;
/// A third of the second after which callers give up.
const PATIENCE: Span = Span::millis(333);
/// Time within which the request of a kept connection is to be read.
const READ_TARGET: Span = Span::millis(200);

#[derive(Debug, Clone, Copy)]
enum Task {
    Accept,
    Measure { due: Time },
    Read { arrived: Time },
    Pause(Span),
}

/// What became of connections.
#[derive(Debug, Default)]
struct Outcome {
    /// How long those that were read had waited.
    read: Vec<Span>,
    /// How long those that were closed unread had waited.
    closed: Vec<Span>,
    /// Connections that found the accept queue full.
    refused: usize,
    /// Passes that found connections and kept none.
    passes_without_any: usize,
    last_active: Time,
}

/// One thread that runs its tasks in order.
struct Instance {
    shedding: Option<Shedding>,
    /// Time to read a request.
    read: Span,
    now: Time,
    tasks: VecDeque<Task>,
    queue: VecDeque<Time>,
    accepting: bool,
    measure_at: Option<Time>,
    reads: usize,
    outcome: Outcome,
}

impl Instance {
    fn new(read_rate: u64, shedding: Option<Shedding>) -> Instance {
        Instance {
            shedding,
            read: Span(1_000_000 / read_rate),
            now: Time(0),
            tasks: VecDeque::new(),
            queue: VecDeque::new(),
            accepting: false,
            measure_at: Some(Time(0) + DELAY_INTERVAL),
            reads: 0,
            outcome: Outcome::default(),
        }
    }

    /// Runs until three seconds after the last arrival.
    fn run(mut self, arrivals: &[Time], mut pause: Option<(Time, Span)>) -> Outcome {
        let mut arrivals = arrivals.iter().copied().peekable();
        let end = arrivals.clone().last().unwrap() + Span::secs(3);
        while self.now < end {
            while let Some(at) = arrivals.next_if(|at| *at <= self.now) {
                self.arrive(at);
            }
            if let Some((_, span)) = pause.take_if(|(at, _)| *at <= self.now) {
                self.tasks.push_back(Task::Pause(span));
            }
            self.step();
        }
        self.outcome
    }

    fn arrive(&mut self, at: Time) {
        if self.queue.len() >= ACCEPT_QUEUE {
            self.outcome.refused += 1;
            return;
        }
        self.queue.push_back(at);
        if !std::mem::replace(&mut self.accepting, true) {
            self.tasks.push_back(Task::Accept);
        }
    }

    fn step(&mut self) {
        if let Some(due) = self.measure_at.take_if(|at| *at <= self.now) {
            self.tasks.push_back(Task::Measure { due });
        }
        match self.tasks.pop_front() {
            None => self.now += Span(100),
            Some(Task::Accept) => self.accept(),
            Some(Task::Measure { due }) => self.measure(due),
            Some(Task::Read { arrived }) => {
                self.now += self.read;
                self.reads += 1;
                self.outcome.read.push(self.now.since(arrived));
            }
            Some(Task::Pause(span)) => self.now += span,
        }
    }

    fn measure(&mut self, due: Time) {
        let read = std::mem::take(&mut self.reads);
        if let Some(shedding) = &mut self.shedding {
            shedding.record_delay(self.now.since(due), read, self.now);
            if shedding.is_active() {
                self.outcome.last_active = self.now;
            }
        }
        self.measure_at = Some(self.now + DELAY_INTERVAL);
    }

    fn accept(&mut self) {
        self.accepting = false;
        let found = self.queue.len();
        let kept = match &mut self.shedding {
            Some(shedding) => shedding.keep(found, self.now),
            None => found,
        };
        self.outcome.passes_without_any += usize::from(kept == 0);
        for (n, arrived) in std::mem::take(&mut self.queue).into_iter().enumerate() {
            self.now += ACCEPT;
            match n < found - kept {
                true => self.outcome.closed.push(self.now.since(arrived)),
                false => self.tasks.push_back(Task::Read { arrived }),
            }
        }
    }
}

/// Arrivals at `rate` a second, between two times in milliseconds.
fn arrivals(rate: u64, from: u64, to: u64) -> impl Iterator<Item = Time> {
    let count = rate * (to - from) / 1_000;
    (0..count).map(move |n| Time(from * 1_000 + n * 1_000_000 / rate))
}

/// For `calm` milliseconds two fifths of the connections that are read per second, then 2.7 times as
/// many for two seconds, then two fifths again.
fn surge(read_rate: u64, calm: u64) -> Vec<Time> {
    let (few, many) = (read_rate * 2 / 5, read_rate * 8 / 3);
    let end = calm + 2_000;
    let before = arrivals(few, 0, calm).chain(arrivals(many, calm, end));
    before.chain(arrivals(few, end, end + 3_000)).collect()
}

fn longest(waits: &[Span]) -> Span {
    waits.iter().max().copied().unwrap_or_default()
}

/// Guards against a surge whose connections fill the accept queue, so that callers wait for a second
/// and requests are read late. Also against shedding that lasts longer than the surge.
#[test]
fn shedding_surge() {
    for calm in (1_000..1_100).step_by(7) {
        let before = Instance::new(READ_RATE, None).run(&surge(READ_RATE, calm), None);
        assert!(before.refused > 0, "the accept queue alone copes");
        let shedding = Some(Shedding::default());
        let got = Instance::new(READ_RATE, shedding).run(&surge(READ_RATE, calm), None);
        assert_eq!((got.refused, got.passes_without_any), (0, 0));
        assert!(longest(&got.read).max(longest(&got.closed)) <= READ_TARGET);
        assert!(got.last_active < Time(0) + Span::millis(calm + 3_000));
        // Four fifths of what can be read in the surge, and all before and after it.
        assert!(got.read.len() >= READ_RATE as usize * 32 / 10);
    }
}

/// Guards against an assumed rate that is kept although the instance reads faster or more slowly.
#[test]
fn shedding_measures_rate() {
    for read_rate in [75, 100, 250, 300] {
        let shedding = Some(Shedding::default());
        let got = Instance::new(read_rate, shedding).run(&surge(read_rate, 1_000), None);
        let late = got.read.iter().filter(|w| **w > READ_TARGET).count();
        assert_eq!((got.refused, got.passes_without_any), (0, 0));
        assert!(late * 20 <= got.read.len(), "{read_rate}: {late}");
        assert!(longest(&got.read).max(longest(&got.closed)) <= PATIENCE);
        assert!(got.read.len() >= read_rate as usize * 32 / 10);
    }
}

/// Guards against closing connections that can all be read, after a pause of all tasks.
#[test]
fn shedding_short_peak() {
    let calm: Vec<Time> = arrivals(60, 0, 3_000).collect();
    for millis in [100, 200, 300] {
        let pause = Some((Time(0) + Span::secs(1), Span::millis(millis)));
        let got = Instance::new(READ_RATE, Some(Shedding::default())).run(&calm, pause);
        assert_eq!((got.read.len(), got.closed.len()), (calm.len(), 0));
    }
}

/// Guards against shedding at an instance whose tasks run in time, however many connections a pass
/// finds, and against closing all of them at one that reads hardly any.
#[test]
fn keep_by_lateness() {
    let mut shedding = Shedding::default();
    let mut now = Time(0);
    for _ in 0..100 {
        now += DELAY_INTERVAL;
        shedding.record_delay(Span::millis(60), 0, now);
        assert_eq!(shedding.keep(ACCEPT_QUEUE, now), ACCEPT_QUEUE);
    }
    for _ in 0..100 {
        now += Span::millis(500);
        shedding.record_delay(Span::millis(475), 0, now);
        assert!((1..ACCEPT_QUEUE).contains(&shedding.keep(ACCEPT_QUEUE, now)));
        assert_eq!((shedding.keep(1, now), shedding.keep(0, now)), (1, 0));
    }
    assert_eq!(shedding.keep(ACCEPT_QUEUE, now), 1);
}
