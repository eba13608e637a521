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

/// A monotonic clock that counts from its creation.
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

/// Returns the incarnation of this start of the router, higher than that of any earlier start.
///
/// It is taken from the wall clock, as a process without a disk keeps nothing else over a
/// restart. Random bits below the milliseconds distinguish two starts if the clock was set back.
pub(crate) fn incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.map_or(0, |d| d.as_millis() as u64);
    Incarnation(millis << 10 | fastrand::u64(..1 << 10))
}
