//! Connections of callers at gateways with little and with much processor time.

use {
    crate::{
        caller::Caller,
        fleet::echo,
        harness::{
            FakeStore,
            TestGateway, //
        },
    },
    std::sync::{
        Arc,
        Mutex, //
    },
};

/// Connections that are opened at once: fewer than a gateway of 0.09 cores reads in 200 ms, so that
/// it keeps all of them however late its tasks run.
const CONNECTIONS: usize = 20;

fn serves_all(processor: f32) {
    let replica = echo();
    let store = Arc::new(Mutex::new(FakeStore::with_replica(&replica)));
    let gw = TestGateway::start_with(store, "g1", |s| s.instance.processor = processor);
    gw.wait_ready();
    let mut callers: Vec<Caller> = (0..CONNECTIONS).map(|_| gw.caller()).collect();
    for (n, caller) in callers.iter_mut().enumerate() {
        let got = caller.get("/open/a", &format!("id-{n}"), "");
        assert_eq!(got.status, 200, "{n}: {}", got.body);
    }
}

/// Guards against a small gateway that accepts connections without serving them.
#[test]
fn connections_at_small_gateway() {
    serves_all(0.09);
}

/// Guards against changes at gateways that have time enough.
#[test]
fn connections_at_large_gateway() {
    serves_all(0.5);
}
