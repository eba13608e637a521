//! Engines in other availability zones.

use {
    crate::{
        fleet::echo,
        harness::{
            entry,
            FakeStore,
            TestGateway, //
        },
        replica::Replica,
    },
    std::sync::{
        Arc,
        Mutex, //
    },
};

/// Returns how many of 40 requests with different documents go to an engine in another zone, given
/// the latency target in milliseconds.
fn crossing(target: u32) -> usize {
    let (own, other) = (echo(), echo());
    let config = format!(
        r#"{{"version":1,"keys":{{"k1":"w1"}},"timeout":60000,"stream-target":{target},"memory":200000}}"#
    );
    let mut store = FakeStore {
        config: config.into_bytes(),
        ..FakeStore::with_replica(&own)
    };
    let mut remote = entry("i-2", &other);
    remote.zone = "z2".parse().unwrap();
    store.replicas.push(remote);
    let gw = TestGateway::start_with(Arc::new(Mutex::new(store)), "g1", |_| {});
    gw.wait_ready();
    for n in 0..40 {
        let prompt = format!("X-Prompt: {n:x},ff\r\nX-Tokens: 1000\r\n");
        let answer = gw.caller().get("/again/a", &n.to_string(), &prompt);
        assert_eq!(answer.status, 200);
    }
    let seen = |replica: &Replica| replica.seen().len();
    assert_eq!(seen(&own) + seen(&other), 40);
    seen(&other)
}

/// Guards against requests of tolerant services that cross zones, and against zones that affect
/// others.
#[test]
fn zones_decide_for_tolerant_services_only() {
    assert_eq!(crossing(800), 0);
    assert!((5..35).contains(&crossing(300)));
}
