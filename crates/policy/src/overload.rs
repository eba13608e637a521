//! Which requests an instance that is short of processor time rejects.

use {
    crate::{
        quota::max_min_share,
        Span,
        Time,
        WorkspaceId, //
    },
    std::collections::HashMap, //
};

/// How late tasks may run before requests are rejected. A request waits for its turn some three times
/// until its first event is forwarded, and latency targets begin at 150 ms.
const DELAY_TARGET: Span = Span::millis(30);
/// By how much the rejected fraction rises with each measurement, per target that the delay is
/// beyond the target.
const RISE: f64 = 0.02;
/// The most that a delay counts, in targets.
const EXCESS_MAX: f64 = 4.0;
/// By how much the rejected fraction falls with each measurement within the target.
const FALL: f64 = 0.01;
/// The most that is rejected. What is admitted shows whether the shortage lasts.
const REJECTED_MAX: f64 = 0.9;
/// Shortfall from which a workspace is not rejected. None may get less than half of what others get.
const SHORTFALL_MAX: f64 = 0.4;
/// Span over which requests are counted.
const WINDOW: Span = Span::millis(250);

/// The load of one instance, by how late its tasks run.
///
/// A request that is rejected costs a fraction of one that is served, so the rest is served in time
/// instead of all being late. The workspaces with the most requests here are rejected first.
///
/// # Examples
///
/// ```
/// use policy::{Overload, Span, Time};
///
/// let mut overload = Overload::default();
/// let (flood, small) = ("flood".parse()?, "small".parse()?);
/// let mut now = Time(0);
/// for n in 0..2_000 {
///     now = Time(0) + Span::millis(n);
///     overload.record_request(&flood, now);
///     if n % 50 == 0 {
///         overload.record_request(&small, now);
///         overload.record_delay(Span::millis(60));
///     }
/// }
/// assert!(!overload.admits(&flood, 0.9, || 0.0, now));
/// assert!(overload.admits(&small, 0.9, || 0.0, now));
/// # Ok::<(), policy::IdError>(())
/// ```
#[derive(Debug, Default)]
pub struct Overload {
    /// The fraction of all requests that is rejected.
    rejected: f64,
    /// Requests of each workspace in the current window.
    current: HashMap<WorkspaceId, u32>,
    /// Requests of each workspace in the window before.
    last: HashMap<WorkspaceId, u32>,
    /// The most that a workspace may get of the requests in a window.
    share: f64,
    window_begun: Time,
}

impl Overload {
    /// Records how much later than due a task ran.
    pub fn record_delay(&mut self, delay: Span) {
        let excess = delay.as_secs() / DELAY_TARGET.as_secs() - 1.0;
        let step = match excess > 0.0 {
            true => RISE * excess.min(EXCESS_MAX),
            false => -FALL,
        };
        self.rejected = (self.rejected + step).clamp(0.0, REJECTED_MAX);
        self.refresh_share();
    }

    /// Recomputes how many requests of a window each workspace may have admitted.
    fn refresh_share(&mut self) {
        let demands: Vec<f64> = self.last.values().map(|n| f64::from(*n)).collect();
        let all: f64 = demands.iter().sum();
        self.share = max_min_share(&demands, all * (1.0 - self.rejected));
    }

    /// Counts a request.
    pub fn record_request(&mut self, workspace: &WorkspaceId, now: Time) {
        if now.since(self.window_begun) >= WINDOW {
            self.last = std::mem::take(&mut self.current);
            self.window_begun = now;
            self.refresh_share();
        }
        match self.current.get_mut(workspace) {
            Some(count) => *count += 1,
            None => _ = self.current.insert(workspace.clone(), 1),
        }
    }

    /// Returns whether a request of a workspace is admitted. `roll` is a random number from 0 to 1
    /// that is drawn for it.
    ///
    /// `shortfall` tells by which fraction the workspace gets less than others in the fleet. With a
    /// large one it is served late rather than not at all, as its callers may use this instance only.
    pub fn admits(
        &self,
        workspace: &WorkspaceId,
        roll: f64,
        shortfall: impl FnOnce() -> f64,
        now: Time,
    ) -> bool {
        if self.rejected == 0.0 || now.since(self.window_begun) >= WINDOW * 2.0 {
            return true;
        }
        let demand = self.last.get(workspace).copied().unwrap_or_default();
        roll * f64::from(demand) < self.share.max(1.0) || shortfall() > SHORTFALL_MAX
    }

    /// Returns the fraction of all requests that is rejected.
    pub fn rejected(&self) -> f64 {
        self.rejected
    }
}
