//! What a router knows of the speed of one engine.

use {
    super::{
        super::speed::{
            OVERHEAD_MS,
            SPEED_RANGE, //
        },
        Reading, //
    },
    crate::{
        Span,
        Time, //
    },
};

/// Samples with fewer unread tokens depend on the network and on generation more than on reading.
const SAMPLE_MIN_TOKENS: u64 = 1_000;
/// Lowest weight of a sample in the running mean.
const SMOOTHING: f64 = 0.05;
/// How long reports of peers count, and the time constant with which own samples become less
/// recent. A router gets a sample of an engine every few seconds.
const RECENT: Span = Span::secs(10);
/// A peer's report weighs at most as much as this many own samples.
const PEER_MAX_WEIGHT: f64 = 10.0;
/// Own samples weigh at most as much as the running mean covers.
const OWN_MAX_WEIGHT: f64 = 1.0 / SMOOTHING;
/// A router's own samples are dropped once they weigh less than this.
const OWN_MIN_WEIGHT: f64 = 0.05;
/// An engine counts as slowed down if a first event takes this many times as long as expected. The
/// time also varies with prompts that arrive later and are read in turns with this one.
const LATE_FACTOR: f64 = 1.5;
/// Time in which the effect of a slowdown fades after the last late prompt was read.
const FADE: Span = Span::millis(400);

/// What a router knows of the speed of one engine.
#[derive(Debug, Default)]
pub(super) struct EngineSpeed {
    own: OwnSpeed,
    peers: Vec<PeerSpeed>,
    /// Prompts of this router that are not read yet, the oldest first.
    readings: Vec<Reading>,
    slowdown: Option<Slowdown>,
    /// The speed according to all samples and reports, apart from slowdowns.
    pub(super) combined: Option<f64>,
}

/// The running mean of this router's samples.
#[derive(Debug, Default)]
struct OwnSpeed {
    mean: f64,
    samples: u32,
    /// Number of recent samples as of the last one.
    recent: f64,
    last_at: Time,
    /// Number of samples since the last report.
    unreported: u32,
}

/// The last report of a peer.
#[derive(Debug)]
struct PeerSpeed {
    from: u32,
    speed: f64,
    weight: f64,
    at: Time,
}

/// A speed that was lower than usual, and when it was measured.
#[derive(Debug, Clone, Copy)]
struct Slowdown {
    speed: f64,
    at: Time,
}

impl Reading {
    /// Returns the speed at which everything unread would just have been read by now; none before
    /// the overhead has passed.
    fn speed(&self, now: Time) -> Option<f64> {
        let ms = now.since(self.sent_at).as_secs() * 1e3 - OVERHEAD_MS;
        (ms > 0.0).then(|| clamp(self.unread as f64 / ms))
    }

    /// Returns whether about everything unread was read between sending and the first event.
    ///
    /// An engine that reads several prompts in turns reads as much of each other prompt as of this
    /// one in the meantime. Unless the others are shorter in total, some of their tokens may be
    /// left, and the speed would come out too high. Prompts that were partly read before also count
    /// in full, which matters less the shorter they are.
    fn is_complete(&self) -> bool {
        self.own.saturating_mul(2) >= self.unread
    }
}

impl OwnSpeed {
    fn record(&mut self, sample: f64, now: Time) {
        self.recent = self.recent(now) + 1.0;
        self.samples = self.samples.saturating_add(1);
        self.unreported = self.unreported.saturating_add(1);
        self.last_at = now;
        self.mean += (sample - self.mean) * (1.0 / f64::from(self.samples)).max(SMOOTHING);
    }

    fn recent(&self, now: Time) -> f64 {
        self.recent * (-(now.since(self.last_at).as_secs() / RECENT.as_secs())).exp()
    }
}

impl EngineSpeed {
    pub(super) fn start(&mut self, reading: Reading) {
        if reading.unread >= SAMPLE_MIN_TOKENS {
            self.readings.push(reading);
        }
    }

    /// Removes a prompt. Returns whether it was known.
    pub(super) fn discard(&mut self, reading: Reading) -> bool {
        let at = self.readings.iter().position(|r| *r == reading);
        at.map(|at| self.readings.remove(at)).is_some()
    }

    /// Removes a prompt, and records a slowdown if it was late.
    pub(super) fn end(&mut self, reading: Reading, base: f64, now: Time) {
        let expected = self.with_later(reading);
        if !self.discard(reading) {
            return;
        }
        let usual = self.faded(base, now);
        let late = late_speed(&expected, base, now).filter(|speed| *speed <= usual);
        if let Some(speed) = late {
            self.slowdown = Some(Slowdown { speed, at: now });
        }
    }

    /// Records the time to the first event. Returns whether it is a sample.
    pub(super) fn record(&mut self, reading: Reading, now: Time) -> bool {
        if reading.unread < SAMPLE_MIN_TOKENS || !reading.is_complete() {
            return false;
        }
        self.own
            .record(reading.speed(now).unwrap_or(SPEED_RANGE.1), now);
        true
    }

    /// Returns the speed, given the speed apart from slowdowns.
    pub(super) fn current(&self, base: f64, now: Time) -> f64 {
        let oldest = self.readings.first();
        let late = oldest.and_then(|r| late_speed(&self.with_later(*r), base, now));
        self.faded(base, now).min(late.unwrap_or(base))
    }

    /// Adds what this router sent after a prompt: an engine that reads prompts in turns reads as much
    /// of each of these as of the first one.
    fn with_later(&self, reading: Reading) -> Reading {
        let later = self.readings.iter().filter(|r| r.sent_at > reading.sent_at);
        let tokens: u64 = later.map(|r| r.own.min(reading.own)).sum();
        Reading {
            unread: reading.unread + tokens,
            ..reading
        }
    }

    /// Returns the speed according to prompts that were read.
    fn faded(&self, base: f64, now: Time) -> f64 {
        let Some(slowdown) = self.slowdown else {
            return base;
        };
        let age = now.since(slowdown.at).as_secs() / FADE.as_secs();
        base.min(slowdown.speed + (base - slowdown.speed) * age.min(1.0))
    }

    pub(super) fn unreported(&self) -> u32 {
        self.own.unreported
    }

    /// Returns the speed and the number of recent samples to report, if there are new ones.
    pub(super) fn take_report(&mut self, now: Time) -> Option<(f64, u8)> {
        let unreported = std::mem::take(&mut self.own.unreported);
        let samples = self.own.recent(now).round().clamp(1.0, PEER_MAX_WEIGHT);
        (unreported > 0).then_some((self.own.mean, samples as u8))
    }

    pub(super) fn apply_peer(&mut self, from: u32, speed: f64, samples: u8, now: Time) {
        self.peers.retain(|p| p.from != from);
        self.peers.push(PeerSpeed {
            from,
            speed: clamp(speed),
            weight: f64::from(samples).min(PEER_MAX_WEIGHT),
            at: now,
        });
    }

    /// Drops the reports that have expired.
    pub(super) fn forget(&mut self, now: Time) {
        self.peers.retain(|p| now.since(p.at) < RECENT);
        self.slowdown.take_if(|s| now.since(s.at) >= FADE);
        // Without samples for long, an engine that was slow once would stay so.
        if self.own.recent(now) < OWN_MIN_WEIGHT {
            self.own = OwnSpeed::default();
        }
    }

    /// Returns whether nothing is known.
    pub(super) fn is_empty(&self) -> bool {
        self.own.samples == 0
            && self.peers.is_empty()
            && self.readings.is_empty()
            && self.slowdown.is_none()
    }

    /// Updates the combined speed: the median of this router's mean and those of its peers, weighted
    /// by the number of samples. A few wrong reports shift a median less than a mean.
    pub(super) fn combine(&mut self, now: Time) {
        let valid = self.peers.iter().filter(|p| now.since(p.at) < RECENT);
        let mut speeds: Vec<(f64, f64)> = valid.map(|p| (p.speed, p.weight)).collect();
        if self.own.samples > 0 {
            let weight = self.own.recent(now).min(OWN_MAX_WEIGHT);
            speeds.push((self.own.mean, weight));
        }
        self.combined = weighted_median(speeds);
    }
}

/// Returns the speed of a prompt that took, or takes, much longer than expected.
fn late_speed(reading: &Reading, base: f64, now: Time) -> Option<f64> {
    let speed = reading.speed(now);
    speed.filter(|speed| *speed < base / LATE_FACTOR)
}

fn clamp(speed: f64) -> f64 {
    speed.clamp(SPEED_RANGE.0, SPEED_RANGE.1)
}

/// Returns the weighted median of pairs of a value and its weight. If two values share the middle,
/// it is their mean.
fn weighted_median(mut values: Vec<(f64, f64)>) -> Option<f64> {
    values.sort_by(|a, b| a.0.total_cmp(&b.0));
    let half = values.iter().map(|(_, weight)| weight).sum::<f64>() / 2.0;
    let mut below = 0.0;
    let mut rest = values.iter().copied().peekable();
    while let Some((value, weight)) = rest.next() {
        below += weight;
        if below > half || rest.peek().is_none() {
            return Some(value);
        }
        if below == half {
            return rest.peek().map(|(next, _)| (value + next) / 2.0);
        }
    }
    None
}
