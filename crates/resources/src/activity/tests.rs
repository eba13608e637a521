use {
    super::Activity,
    std::time::{
        Duration,
        Instant, //
    },
};

#[test]
fn recent_halves() {
    let begun = Instant::now();
    let mut activity = Activity::new(begun);
    activity.record(4_000, begun);
    let recent = activity.recent(begun + Duration::from_secs(4));
    assert!((recent - 1_000.0).abs() < 1.0, "{recent}");
}

/// Guards against a client that counts as active because it sends a byte now and then.
#[test]
fn recent_of_single_bytes() {
    let begun = Instant::now();
    let mut activity = Activity::new(begun);
    activity.record(4_000_000, begun);
    let at = |n: u64| begun + Duration::from_millis(500 * n);
    (1..=60).for_each(|n| activity.record(1, at(n)));
    assert!(activity.recent(at(60)) < 200.0);
}
