//! The clock of this process.

use {
    policy::{
        Incarnation,
        Time, //
    },
    std::time::{
        Instant,
        SystemTime,
        UNIX_EPOCH, //
    },
};

/// Reads the monotonic clock, as the time since the process started.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    pub(crate) fn new() -> Clock {
        Clock {
            start: Instant::now(),
        }
    }

    pub(crate) fn now(&self) -> Time {
        Time(self.start.elapsed().as_micros() as u64)
    }
}

/// Returns a number for this start of the router, higher than that of any earlier start.
///
/// It is taken from the wall clock, the only thing that outlives a process without a disk.
/// Random bits below the milliseconds keep two starts apart if the clock was set back.
pub(crate) fn incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.map_or(0, |d| d.as_millis() as u64);
    Incarnation(millis << 10 | fastrand::u64(..1 << 10))
}
