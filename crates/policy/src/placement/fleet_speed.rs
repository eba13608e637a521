//! How fast engines read prompts, as all routers of the fleet measure it.

mod engine;

use {
    self::engine::EngineSpeed,
    super::{
        speed::DEFAULT_SPEED,
        ReplicaKey,
        ReplicaMap, //
    },
    crate::Time,
    serde::{
        Deserialize,
        Serialize, //
    },
    std::cmp::Reverse,
};

/// Speeds are reported in units of this many tokens per millisecond.
const SPEED_UNIT: f64 = 0.1;

/// A prompt that an engine reads for this router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reading {
    /// When the request was sent.
    pub sent_at: Time,
    /// Tokens that the engine had to read before the first event, including those of other prompts.
    pub unread: u64,
    /// Tokens among these that belong to this prompt.
    pub own: u64,
}

/// The speed of an engine, as one router reports it to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedReport {
    /// The engine.
    pub replica: ReplicaKey,
    /// Its speed in tenths of a token per millisecond.
    pub speed: u16,
    /// Number of recent samples.
    pub samples: u8,
}

/// The speeds of all known engines, in tokens per millisecond.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpeedRange {
    /// The speed of the slowest engine.
    pub lowest: f64,
    /// The mean speed.
    pub mean: f64,
    /// The speed of the fastest engine.
    pub highest: f64,
}

/// The reading speed of each engine, from this router's samples and the reports of its peers.
///
/// # Examples
///
/// ```
/// use policy::{placement::{FleetSpeeds, Reading, ReplicaKey}, Span, Time};
///
/// let mut speeds = FleetSpeeds::default();
/// let sent_at = Time(0);
/// let reading = Reading { sent_at, unread: 3_000, own: 3_000 };
/// speeds.start(ReplicaKey(1), reading);
/// let first_event_at = sent_at + Span::millis(125);
/// speeds.record(ReplicaKey(1), reading, first_event_at);
/// assert_eq!(speeds.of(ReplicaKey(1), first_event_at), 30.0);
/// ```
#[derive(Debug, Default)]
pub struct FleetSpeeds {
    engines: ReplicaMap<EngineSpeed>,
    /// The mean of the known engines.
    mean: Option<f64>,
}

impl FleetSpeeds {
    /// Records that a prompt is sent to an engine.
    pub fn start(&mut self, replica: ReplicaKey, reading: Reading) {
        self.engines.entry(replica).or_default().start(reading);
    }

    /// Records that the first event arrived: the prompt was read.
    pub fn record(&mut self, replica: ReplicaKey, reading: Reading, now: Time) {
        self.end(replica, reading, now);
        let engine = self.engines.entry(replica).or_default();
        if engine.record(reading, now) {
            engine.combine(now);
            self.update_mean();
        }
    }

    /// Records that a request ended, perhaps before its first event. Has no effect on a prompt that
    /// was recorded as read.
    pub fn end(&mut self, replica: ReplicaKey, reading: Reading, now: Time) {
        let base = self.steady(replica);
        if let Some(engine) = self.engines.get_mut(&replica) {
            engine.end(reading, base, now);
        }
    }

    /// Returns the speed of an engine in tokens per millisecond.
    pub fn of(&self, replica: ReplicaKey, now: Time) -> f64 {
        let base = self.steady(replica);
        let engine = self.engines.get(&replica);
        engine.map_or(base, |e| e.current(base, now))
    }

    /// Removes a prompt without learning from it.
    pub fn discard(&mut self, replica: ReplicaKey, reading: Reading) {
        if let Some(engine) = self.engines.get_mut(&replica) {
            engine.discard(reading);
        }
    }

    /// Returns the speed of an engine apart from short slowdowns, in tokens per millisecond.
    pub fn steady(&self, replica: ReplicaKey) -> f64 {
        let engine = self.engines.get(&replica);
        let known = engine.and_then(|e| e.combined);
        known.or(self.mean).unwrap_or(DEFAULT_SPEED)
    }

    /// Returns the speeds of at most `limit` engines with samples since they were last reported.
    pub fn take_reports(&mut self, limit: usize, now: Time) -> Vec<SpeedReport> {
        let engines = self.engines.iter_mut();
        let mut due: Vec<_> = engines.filter(|(_, e)| e.unreported() > 0).collect();
        due.sort_by_key(|(key, engine)| (Reverse(engine.unreported()), **key));
        due.truncate(limit);
        let reports = due.into_iter().filter_map(|(key, engine)| {
            let (speed, samples) = engine.take_report(now)?;
            Some(SpeedReport {
                replica: *key,
                speed: (speed / SPEED_UNIT).round() as u16,
                samples,
            })
        });
        reports.collect()
    }

    /// Applies the reports of the peer with the short name `from`. Those without samples are ignored.
    pub fn apply_peer(&mut self, from: u32, reports: &[SpeedReport], now: Time) {
        for report in reports.iter().filter(|r| r.samples > 0) {
            let speed = f64::from(report.speed) * SPEED_UNIT;
            let engine = self.engines.entry(report.replica).or_default();
            engine.apply_peer(from, speed, report.samples, now);
            engine.combine(now);
        }
        self.update_mean();
    }

    /// Drops the reports that have expired.
    pub fn forget(&mut self, now: Time) {
        for engine in self.engines.values_mut() {
            engine.forget(now);
            engine.combine(now);
        }
        self.engines.retain(|_, engine| !engine.is_empty());
        self.update_mean();
    }

    /// Drops an engine that has ended.
    pub fn remove(&mut self, replica: ReplicaKey) {
        if self.engines.remove(&replica).is_some() {
            self.update_mean();
        }
    }

    /// Drops the engines for which `live` is false.
    pub fn retain(&mut self, live: impl Fn(ReplicaKey) -> bool) {
        self.engines.retain(|key, _| live(*key));
        self.update_mean();
    }

    /// Returns the lowest, mean and highest speed; none if no engine is known.
    pub fn range(&self) -> Option<SpeedRange> {
        let known = || self.engines.values().filter_map(|e| e.combined);
        Some(SpeedRange {
            lowest: known().min_by(f64::total_cmp)?,
            mean: self.mean?,
            highest: known().max_by(f64::total_cmp)?,
        })
    }

    fn update_mean(&mut self) {
        let known = self.engines.values().filter_map(|e| e.combined);
        let (count, sum) = known.fold((0, 0.0), |(n, sum), speed| (n + 1, sum + speed));
        self.mean = (count > 0).then(|| sum / f64::from(count));
    }
}
