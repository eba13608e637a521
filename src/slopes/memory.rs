//! Memory of this process.

use std::fs;

/// Bytes of one page of memory, as `/proc` counts them on the machines that this runs on.
const PAGE: f64 = 4096.0;

/// Returns the resident memory of this process, in bytes; 0 where it can't be read.
pub(crate) fn resident() -> f64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|n| n.parse().ok());
    pages.map_or(0.0, |n: f64| n * PAGE)
}

/// Returns how much resident memory each of `copies` of a state takes, in bytes.
///
/// The copies are never freed: memory that one measurement gave back would be used again
/// by the next, which would then seem to take none. For the same reason memory is measured
/// before all else.
pub(crate) fn bytes_of<T>(copies: usize, make: impl Fn() -> T) -> f64 {
    std::mem::forget(make());
    let before = resident();
    for _ in 0..copies {
        std::mem::forget(make());
    }
    (resident() - before).max(0.0) / copies as f64
}
