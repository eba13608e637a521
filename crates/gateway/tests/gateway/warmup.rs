//! Replicas that are cold after they started.

use {
    crate::{
        fleet::{
            echo,
            start_pair_with, //
        },
        harness::{
            entry,
            wait_until,
            FakeStore,
            TestGateway, //
        },
        replica::{
            ok_answer,
            Replica,
            Step, //
        },
    },
    std::{
        sync::{
            Arc,
            Mutex, //
        },
        thread,
        time::{
            Duration,
            Instant, //
        },
    },
};

/// Requests that one router may send to a cold replica in a second, with [`config`].
const PART: usize = 4;
/// A router sends no requests to cold replicas before it has been active for this long.
const MIN_ACTIVE_TIME: Duration = Duration::from_millis(2_300);

/// A configuration in which all routers together may send 32 requests per second to a cold replica.
fn config() -> Vec<u8> {
    br#"{"version":1,"keys":{},"timeout":60000,"cold-requests":32}"#.to_vec()
}

fn store_of(replica: &Replica) -> FakeStore {
    FakeStore {
        config: config(),
        ..FakeStore::with_replica(replica)
    }
}

fn start(replica: &Replica) -> TestGateway {
    let store = Arc::new(Mutex::new(store_of(replica)));
    let gw = TestGateway::start_with(store, "g1", |s| s.bounds.cold_excess = Some(1.0));
    gw.wait_ready();
    gw
}

/// A replica that answers later than others, so that it is not preferred.
fn slow_echo() -> Replica {
    Replica::start(|_, seen| {
        vec![
            Step::Pause(Duration::from_millis(40)),
            Step::Send(ok_answer(seen, "ok")),
        ]
    })
}

/// Sends requests for a while. Returns how many the replica got of them in the second in which it
/// got most.
fn most_in_a_second(gw: &TestGateway, replica: &Replica, span: Duration) -> usize {
    let (begun, mut arrived) = (Instant::now(), Vec::new());
    while begun.elapsed() < span {
        let before = replica.seen().len();
        assert_eq!(gw.get("/open/a", "1").status, 200);
        arrived.extend((before..replica.seen().len()).map(|_| begun.elapsed()));
    }
    let within = |from: &Duration| {
        let until = *from + Duration::from_secs(1);
        arrived
            .iter()
            .filter(|at| (*from..until).contains(*at))
            .count()
    };
    arrived.iter().map(within).max().unwrap_or(0)
}

/// Guards against a replica that crashes right after its start because it gets as many requests as
/// the others.
#[test]
fn warmup_of_a_new_replica() {
    let (old, new) = (slow_echo(), echo());
    let gw = start(&old);
    thread::sleep(MIN_ACTIVE_TIME);
    gw.store.lock().unwrap().replicas.push(entry("i-2", &new));
    wait_until(|| {
        gw.get("/open/a", "1");
        !new.seen().is_empty()
    });
    let most = most_in_a_second(&gw, &new, Duration::from_millis(1_700));
    assert!((1..=PART).contains(&most), "{most}");
    // It is warm at last.
    wait_until(|| most_in_a_second(&gw, &new, Duration::from_millis(300)) > PART);
}

/// Guards against a zone's replicas that crash when its evacuation ends, as they grew cold
/// meanwhile and restarted under no other id.
#[test]
fn warmup_after_an_evacuation() {
    let (slow, quick) = (slow_echo(), echo());
    let gw = start(&slow);
    {
        let mut store = gw.store.lock().unwrap();
        store.replicas[0].zone = "z2".parse().unwrap();
        store.replicas.push(entry("i-2", &quick));
    }
    gw.evacuate("z1", true);
    gw.wait_synced();
    // Longer than it is cold after it was listed.
    thread::sleep(Duration::from_millis(3_600));
    let before = quick.seen().len();
    gw.evacuate("z1", false);
    wait_until(|| {
        gw.get("/open/a", "1");
        quick.seen().len() > before
    });
    let most = most_in_a_second(&gw, &quick, Duration::from_millis(1_700));
    assert!((1..=PART).contains(&most), "{most}");
}

/// Guards against a router that starts while a replica is cold, and sends it requests before it
/// knows the other routers.
#[test]
fn warmup_at_a_router_that_starts() {
    let (old, new) = (slow_echo(), echo());
    let first = start(&old);
    thread::sleep(MIN_ACTIVE_TIME);
    first
        .store
        .lock()
        .unwrap()
        .replicas
        .push(entry("i-2", &new));
    wait_until(|| {
        first.get("/open/a", "1");
        !new.seen().is_empty()
    });
    let second = start_pair_with(&first, store_of(&old), |s| s.bounds.cold_excess = Some(1.0));
    second
        .store
        .lock()
        .unwrap()
        .replicas
        .push(entry("i-2", &new));
    second.wait_ready();
    // The first one reports the cold replica with its next hello.
    thread::sleep(Duration::from_millis(400));
    let before = new.seen().len();
    for _ in 0..20 {
        let got = second.get("/open/a", "1");
        assert_eq!(got.status, 200, "{got:?}");
    }
    assert_eq!(new.seen().len(), before);
}
