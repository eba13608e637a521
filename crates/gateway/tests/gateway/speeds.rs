//! Reading speeds of engines that routers share.

use {
    crate::{
        caller::Caller,
        fleet::start_pair_with,
        harness::{
            entry,
            wait_until,
            FakeStore,
            TestGateway, //
        },
        replica::{
            chunk,
            event,
            stream_head,
            Replica,
            Step, //
        },
    },
    gateway::Settings,
    std::{
        sync::{
            Arc,
            Mutex, //
        },
        time::Duration, //
    },
};

const CONFIG: &[u8] = br#"{"version":1,"keys":{"k1":"w1"},"timeout":3000,"engine-slots":8}"#;

/// An engine that takes 200 ms to the first event.
fn engine() -> Replica {
    Replica::start(|_, seen| {
        vec![
            Step::Send(stream_head(seen)),
            Step::Pause(Duration::from_millis(200)),
            Step::Send(chunk(&event(1))),
            Step::Send(chunk("")),
        ]
    })
}

fn store(engine: &Replica) -> FakeStore {
    FakeStore {
        config: CONFIG.to_vec(),
        revision: 1,
        replicas: vec![entry("i-1", engine)],
        ..FakeStore::default()
    }
}

/// Starts two gateways, and sends a prompt through the first one.
fn start_pair(change: impl Fn(&mut Settings)) -> (TestGateway, TestGateway) {
    let engine = engine();
    let first = Arc::new(Mutex::new(store(&engine)));
    let first = TestGateway::start_with(first, "g1", &change);
    first.wait_ready();
    let second = start_pair_with(&first, store(&engine), &change);
    second.wait_ready();
    let mut caller = first.caller();
    caller.send(
        b"POST /stream/1 HTTP/1.1\r\nHost: a.example\r\nX-Id: 1\r\nX-Key: k1\r\n\
          X-Prompt: 1,2\r\nX-Tokens: 3000\r\nContent-Length: 0\r\n\r\n",
    );
    assert_eq!(caller.answer().status, 200);
    (first, second)
}

fn state(gw: &TestGateway) -> String {
    let mut caller = Caller::open(gw.settings.listen.metrics);
    caller.get("/state", "-", "").body
}

#[test]
fn speeds_reach_the_peer() {
    let (_first, second) = start_pair(|settings| settings.placement.tolerant_ms = 300.0);
    wait_until(|| state(&second).contains("PeerSpeed {"));
}

/// Guards against changes for services with short targets, which use no shared speeds.
#[test]
fn speeds_not_shared_with_short_targets() {
    let (first, _second) = start_pair(|_| {});
    assert!(!state(&first).contains("EngineSpeed {"));
}
