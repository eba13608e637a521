//! Replicas that fail, are silent, or can't be reached.

use policy::{
    placement::Health,
    Span,
    Time, //
};

fn at(ms: u64) -> Time {
    Time(0) + Span::millis(ms)
}

#[test]
fn health_rests_and_is_tried() {
    // A replica crashed. Every request that goes there until the list says so is lost, so it
    // rests; one request at a time then finds out whether it is back.
    let mut health = Health::default();
    health.unreachable(at(0));
    assert!(!health.is_available(at(299)));
    assert!(health.is_available(at(300)));
    health.sent(at(300));
    assert!(!health.is_available(at(301)));
    health.answered(true);
    assert!(health.is_available(at(302)));
}

#[test]
fn health_rest_grows() {
    let mut health = Health::default();
    health.unreachable(at(0));
    health.sent(at(300));
    health.unreachable(at(301));
    assert!(!health.is_available(at(800)));
    assert!(health.is_available(at(901)));
}

#[test]
fn health_many_failures_are_one() {
    // Forty streams break at the same moment. Counted one by one, the rest would double
    // forty times and a replica that restarts in a second stay away for the longest rest.
    let mut health = Health::default();
    for _ in 0..40 {
        health.unreachable(at(0));
    }
    assert!(health.is_available(at(300)));
}

#[test]
fn health_lost_trial_is_repeated() {
    let mut health = Health::default();
    health.unreachable(at(0));
    health.sent(at(300));
    assert!(!health.is_available(at(2_700)));
    assert!(health.is_available(at(2_701)));
}

#[test]
fn health_usual_failures_count_nothing() {
    let mut health = Health::default();
    for n in 0..200 {
        health.answered(n % 7 != 0);
    }
    assert_eq!(health.penalty(0.14), 0.0);
    for _ in 0..20 {
        health.answered(false);
    }
    assert!(health.penalty(0.14) > 0.5);
}

#[test]
fn health_one_broken_answer() {
    // A replica breaks one answer in forty and serves the others. Resting after each, it
    // would be idle half of the time, and its requests crowd the rest.
    let mut health = Health::default();
    for n in 0..400 {
        match n % 40 {
            0 => health.broken(at(n)),
            _ => health.answered(true),
        }
        assert!(health.is_available(at(n)), "{n}");
    }
}

#[test]
fn health_crash_rests() {
    let mut health = Health::default();
    for _ in 0..3 {
        assert!(health.is_available(at(0)));
        health.broken(at(0));
    }
    assert!(!health.is_available(at(1)));
    assert!(health.is_available(at(300)));
    health.sent(at(300));
    health.broken(at(310));
    assert!(!health.is_available(at(800)));
}
