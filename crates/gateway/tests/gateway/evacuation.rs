//! Availability zones that operators evacuate.

use {
    crate::{
        caller::{
            get_request,
            Answer, //
        },
        fleet::{
            echo,
            start_pair_with, //
        },
        harness::{
            config,
            entry,
            wait_until,
            FakeStore,
            StoreFault,
            TestGateway, //
        },
        replica::{
            event,
            events,
            ok_answer,
            stream_head,
            Replica,
            Step, //
        },
    },
    std::{
        sync::{
            Arc,
            Mutex, //
        },
        time::Duration, //
    },
};

/// Longer than a replica may be silent before another one is tried.
const SILENCE: Duration = Duration::from_millis(2_500);

/// A store that lists the first replica in zone `z1` and the second one in `z2`.
fn store_of(replicas: [&Replica; 2]) -> FakeStore {
    let mut listed = vec![entry("i-1", replicas[0]), entry("i-2", replicas[1])];
    listed[1].zone = "z2".parse().unwrap();
    FakeStore {
        config: config(1),
        revision: 1,
        replicas: listed,
        ..FakeStore::default()
    }
}

fn start(replicas: [&Replica; 2]) -> TestGateway {
    let store = Arc::new(Mutex::new(store_of(replicas)));
    let gw = TestGateway::start_with(store, "g1", |_| {});
    gw.wait_ready();
    gw
}

/// Starts a second gateway, with a store of its own that fails.
fn start_peer(first: &TestGateway, replicas: [&Replica; 2], fault: StoreFault) -> TestGateway {
    let store = FakeStore {
        fault: Some(fault),
        ..store_of(replicas)
    };
    start_pair_with(first, store, |_| {})
}

/// Sends requests until a dozen in a row leave the replica out.
fn wait_avoided(gw: &TestGateway, replica: &Replica) {
    wait_until(|| {
        let before = replica.seen().len();
        (0..12).for_each(|n| assert_eq!(gw.get("/again/a", &n.to_string()).status, 200));
        replica.seen().len() == before
    });
}

/// A replica that answers later than others, so that it is not preferred.
fn slow_echo() -> Replica {
    Replica::start(|_, seen| {
        vec![
            Step::Pause(Duration::from_millis(30)),
            Step::Send(ok_answer(seen, "ok")),
        ]
    })
}

/// Guards against requests to the replicas of a zone that operators evacuate.
#[test]
fn evacuation_begins_and_ends() {
    let (a, b) = (echo(), slow_echo());
    let gw = start([&a, &b]);
    for _ in 0..2 {
        gw.evacuate("z1", true);
        wait_avoided(&gw, &a);
        let before = a.seen().len();
        gw.evacuate("z1", false);
        wait_until(|| {
            gw.get("/again/a", "1");
            a.seen().len() > before
        });
    }
}

/// Guards against serving on from an evacuated zone where no other is left.
#[test]
fn evacuation_of_all_zones() {
    let (a, b) = (echo(), echo());
    let gw = start([&a, &b]);
    gw.evacuate("z1", true);
    gw.evacuate("z2", true);
    wait_until(|| gw.get("/again/a", "1").status == 503);
    let got = gw.get("/once/a", "2");
    assert_eq!(got.status, 503);
    assert!(got.header("retry-after").is_some());
}

/// Guards against requests from a router that the store turns away and that learns of an evacuation
/// from its peers only.
#[test]
fn evacuation_from_a_peer() {
    for fault in StoreFault::ALL {
        let (a, b) = (echo(), slow_echo());
        let first = start([&a, &b]);
        let second = start_peer(&first, [&a, &b], fault);
        second.wait_ready();
        first.evacuate("z1", true);
        wait_avoided(&second, &a);
    }
}

/// Guards against requests from a router that starts during an evacuation and is ready before it
/// knows of it.
#[test]
fn evacuation_known_before_ready() {
    let (a, b) = (echo(), slow_echo());
    let first = start([&a, &b]);
    first.evacuate("z1", true);
    wait_avoided(&first, &a);
    let before = a.seen().len();
    let second = start_peer(&first, [&a, &b], StoreFault::Silent);
    wait_until(|| second.ready() || second.get("/again/a", "1").status == 200);
    wait_avoided(&second, &a);
    assert_eq!(a.seen().len(), before);
}

/// Guards against a stream that is resumed, and a request that is repeated, in an evacuated zone.
#[test]
fn evacuation_of_the_only_other_replica() {
    let a = echo();
    let b = Replica::start(|_, seen| {
        let mut steps = vec![Step::Pause(SILENCE)];
        if seen.head.contains("/resume/") {
            steps.insert(0, Step::Send(stream_head(seen)));
            steps.insert(1, Step::Send(events(1, 2)));
        }
        steps.push(Step::Close);
        steps
    });
    let gw = start([&a, &b]);
    gw.evacuate("z1", true);
    gw.wait_synced();
    let headers = "X-Deadline: 4000\r\n";
    let mut callers = Vec::new();
    for (n, path) in ["/resume/a", "/again/a"].iter().enumerate() {
        let mut caller = gw.caller();
        caller.send(get_request(path, &format!("r-{n}"), headers).as_bytes());
        callers.push(caller);
    }
    let got: Vec<Answer> = callers.iter_mut().map(|c| c.answer()).collect();
    assert!(!got[0].complete, "{got:?}");
    assert_ne!(got[1].status, 200, "{got:?}");
    assert!(a.seen().is_empty());
}

/// Guards against ending a stream that runs in a zone when the zone is evacuated.
#[test]
fn evacuation_lets_streams_end() {
    let a = Replica::start(|_, seen| {
        vec![
            Step::Send(stream_head(seen)),
            Step::Send(events(1, 2)),
            Step::Pause(Duration::from_millis(600)),
            Step::Send(events(3, 6)),
            Step::Send(b"0\r\n\r\n".to_vec()),
        ]
    });
    let b = echo();
    let gw = start([&a, &b]);
    gw.evacuate("z2", true);
    gw.wait_synced();
    let mut caller = gw.caller();
    caller.send(get_request("/resume/a", "1", "").as_bytes());
    caller.read_until("word-2");
    gw.evacuate("z1", true);
    gw.wait_synced();
    let got = caller.answer();
    let all: String = (1..=6).map(event).collect();
    assert_eq!((got.complete, got.body), (true, all));
    assert_eq!(a.seen().len(), 1);
}

/// Guards against requests to an evacuated zone after the store came back from a copy that lacks
/// the order.
#[test]
fn evacuation_after_store_restore() {
    let (a, b) = (echo(), slow_echo());
    let gw = start([&a, &b]);
    gw.evacuate("z1", true);
    wait_avoided(&gw, &a);
    let before = a.seen().len();
    {
        let mut store = gw.store.lock().unwrap();
        store.evacuated.clear();
        store.zone_changes.clear();
        store.revision = 1;
        store.era += 1;
    }
    gw.wait_synced();
    for n in 0..12 {
        assert_eq!(gw.get("/again/a", &n.to_string()).status, 200);
    }
    assert_eq!(a.seen().len(), before);
}
