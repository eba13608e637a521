//! Shares of the capacity.

use policy::{
    quota::{
        level,
        Asked,
        Quota,
        WorkspaceKey, //
    },
    Span,
    Time, //
};

const LARGE: WorkspaceKey = WorkspaceKey(1);
const SMALL: WorkspaceKey = WorkspaceKey(2);

fn at(ms: u64) -> Time {
    Time(0) + Span::millis(ms)
}

fn quota() -> Quota {
    let mut quota = Quota::new(Span::secs(4));
    quota.set_capacity(1_000.0);
    quota
}

#[test]
fn level_shares_the_rest() {
    assert_eq!(level(&[], 10.0), 10.0);
    assert_eq!(level(&[5.0, 5.0], 6.0), 3.0);
    assert_eq!(level(&[1.0, 9.0, 20.0], 21.0), 11.0);
}

#[test]
fn quota_unknown_capacity() {
    let mut quota = Quota::new(Span::secs(4));
    quota.asked(LARGE, 1e9, at(0));
    quota.given(LARGE, 1e9, at(0));
    assert_eq!(quota.standing(LARGE, at(0)).share, 0.0);
}

#[test]
fn quota_enough_for_all() {
    let mut quota = quota();
    quota.asked(LARGE, 3_000.0, at(0));
    quota.given(LARGE, 3_000.0, at(0));
    assert!(quota.standing(LARGE, at(100)).share <= 1.0);
}

#[test]
fn quota_flood_at_another_router() {
    // A workspace floods one router, and has a few requests here. Judged by this router's
    // counts alone they would go first, before those of workspaces that had less.
    let mut quota = quota();
    quota.asked(LARGE, 10.0, at(0));
    quota.asked(SMALL, 10.0, at(0));
    let flood = Asked {
        asked: 40_000.0,
        given: 6_000.0,
    };
    quota.peer(&"r2".parse().unwrap(), &[(LARGE, flood)], at(0));
    assert!(quota.standing(LARGE, at(60)).share > 1.4);
    assert!(quota.standing(SMALL, at(60)).share < 0.1);
}

#[test]
fn quota_window_slides() {
    let mut quota = quota();
    quota.asked(LARGE, 8_000.0, at(0));
    quota.given(LARGE, 8_000.0, at(0));
    assert!(quota.standing(LARGE, at(1_000)).share > 1.0);
    assert_eq!(quota.standing(LARGE, at(4_100)).share, 0.0);
}

#[test]
fn quota_silent_peer_is_forgotten() {
    let mut quota = quota();
    let counts = Asked {
        asked: 9_000.0,
        given: 9_000.0,
    };
    quota.peer(&"r2".parse().unwrap(), &[(LARGE, counts)], at(0));
    quota.asked(LARGE, 1.0, at(2_100));
    quota.forget(at(2_100));
    assert!(quota.standing(LARGE, at(2_100)).share < 0.1);
}

#[test]
fn quota_even_part_of_what_was_given() {
    // Engines give twice what is stated. Two workspaces want far more than their shares, and
    // one asks ten times as often: both are over, and only one had more than an even part.
    let mut quota = quota();
    quota.asked(LARGE, 90_000.0, at(0));
    quota.given(LARGE, 6_500.0, at(0));
    quota.asked(SMALL, 9_000.0, at(0));
    quota.given(SMALL, 2_500.0, at(0));
    let (large, small) = (quota.standing(LARGE, at(60)), quota.standing(SMALL, at(60)));
    assert!(large.share > 1.0 && small.share > 1.0);
    assert!(large.even > 1.4, "{large:?}");
    assert!(small.even < 0.6, "{small:?}");
}
