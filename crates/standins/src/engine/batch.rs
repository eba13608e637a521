//! The engine's running requests, and totals over time.

use {
    serde::{
        Deserialize,
        Serialize, //
    },
    std::{
        collections::BTreeMap,
        time::{
            Duration,
            Instant, //
        },
    },
};

/// The load that the engine reports with a delay.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Load {
    /// Requests that produce tokens.
    pub running: u32,
    /// Requests that wait for their first token.
    pub waiting: u32,
    /// Whether the engine rejects new requests.
    pub leaving: bool,
    /// Requests that run at full speed together.
    pub capacity: u32,
}

/// The engine's utilization.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Busy {
    /// Integral of the running requests, at most the capacity, in slot-seconds.
    pub busy: f64,
    /// Integral of all running requests, in slot-seconds.
    pub admitted: f64,
    /// Seconds since the start.
    pub elapsed: f64,
    /// Requests that run at full speed together.
    pub capacity: u32,
    /// Largest number of requests that ran at once.
    pub peak: u32,
    /// Tokens produced.
    pub tokens: u64,
}

/// The running requests and the totals.
#[derive(Debug)]
pub(crate) struct Batch {
    pub(crate) capacity: u32,
    pub(crate) slow: f64,
    pub(crate) leaving: bool,
    pub(crate) runs: BTreeMap<String, u32>,
    running: u32,
    waiting: u32,
    sums: Busy,
    start: Instant,
    changed: Instant,
    reported: Load,
    read: Instant,
}

impl Batch {
    pub(crate) fn new(capacity: u32) -> Batch {
        let now = Instant::now();
        Batch {
            capacity,
            slow: 1.0,
            leaving: false,
            runs: BTreeMap::new(),
            running: 0,
            waiting: 0,
            sums: Busy::default(),
            start: now,
            changed: now,
            reported: Load::default(),
            read: now - Duration::from_secs(3600),
        }
    }

    /// Returns the factor by which everything is slower than for a single request.
    pub(crate) fn stretch(&self) -> f64 {
        let over = f64::from(self.running) / f64::from(self.capacity.max(1));
        self.slow * over.max(1.0)
    }

    /// Records a request.
    pub(crate) fn enter(&mut self, id: &str) {
        self.settle();
        self.running += 1;
        self.waiting += 1;
        self.sums.peak = self.sums.peak.max(self.running);
        *self.runs.entry(id.to_owned()).or_default() += 1;
    }

    /// Records a token.
    pub(crate) fn token(&mut self, first: bool) {
        self.sums.tokens += 1;
        if first {
            self.waiting -= 1;
        }
    }

    /// Records the end of a request, with or without a token.
    pub(crate) fn exit(&mut self, began: bool) {
        self.settle();
        self.running -= 1;
        if !began {
            self.waiting -= 1;
        }
    }

    /// Returns the totals up to now.
    pub(crate) fn busy(&mut self) -> Busy {
        self.settle();
        Busy {
            capacity: self.capacity,
            elapsed: self.start.elapsed().as_secs_f64(),
            ..self.sums
        }
    }

    /// Returns the load as it was up to `lag` ago.
    pub(crate) fn load(&mut self, lag: Duration) -> Load {
        if self.read.elapsed() >= lag {
            self.read = Instant::now();
            self.reported = Load {
                running: self.running - self.waiting,
                waiting: self.waiting,
                leaving: self.leaving,
                capacity: self.capacity,
            };
        }
        self.reported
    }

    fn settle(&mut self) {
        let span = self.changed.elapsed().as_secs_f64();
        self.changed = Instant::now();
        self.sums.busy += span * f64::from(self.running.min(self.capacity));
        self.sums.admitted += span * f64::from(self.running);
    }
}
