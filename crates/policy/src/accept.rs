//! Which new connections an instance that is short of processor time keeps.

use crate::{
    Span,
    Time, //
};

/// How often it is measured how late tasks run.
pub const DELAY_INTERVAL: Span = Span::millis(25);
/// Time within which the request of a kept connection is to be read. Callers give up after a second
/// or a third of their time, and some of that has to be left for the answer.
const READ_TARGET: Span = Span::millis(200);
/// Time that reading the connections of a pass may take. A connection waits for the pass that accepts
/// it and then for its task, each for up to this long, so together for `READ_TARGET`.
const PASS_TARGET: Span = Span::millis(100);
/// Lateness from which shedding may begin. Passes that are `PASS_TARGET` apart show at least this
/// much, as a measurement is due up to `DELAY_INTERVAL` after a pass.
const BEGIN_DELAY: Span = Span::millis(75);
/// Lateness up to which shedding ends. It holds passes at `PASS_TARGET`, so a bound as high as
/// `BEGIN_DELAY` would end it while the surge lasts.
const END_DELAY: Span = Span::millis(50);
/// Shedding ends after this time in which no connection was closed while tasks ran late. It also is
/// the time over which the rate is averaged.
const QUIET: Span = Span::millis(250);
/// The assumed rate of first requests until one is measured, as at an instance of 0.09 cores. With a
/// lower one, connections that arrive in a short pause would be closed.
const ASSUMED_RATE: f64 = 150.0;

/// Sheds connections while more arrive than can be read in time.
///
/// Connections are closed if tasks run late and a pass over the accept queue finds more of them
/// than can be read within the target. A pause of all tasks alone closes none, as what arrives
/// meanwhile can be read.
///
/// # Examples
///
/// ```
/// use policy::accept::Shedding;
/// use policy::{Span, Time};
///
/// let mut shedding = Shedding::default();
/// let now = Time(0) + Span::secs(1);
/// assert_eq!(shedding.keep(60, now), 60);
/// shedding.record_delay(Span::millis(150), 0, now);
/// assert_eq!(shedding.keep(20, now), 20);
/// assert_eq!(shedding.keep(60, now), 15);
/// ```
#[derive(Debug)]
pub struct Shedding {
    /// How late tasks ran at the last measurement.
    delay: Span,
    measured_at: Option<Time>,
    /// First requests of connections that can be read per second.
    rate: f64,
    /// Connections were closed since the last measurement.
    limited: bool,
    /// When connections were last closed while tasks ran late.
    shed_at: Option<Time>,
    active: bool,
}

impl Default for Shedding {
    fn default() -> Shedding {
        Shedding {
            delay: Span::ZERO,
            measured_at: None,
            rate: ASSUMED_RATE,
            limited: false,
            shed_at: None,
            active: false,
        }
    }
}

impl Shedding {
    /// Records how much later than due a task ran, and of how many connections the first request
    /// was read since the last measurement.
    pub fn record_delay(&mut self, delay: Span, read: usize, now: Time) {
        if let Some(before) = self.measured_at {
            self.record_rate(read, delay, now.since(before));
        }
        self.delay = delay;
        self.measured_at = Some(now);
        self.active &= self.shed_at.is_some_and(|at| now.since(at) < QUIET);
    }

    /// Updates the rate if the last measurement shows what can be read, not only what arrived.
    fn record_rate(&mut self, read: usize, delay: Span, span: Span) {
        let sample = read as f64 / span.as_secs().max(DELAY_INTERVAL.as_secs());
        let busy = delay > END_DELAY;
        if std::mem::take(&mut self.limited) || (busy && sample > self.rate) {
            let weight = (span.as_secs() / QUIET.as_secs()).min(1.0);
            self.rate += (sample - self.rate) * weight;
        }
    }

    /// Returns how many of the connections that a pass over the accept queue found are kept: at
    /// least one, if any was found.
    pub fn keep(&mut self, found: usize, now: Time) -> usize {
        let most = match self.active {
            true => self.readable(PASS_TARGET),
            false => self.readable(READ_TARGET),
        };
        let lateness = self.lateness(now);
        self.active |= found > most && lateness > BEGIN_DELAY;
        if found <= most || !self.active {
            return found;
        }
        self.limited = true;
        if lateness > END_DELAY {
            self.shed_at = Some(now);
        }
        self.readable(PASS_TARGET)
    }

    /// Returns whether connections were closed lately.
    pub fn is_active(&self) -> bool {
        self.active
    }

    /// Returns how many first requests can be read in a time; at least one.
    fn readable(&self, time: Span) -> usize {
        (self.rate * time.as_secs()).max(1.0) as usize
    }

    /// Returns how late tasks run now. An overdue measurement counts before it is made, as with
    /// each pass that it waits for, the backlog multiplies.
    fn lateness(&self, now: Time) -> Span {
        let due = self.measured_at.map(|at| at + DELAY_INTERVAL);
        due.map_or(self.delay, |due| self.delay.max(now.since(due)))
    }
}
