//! When evictions are logged.

use std::{
    sync::{
        Mutex,
        PoisonError, //
    },
    time::{
        Duration,
        Instant, //
    },
};

const INTERVAL: Duration = Duration::from_secs(1);

/// Limits the log lines on evictions to one in each second.
#[derive(Debug, Default)]
pub struct WarningInterval(Mutex<Option<Instant>>);

impl WarningInterval {
    /// Begins a new interval unless one has begun less than a second ago. Returns whether it did.
    pub fn begin(&self) -> bool {
        let mut begun = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if begun.is_some_and(|at| at.elapsed() < INTERVAL) {
            return false;
        }
        *begun = Some(Instant::now());
        true
    }
}
