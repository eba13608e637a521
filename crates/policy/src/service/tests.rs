use super::sample::Sample;
use crate::Span;

#[test]
fn take_while_a_request_still_runs() {
    // An engine slowed down, and its limit was changed to and fro for half a minute. Only
    // requests that had ended were looked at, so the times told of the limit before.
    let mut sample = Sample::default();
    sample.tokens(2, Span::millis(80));
    sample.tokens(1, Span::millis(70));
    let load = sample.take(1, 3).expect("tokens came");
    assert_eq!(load.gap, Some(Span::millis(50)));
    assert!(sample.take(1, 3).is_none());
}
