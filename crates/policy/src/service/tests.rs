use super::sample::ReplicaSample;
use crate::Span;

#[test]
fn take_load_while_a_request_still_runs() {
    // Guards against samples that cover only ended requests. Their times still reflect the
    // previous limit, which made the limit of a slowed engine oscillate.
    let mut sample = ReplicaSample::default();
    sample.record_tokens(2, Span::millis(80));
    sample.record_tokens(1, Span::millis(70));
    let load = sample.take_load(1, 3).expect("tokens came");
    assert_eq!(load.token_gap, Some(Span::millis(50)));
    assert!(sample.take_load(1, 3).is_none());
}
