use {
    super::Times,
    policy::{
        Span,
        Time, //
    },
};

fn at(secs: u64) -> Time {
    Time(0) + Span::secs(secs)
}

#[test]
fn expect_after_slow_minutes() {
    // All requests of a profile are refused as late, hours after the engines were slow for
    // a minute. A refused request runs nowhere, so nothing corrected what was expected.
    let (service, profile) = ("drafting-llm".parse().unwrap(), "standard".parse().unwrap());
    let mut times = Times::default();
    times.note(&service, &profile, Span::secs(18), at(0));
    assert_eq!(times.expect(&service, &profile, at(1)), Span::secs(18));
    assert_eq!(times.expect(&service, &profile, at(3600)), Span::ZERO);
    times.note(&service, &profile, Span::secs(1), at(3600));
    assert_eq!(times.expect(&service, &profile, at(3601)), Span::secs(1));
}
