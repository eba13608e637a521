//! Which requests wait, and until when.

use crate::{
    placement::Bound,
    quota::UsageStanding,
    Span,
    Time, //
};

/// Part of its latency target that a request may wait for.
const TARGET_FRACTION: f64 = 0.25;

/// Returns whether waiting may help a request that no engine takes because of `bound`.
///
/// Slots, memory and backlogs become free. The time to read a prompt stays the same, and a request
/// beyond its workspace's max-min share would take capacity from others.
///
/// # Examples
///
/// ```
/// use policy::{placement::Bound, quota::UsageStanding, waiting::may_wait};
///
/// let within = UsageStanding::default();
/// let beyond = UsageStanding { max_min_ratio: 1.2, ..within };
/// assert!(may_wait(Bound::Slots, within));
/// assert!(!may_wait(Bound::Slots, beyond));
/// assert!(!may_wait(Bound::Reading, within));
/// ```
pub fn may_wait(bound: Bound, usage: UsageStanding) -> bool {
    let frees_up = matches!(bound, Bound::Slots | Bound::Memory | Bound::Backlog);
    frees_up && usage.max_min_ratio <= 1.0
}

/// The times that limit how long a request waits.
///
/// # Examples
///
/// ```
/// use policy::{waiting::Timing, Span, Time};
///
/// let timing = Timing {
///     arrived: Time(0),
///     target: Span::millis(800),
///     deadline: Time(0) + Span::secs(6),
///     reading: Span::millis(100),
/// };
/// assert_eq!(timing.send_by(), Time(700_000));
/// assert_eq!(timing.latest_start(), Time(200_000));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// When the request arrived.
    pub arrived: Time,
    /// Target for the time to the first event.
    pub target: Span,
    /// When its caller gives up.
    pub deadline: Time,
    /// Time from sending it to an idle engine until its first event.
    pub reading: Span,
}

impl Timing {
    /// Returns when the request must be sent to meet its target.
    pub fn send_by(&self) -> Time {
        self.arrived + self.target - self.reading
    }

    /// Returns when the request must be sent or rejected.
    pub fn latest_start(&self) -> Time {
        let patience = self.arrived + self.target * TARGET_FRACTION;
        let answerable = self.deadline - self.reading;
        patience.min(self.send_by()).min(answerable)
    }
}
