//! Dates of log lines.

use {
    super::utc,
    std::time::{
        Duration,
        SystemTime, //
    },
};

fn at(seconds: u64) -> String {
    utc(SystemTime::UNIX_EPOCH + Duration::from_millis(seconds * 1_000 + 7))
}

#[test]
fn utc_known_moments() {
    assert_eq!(at(0), "1970-01-01T00:00:00.007Z");
    assert_eq!(at(951_782_400), "2000-02-29T00:00:00.007Z");
    assert_eq!(at(1_735_689_599), "2024-12-31T23:59:59.007Z");
    assert_eq!(at(4_107_542_400), "2100-03-01T00:00:00.007Z");
}
