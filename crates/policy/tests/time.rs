//! Spans of numbers from outside the process.

use policy::{
    Span,
    Time, //
};

/// Guards against a task that ends, or a span that is short, by a number that is too large.
#[test]
fn span_out_of_range() {
    for n in [u64::MAX, u64::MAX / 1_000 + 1] {
        assert_eq!(Span::millis(n), Span(u64::MAX));
        assert_eq!(Span::secs(n), Span(u64::MAX));
    }
    assert_eq!(Time(7) + Span::millis(u64::MAX), Time(u64::MAX));
    assert_eq!(Span::millis(3), Span(3_000));
    assert_eq!(Span::secs(3), Span(3_000_000));
}
