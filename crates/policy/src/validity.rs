//! How long a peer's word counts.

use crate::{
    Span,
    Time, //
};

/// How long a peer's word counts, as peers of larger fleets speak more seldom.
///
/// # Examples
///
/// ```
/// use policy::{Span, Time, Validity};
///
/// let mut validity = Validity::new(Span::millis(700), 2.3);
/// let later = Time(0) + Span::secs(1);
/// assert!(!validity.is_valid(Time(0), later));
/// // A word that counted for less than the time to the next would be missing most of the time.
/// validity.set_report_interval(Span::millis(500));
/// assert!(validity.is_valid(Time(0), later));
/// ```
#[derive(Debug, Clone, Copy)]
pub struct Validity {
    least: Span,
    missed: f64,
    span: Span,
}

impl Validity {
    /// Makes the validity of words that count for `least` at least, and until so many times
    /// between two words have passed.
    pub const fn new(least: Span, missed: f64) -> Validity {
        Validity {
            least,
            missed,
            span: least,
        }
    }

    /// Sets how often peers speak.
    pub fn set_report_interval(&mut self, every: Span) {
        self.span = self.least.max(every * self.missed);
    }

    /// Tells whether a word that was heard then counts now.
    pub fn is_valid(&self, at: Time, now: Time) -> bool {
        now.since(at) < self.span
    }
}
