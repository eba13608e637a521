//! Replicas that fail, are silent or can't be reached.

use policy::{
    placement::Health,
    Span,
    Time, //
};

fn at(ms: u64) -> Time {
    Time(0) + Span::millis(ms)
}

#[test]
fn health_backoff_and_probe() {
    // A replica crashed. Every request to it is lost until it is off the list, so it gets a
    // backoff, and one probe request at a time then finds out whether it is back.
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
fn health_backoff_grows() {
    let mut health = Health::default();
    health.unreachable(at(0));
    health.sent(at(300));
    health.unreachable(at(301));
    assert!(!health.is_available(at(800)));
    assert!(health.is_available(at(901)));
}

#[test]
fn health_simultaneous_failures_count_once() {
    // Forty streams fail at the same moment. If each counted, the backoff would double forty times,
    // and a replica that restarts within a second would get no requests for the longest backoff.
    let mut health = Health::default();
    for _ in 0..40 {
        health.unreachable(at(0));
    }
    assert!(health.is_available(at(300)));
}

#[test]
fn health_lost_probe_is_repeated() {
    let mut health = Health::default();
    health.unreachable(at(0));
    health.sent(at(300));
    assert!(!health.is_available(at(2_700)));
    assert!(health.is_available(at(2_701)));
}

#[test]
fn health_usual_failures_have_no_penalty() {
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
fn health_rare_broken_responses_cause_no_backoff() {
    // A replica breaks one response in forty and serves the others. With a backoff after each it
    // would be idle half of the time, and its requests would crowd the other replicas.
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
fn health_crash_causes_backoff() {
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
