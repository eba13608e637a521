use {
    super::RunTimes,
    policy::{
        Span,
        Time, //
    },
};

fn at(secs: u64) -> Time {
    Time(0) + Span::secs(secs)
}

#[test]
fn estimate_expires() {
    // Guards against requests of a profile being rejected as late for hours after the engines
    // were slow for a minute: a rejected request gives no sample to correct the estimate.
    let (service, profile) = ("drafting-llm".parse().unwrap(), "standard".parse().unwrap());
    let mut run_times = RunTimes::default();
    run_times.record(&service, &profile, Span::secs(18), at(0));
    assert_eq!(
        run_times.estimate(&service, &profile, at(1)),
        Span::secs(18)
    );
    assert_eq!(run_times.estimate(&service, &profile, at(3600)), Span::ZERO);
    run_times.record(&service, &profile, Span::secs(1), at(3600));
    assert_eq!(
        run_times.estimate(&service, &profile, at(3601)),
        Span::secs(1)
    );
}
