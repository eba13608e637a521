//! Fair shares of the capacity.

use policy::{
    placement::Bound,
    quota::{
        max_min_share,
        Outcomes,
        Quota,
        Tally,
        UsageCounts,
        UsageStanding,
        WorkspaceKey, //
    },
    Span,
    Time, //
};

const LARGE: WorkspaceKey = WorkspaceKey(1);
const SMALL: WorkspaceKey = WorkspaceKey(2);
/// The roll of a request: a quarter of its workspace's requests come before it.
const ROLL: f64 = 0.25;

fn at(ms: u64) -> Time {
    Time(0) + Span::millis(ms)
}

fn quota() -> Quota {
    let mut quota = Quota::new(Span::secs(4));
    quota.set_capacity(1_000.0);
    quota
}

#[test]
fn max_min_share_divides_the_rest() {
    assert_eq!(max_min_share(&[], 10.0), 10.0);
    assert_eq!(max_min_share(&[5.0, 5.0], 6.0), 3.0);
    assert_eq!(max_min_share(&[1.0, 9.0, 20.0], 21.0), 11.0);
}

#[test]
fn quota_unknown_capacity() {
    let mut quota = Quota::new(Span::secs(4));
    quota.record_requested(LARGE, 1e9, at(0));
    quota.record_served(LARGE, 1e9, at(0));
    assert_eq!(quota.standing(LARGE, ROLL, at(0)).share, 0.0);
}

#[test]
fn quota_enough_for_all() {
    let mut quota = quota();
    quota.record_requested(LARGE, 3_000.0, at(0));
    quota.record_served(LARGE, 3_000.0, at(0));
    assert!(quota.standing(LARGE, ROLL, at(100)).share <= 1.0);
}

/// Guards against a workspace that gets far less than another one without any router noticing.
#[test]
fn standing_shortfall_against_the_best_served() {
    let mut quota = quota();
    quota.record_requested(LARGE, 40_000.0, at(0));
    quota.record_requested(SMALL, 3_000.0, at(0));
    let served = UsageCounts {
        served: 4_000.0,
        ..UsageCounts::default()
    };
    quota.set_peer(&"r2".parse().unwrap(), &[(LARGE, served)], at(0));
    quota.record_served(SMALL, 1_200.0, at(0));
    let best = quota.standing(LARGE, ROLL, at(60));
    assert!(best.shortfall == 0.0 && !best.lags());
    // It requested less than the best served one got.
    let small = quota.standing(SMALL, ROLL, at(60));
    assert!((small.shortfall - 0.6).abs() < 1e-6 && small.lags());
}

/// Guards against a workspace that seems to get what it asks, as its requests are rejected for want
/// of processor time before they are counted.
#[test]
fn standing_shortfall_counts_rejected_requests() {
    let mut quota = quota();
    quota.record_requested(LARGE, 9_000.0, at(0));
    quota.record_served(LARGE, 4_000.0, at(0));
    quota.record_requested(SMALL, 1_000.0, at(0));
    quota.record_served(SMALL, 1_000.0, at(0));
    quota.record_rejected(SMALL, 4_000.0, at(0));
    let small = quota.standing(SMALL, ROLL, at(60));
    assert!((small.shortfall - 0.75).abs() < 1e-6, "{}", small.shortfall);
    assert_eq!(small.demand, 1_000.0);
}

/// Guards against a flood going first at a router that sees little of it.
#[test]
fn quota_flood_at_another_router() {
    let mut quota = quota();
    quota.record_requested(LARGE, 10.0, at(0));
    quota.record_requested(SMALL, 10.0, at(0));
    let flood = UsageCounts {
        requested: 40_000.0,
        served: 6_000.0,
        recent: 0.0,
    };
    quota.set_peer(&"r2".parse().unwrap(), &[(LARGE, flood)], at(0));
    assert!(quota.standing(LARGE, ROLL, at(60)).share > 1.4);
    assert!(quota.standing(SMALL, ROLL, at(60)).share < 0.1);
}

#[test]
fn quota_window_slides() {
    let mut quota = quota();
    quota.record_requested(LARGE, 8_000.0, at(0));
    quota.record_served(LARGE, 8_000.0, at(0));
    assert!(quota.standing(LARGE, 0.75, at(1_000)).share > 1.0);
    assert_eq!(quota.standing(LARGE, 0.75, at(4_100)).share, 0.0);
}

#[test]
fn quota_silent_peer_is_forgotten() {
    let mut quota = quota();
    let counts = UsageCounts {
        requested: 9_000.0,
        served: 9_000.0,
        recent: 0.0,
    };
    quota.set_peer(&"r2".parse().unwrap(), &[(LARGE, counts)], at(0));
    quota.record_requested(LARGE, 1.0, at(2_100));
    quota.forget(at(2_100));
    assert!(quota.standing(LARGE, ROLL, at(2_100)).share < 0.1);
}

/// Returns how many of a workspace's requested tokens are within its max-min share.
fn within(quota: &mut Quota, workspace: WorkspaceKey, requested: f64, now: Time) -> f64 {
    let rolls = (0..1_000).map(|i| f64::from(i) / 1_000.0);
    let within = rolls.filter(|roll| quota.standing(workspace, *roll, now).max_min_ratio < 1.0);
    within.count() as f64 / 1_000.0 * requested
}

/// Guards against counts that expire before the next report.
#[test]
fn quota_counts_of_a_large_fleet() {
    let mut quota = quota();
    let flood = UsageCounts {
        requested: 40_000.0,
        served: 6_000.0,
        recent: 10_000.0,
    };
    quota.set_peer(&"r2".parse().unwrap(), &[(LARGE, flood)], at(0));
    quota.set_report_interval(Span::millis(4_500));
    quota.forget(at(4_400));
    quota.record_requested(SMALL, 10.0, at(4_400));
    assert!(quota.standing(LARGE, ROLL, at(4_400)).share > 1.4);
}

/// Guards against unequal shares where engines serve more than the configured capacity.
#[test]
fn quota_max_min_share_of_served_tokens() {
    let mut quota = quota();
    quota.record_requested(LARGE, 90_000.0, at(0));
    quota.record_served(LARGE, 6_500.0, at(0));
    quota.record_requested(SMALL, 9_000.0, at(0));
    quota.record_served(SMALL, 2_500.0, at(0));
    let share = |quota: &mut Quota, who| quota.standing(who, ROLL, at(60)).share;
    assert!(share(&mut quota, LARGE) > 1.0 && share(&mut quota, SMALL) > 1.0);
    let large = within(&mut quota, LARGE, 90_000.0, at(60));
    let small = within(&mut quota, SMALL, 9_000.0, at(60));
    // A quarter of the 9,000 tokens in the window belongs to the last second.
    assert!((1_080.0..1_180.0).contains(&large), "{large}");
    assert!((1_080.0..1_180.0).contains(&small), "{small}");
}

/// Guards against a new flood being admitted in full because it is small over the whole window.
#[test]
fn quota_flood_that_begins() {
    let mut quota = quota();
    for second in 0..4 {
        quota.record_requested(LARGE, 4_000.0, at(second * 1_000));
        quota.record_served(LARGE, 1_000.0, at(second * 1_000));
    }
    quota.record_requested(SMALL, 4_000.0, at(3_000));
    let (old, new) = (
        within(&mut quota, LARGE, 4_000.0, at(3_100)),
        within(&mut quota, SMALL, 4_000.0, at(3_100)),
    );
    assert!(new <= old * 1.5, "{new} {old}");
}

/// Guards against a rejection for lack of slots that looks like one by the max-min share, so that
/// operators can't tell why a workspace got less than another.
#[test]
fn tally_distinguishes_rejections() {
    let mut tally = Tally::default();
    let (large, small) = ("w1".parse().unwrap(), "w2".parse().unwrap());
    let at = |max_min_ratio| UsageStanding {
        max_min_ratio,
        ..UsageStanding::default()
    };
    tally.record_started(&large, 10);
    tally.record_rejected(&large, 20, at(0.5), Bound::Slots);
    tally.record_rejected(&large, 30, at(0.5), Bound::Backlog);
    tally.record_rejected(&large, 35, at(0.5), Bound::Failures);
    tally.record_rejected(&large, 40, at(1.5), Bound::Slots);
    tally.record_rejected(&small, 5, at(0.0), Bound::Slots);
    let outcomes = Outcomes {
        started: 10,
        slots: 20,
        failures: 35,
        time: 30,
        beyond: 40,
    };
    assert_eq!(tally.take(1), [(large, outcomes)]);
    assert!(tally.take(1).is_empty());
}
