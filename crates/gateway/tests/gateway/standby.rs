//! Standby gateways with many requests of their own.

use {
    crate::{
        caller::{
            get_request,
            Caller, //
        },
        harness::{
            wait_until,
            TestGateway, //
        },
        replica::{
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

/// Requests that fill the replica: two and a half for each of its six slots.
const FULL_REQUESTS: usize = 15;
/// Longer than any of these tests runs.
const HOLD_TIME: Duration = Duration::from_secs(60);

/// Starts an active gateway and two standbys.
fn start_three(replica: &Replica) -> (TestGateway, TestGateway, TestGateway) {
    let first = TestGateway::start_with(shared_store(replica), "g1", |settings| {
        settings.fleet.min_active = 1;
        settings.instance.processor = 4.0;
    });
    let seed = first.settings.listen.peers;
    let others = [("g2", "127.0.0.2"), ("g3", "127.0.0.3")].map(|(name, ip)| {
        TestGateway::start_with(shared_store(replica), name, |settings| {
            settings.fleet.min_active = 1;
            settings.instance.processor = 0.1;
            settings.listen.peers.set_ip(ip.parse().unwrap());
            settings.listen.peers.set_port(seed.port());
            settings.fleet.seeds = vec![seed];
        })
    });
    let [second, third] = others;
    for gw in [&first, &second, &third] {
        gw.wait_ready();
        let active = first.settings.listen.callers.to_string();
        wait_until(|| crate::fleet::advertised_addresses(gw) == [active.clone()]);
    }
    (first, second, third)
}

fn shared_store(replica: &Replica) -> Arc<Mutex<crate::harness::FakeStore>> {
    Arc::new(Mutex::new(crate::harness::FakeStore::with_replica(replica)))
}

/// Sends requests that the replica doesn't answer, each on a connection of its own.
fn send_unanswered(gw: &TestGateway, count: usize) -> Vec<Caller> {
    let held = (0..count).map(|n| {
        let mut caller = gw.caller();
        caller.send(get_request("/again/a", &format!("held-{n}"), "").as_bytes());
        caller
    });
    held.collect()
}

/// Waits until a gateway with some running requests rejects another one because the replica is
/// full.
fn wait_rejected_as_full(gw: &TestGateway) {
    wait_until(|| {
        let got = gw.caller().get("/again/a", "asked", "X-Deadline: 100\r\n");
        got.body.contains("are full")
    });
}

fn wait_received(replica: &Replica, count: usize) {
    wait_until(|| replica.seen().len() == count);
}

/// Guards against standbys sending requests to replicas that active instances have filled.
#[test]
fn standby_knows_requests_of_active() {
    let replica = Replica::start(|_, _| vec![Step::Pause(HOLD_TIME)]);
    let (first, _second, third) = start_three(&replica);
    let _own = send_unanswered(&third, 5);
    let _theirs = send_unanswered(&first, FULL_REQUESTS - 5);
    wait_received(&replica, FULL_REQUESTS);
    wait_rejected_as_full(&third);
}

/// Guards against standbys sending requests to replicas that other standbys have filled.
#[test]
fn standby_knows_requests_of_standby() {
    let replica = Replica::start(|_, _| vec![Step::Pause(HOLD_TIME)]);
    let (_first, second, third) = start_three(&replica);
    let _own = send_unanswered(&third, 5);
    let _theirs = send_unanswered(&second, FULL_REQUESTS - 5);
    wait_received(&replica, FULL_REQUESTS);
    wait_rejected_as_full(&third);
}
