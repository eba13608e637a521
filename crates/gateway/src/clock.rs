//! The time of day, for what goes beyond this process: logs, and entries in the store.

use std::time::SystemTime;

/// Returns the time of day, in Unix milliseconds. It may jump, so nothing is timed by it.
pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |span| span.as_millis() as u64)
}
