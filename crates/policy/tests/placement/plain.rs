//! The choice among replicas of a plain service.

use policy::{
    placement::{
        pick_plain,
        Latencies,
        Load,
        Pick,
        PlainCandidate,
        ReplicaKey, //
    },
    AnswerState,
    ReplicaId,
    Span, //
};

fn candidate(name: &str, running: u32) -> PlainCandidate {
    let id: ReplicaId = name.parse().unwrap();
    PlainCandidate {
        key: ReplicaKey::of(&id),
        id,
        slots: 6,
        load: Load {
            running,
            ..Load::default()
        },
        mean_latency_s: 0.06,
        same_zone: true,
        penalty: 0.0,
    }
}

fn chosen(candidates: &[PlainCandidate], roll: u64) -> String {
    match pick_plain(candidates, AnswerState::NotStarted, roll) {
        Pick::Run(choice) => choice.replica.to_string(),
        Pick::Reject { .. } => "none".to_owned(),
    }
}

#[test]
fn plain_least_loaded() {
    let candidates = [candidate("a", 4), candidate("b", 1), candidate("c", 5)];
    assert!((0..9).all(|roll| chosen(&candidates, roll) == "b"));
}

#[test]
fn plain_equal_replicas_take_turns() {
    let candidates = [candidate("a", 0), candidate("b", 0), candidate("c", 0)];
    let all: Vec<String> = (0..3).map(|roll| chosen(&candidates, roll)).collect();
    assert_eq!(all, ["a", "b", "c"]);
}

#[test]
fn plain_avoids_slow_replica() {
    // One replica takes eight times as long and reports no failures. By its load alone it would get
    // a third of the requests, each of which would be late.
    let mut times = Latencies::default();
    let mut candidates = [candidate("a", 0), candidate("b", 2), candidate("c", 2)];
    for _ in 0..60 {
        times.record(candidates[0].key, Span::millis(480));
    }
    candidates[0].mean_latency_s = times.of(candidates[0].key);
    assert_ne!(chosen(&candidates, 0), "a");
}

#[test]
fn plain_avoids_failing_replica() {
    let mut candidates = [candidate("a", 0), candidate("b", 1)];
    candidates[0].penalty = 1.0;
    assert_eq!(chosen(&candidates, 0), "b");
}

#[test]
fn plain_all_full() {
    let candidates = [candidate("a", 15), candidate("b", 16)];
    assert_eq!(chosen(&candidates, 0), "none");
    assert_eq!(chosen(&[], 0), "none");
}

#[test]
fn plain_new_replica_gets_requests() {
    // A replica joins a service whose others respond within a millisecond. If it counted as slow as
    // an unknown service, it would get no requests while they are idle.
    let mut times = Latencies::default();
    let mut candidates = [candidate("old", 1), candidate("new", 0)];
    for _ in 0..60 {
        times.record(candidates[0].key, Span::millis(1));
    }
    for candidate in &mut candidates {
        candidate.mean_latency_s = times.of(candidate.key);
    }
    assert_eq!(chosen(&candidates, 0), "new");
}

/// Guards against an answer that has started and gets no replica because all are full.
#[test]
fn plain_started_where_all_are_full() {
    let candidates = [candidate("a", 20), candidate("b", 15)];
    assert_eq!(chosen(&candidates, 0), "none");
    let Pick::Run(choice) = pick_plain(&candidates, AnswerState::Started, 0) else {
        panic!("rejected");
    };
    assert_eq!(choice.replica.as_str(), "b");
}
