//! The choice among replicas of a plain service.

use policy::{
    placement::{
        pick_plain,
        Latencies,
        Load,
        Pick,
        PlainCandidate, //
        ReplicaKey,
    },
    AnswerState,
    ReplicaId,
    Span, //
};

fn server(name: &str, running: u32) -> PlainCandidate {
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

fn chosen(servers: &[PlainCandidate], roll: u64) -> String {
    match pick_plain(servers, AnswerState::NotStarted, roll) {
        Pick::Run(choice) => choice.replica.to_string(),
        Pick::Reject { .. } => "none".to_owned(),
    }
}

#[test]
fn plain_least_loaded() {
    let servers = [server("a", 4), server("b", 1), server("c", 5)];
    assert!((0..9).all(|roll| chosen(&servers, roll) == "b"));
}

#[test]
fn plain_equal_ones_share() {
    let servers = [server("a", 0), server("b", 0), server("c", 0)];
    let all: Vec<String> = (0..3).map(|roll| chosen(&servers, roll)).collect();
    assert_eq!(all, ["a", "b", "c"]);
}

#[test]
fn plain_slow_one_spared() {
    // One replica takes eight times as long and says that it is well. By its load alone it
    // would get a third of the requests, each of which is late.
    let mut times = Latencies::default();
    let mut servers = [server("a", 0), server("b", 2), server("c", 2)];
    for _ in 0..60 {
        times.record(servers[0].key, Span::millis(480));
    }
    servers[0].mean_latency_s = times.of(servers[0].key);
    assert_ne!(chosen(&servers, 0), "a");
}

#[test]
fn plain_failing_one_spared() {
    let mut servers = [server("a", 0), server("b", 1)];
    servers[0].penalty = 1.0;
    assert_eq!(chosen(&servers, 0), "b");
}

#[test]
fn plain_all_full() {
    let servers = [server("a", 15), server("b", 16)];
    assert_eq!(chosen(&servers, 0), "none");
    assert_eq!(chosen(&[], 0), "none");
}

#[test]
fn plain_new_one_is_tried() {
    // A replica joins a service whose others answer in a millisecond. Taken for as slow as
    // one of which nothing is known, it would get nothing while they are idle.
    let mut times = Latencies::default();
    let mut servers = [server("old", 1), server("new", 0)];
    for _ in 0..60 {
        times.record(servers[0].key, Span::millis(1));
    }
    for server in &mut servers {
        server.mean_latency_s = times.of(server.key);
    }
    assert_eq!(chosen(&servers, 0), "new");
}

/// Guards against an answer that has begun and finds no replica as all are full.
#[test]
fn plain_begun_where_all_are_full() {
    let servers = [server("a", 20), server("b", 15)];
    assert_eq!(chosen(&servers, 0), "none");
    let Pick::Run(choice) = pick_plain(&servers, AnswerState::Started, 0) else {
        panic!("refused");
    };
    assert_eq!(choice.replica.as_str(), "b");
}
