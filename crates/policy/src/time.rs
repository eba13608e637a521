//! Times on the monotonic clock, and time spans.

use {
    serde::{
        Deserialize,
        Serialize, //
    },
    std::{
        fmt,
        ops::{
            Add,
            AddAssign,
            Mul,
            Sub, //
        },
        str::FromStr,
        time::Duration, //
    },
    thiserror::Error, //
};

/// A time on this process's monotonic clock, in microseconds since it started.
///
/// It has no meaning in another process: messages carry a [`Span`] instead.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Time(pub u64);

/// A time span, in microseconds.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Span(pub u64);

impl Span {
    /// The empty span.
    pub const ZERO: Span = Span(0);

    /// Returns a span of `n` milliseconds, or the longest span if that is longer.
    pub const fn millis(n: u64) -> Span {
        Span(n.saturating_mul(1_000))
    }

    /// Returns a span of `n` seconds, or the longest span if that is longer.
    pub const fn secs(n: u64) -> Span {
        Span(n.saturating_mul(1_000_000))
    }

    /// Returns the span in seconds.
    pub fn as_secs(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Returns the span in whole milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }
}

impl Time {
    /// Returns the span from `earlier` to this time, or zero if `earlier` is later.
    pub fn since(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Span> for Time {
    type Output = Time;

    fn add(self, s: Span) -> Time {
        Time(self.0.saturating_add(s.0))
    }
}

impl AddAssign<Span> for Time {
    fn add_assign(&mut self, s: Span) {
        *self = *self + s;
    }
}

impl Mul<f64> for Span {
    type Output = Span;

    fn mul(self, by: f64) -> Span {
        Span((self.0 as f64 * by) as u64)
    }
}

impl Sub<Span> for Time {
    type Output = Time;

    fn sub(self, s: Span) -> Time {
        Time(self.0.saturating_sub(s.0))
    }
}

impl Add for Span {
    type Output = Span;

    fn add(self, s: Span) -> Span {
        Span(self.0.saturating_add(s.0))
    }
}

impl From<Duration> for Span {
    fn from(d: Duration) -> Span {
        Span(u64::try_from(d.as_micros()).unwrap_or(u64::MAX))
    }
}

impl From<Span> for Duration {
    fn from(s: Span) -> Duration {
        Duration::from_micros(s.0)
    }
}

/// Why a time span is invalid.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("`{0}` is not a length of time; write a whole number and a unit: `250ms`, `3s` or `2m`")]
pub struct SpanError(String);

impl FromStr for Span {
    type Err = SpanError;

    fn from_str(s: &str) -> Result<Span, SpanError> {
        let err = || SpanError(s.to_owned());
        let split = s.find(|c: char| !c.is_ascii_digit()).ok_or_else(err)?;
        let (n, unit) = s.split_at(split);
        let n: u64 = n.parse().map_err(|_| err())?;
        let micros = match unit {
            "us" => 1,
            "ms" => 1_000,
            "s" => 1_000_000,
            "m" => 60_000_000,
            _ => return Err(err()),
        };
        n.checked_mul(micros).map(Span).ok_or_else(err)
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            n if n >= 1_000_000 => write!(f, "{:.1}s", self.as_secs()),
            n if n >= 1_000 => write!(f, "{}ms", n / 1_000),
            n => write!(f, "{n}us"),
        }
    }
}
