//! Wall-clock time, for log lines and for entries in the store.

use std::time::SystemTime;

/// Returns the wall-clock time in Unix milliseconds. It may jump, so it is not used for timeouts.
pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |span| span.as_millis() as u64)
}
