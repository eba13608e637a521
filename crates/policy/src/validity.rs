//! How long a report of a peer is valid.

use crate::{
    Span,
    Time, //
};

/// How long a report of a peer is valid. Peers report less often in larger fleets.
///
/// # Examples
///
/// ```
/// use policy::{Span, Time, Validity};
///
/// let mut validity = Validity::new(Span::millis(700), 2.3);
/// let later = Time(0) + Span::secs(1);
/// assert!(!validity.is_valid(Time(0), later));
/// // A validity below the report interval would leave the report out most of the time.
/// validity.set_report_interval(Span::millis(500));
/// assert!(validity.is_valid(Time(0), later));
/// ```
#[derive(Debug, Clone, Copy)]
pub struct Validity {
    least: Span,
    missed: f64,
    valid_for: Span,
}

impl Validity {
    /// Creates a validity of at least `least`, and of `missed` report intervals.
    pub const fn new(least: Span, missed: f64) -> Validity {
        Validity {
            least,
            missed,
            valid_for: least,
        }
    }

    /// Sets the interval between the reports of a peer.
    pub fn set_report_interval(&mut self, interval: Span) {
        self.valid_for = self.least.max(interval * self.missed);
    }

    /// Returns whether a report that arrived at `at` is valid now.
    pub fn is_valid(&self, at: Time, now: Time) -> bool {
        now.since(at) < self.valid_for
    }
}
