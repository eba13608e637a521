//! Waiting for an event, with a bound that only a hang passes.

use std::{
    thread::sleep,
    time::{
        Duration,
        Instant, //
    },
};

const HANG: Duration = Duration::from_secs(90);
const LOOK: Duration = Duration::from_millis(20);

/// Waits until `look` gives something, and returns it and how long it took.
pub(crate) fn wait_for<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> (T, Duration) {
    let begin = Instant::now();
    loop {
        if let Some(found) = look() {
            return (found, begin.elapsed());
        }
        assert!(begin.elapsed() < HANG, "waited in vain until {what}");
        sleep(LOOK);
    }
}
