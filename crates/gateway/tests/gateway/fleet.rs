//! Several gateways, and a store that is unavailable to some of them.

use {
    crate::{
        harness::{
            wait_until,
            FakeStore,
            StoreFault,
            TestGateway, //
        },
        replica::{
            ok_answer,
            Replica,
            Step, //
        },
    },
    gateway::{
        Settings,
        State,
        StoreError, //
    },
    std::{
        sync::{
            Arc,
            Mutex, //
        },
        time::{
            Duration,
            Instant, //
        },
    },
};

pub(crate) fn start_pair(replica: &Replica) -> (TestGateway, TestGateway) {
    let first = TestGateway::start(&[("i-1", replica)]);
    let store = {
        let store = first.store.lock().unwrap();
        FakeStore {
            config: store.config.clone(),
            replicas: store.replicas.clone(),
            ..FakeStore::default()
        }
    };
    let second = start_pair_with(&first, store, |_| {});
    second.wait_ready();
    (first, second)
}

/// Starts a second gateway beside a first one, with a store of its own.
pub(crate) fn start_pair_with(
    first: &TestGateway,
    store: FakeStore,
    change: impl FnOnce(&mut Settings),
) -> TestGateway {
    let seed = first.settings.listen.peers;
    // Instances receive messages at the same port of different addresses.
    TestGateway::start_with(Arc::new(Mutex::new(store)), "g2", |settings| {
        settings.listen.peers.set_ip("127.0.0.2".parse().unwrap());
        settings.listen.peers.set_port(seed.port());
        settings.fleet.seeds = vec![seed];
        change(settings);
    })
}

/// Starts a gateway that knows of a first one only what that wrote into the store.
pub(crate) fn start_after(first: &TestGateway) -> TestGateway {
    let store = {
        let store = first.store.lock().unwrap();
        FakeStore {
            config: store.config.clone(),
            revision: 1,
            replicas: store.replicas.clone(),
            registered: store.registered.clone(),
            ..FakeStore::default()
        }
    };
    let second = TestGateway::start_with(Arc::new(Mutex::new(store)), "g2", |_| {});
    second.wait_ready();
    // It reads the entries of other routers half a second after its start.
    wait_until(|| advertised_addresses(&second).len() == 2);
    second
}

/// Returns the addresses that an instance lists for callers.
pub(crate) fn advertised_addresses(gw: &TestGateway) -> Vec<String> {
    let mut caller = crate::caller::Caller::open(gw.settings.listen.addresses);
    let body = caller.get("/addresses", "-", "").body;
    body.split(' ').map(str::to_owned).collect()
}

/// Starts a replica that answers every request.
pub(crate) fn echo() -> Replica {
    Replica::start(|_, seen| vec![Step::Send(ok_answer(seen, "ok"))])
}

#[test]
fn fleet_config_from_a_peer() {
    // A key is revoked while the store is unavailable to one instance. Without its peers, the
    // instance would accept the key until the store is back.
    for how in StoreFault::ALL {
        let replica = echo();
        let (first, second) = start_pair(&replica);
        second.store.lock().unwrap().fault = Some(how);
        assert_eq!(second.get("/again/a", "1").status, 200);
        first.put_config(br#"{"version":9,"keys":{"k2":"w2"},"timeout":3000}"#.to_vec());
        wait_until(|| second.get("/again/a", "2").status == 401);
    }
}

#[test]
fn fleet_leaving_replica_from_a_peer() {
    // The leaving replica is the faster one, so it would be chosen for the requests.
    for how in StoreFault::ALL {
        let a = echo();
        let b = Replica::start(|_, seen| {
            vec![
                Step::Pause(Duration::from_millis(40)),
                Step::Send(ok_answer(seen, "ok")),
            ]
        });
        let (first, second) = start_pair(&a);
        for gw in [&first, &second] {
            let mut store = gw.store.lock().unwrap();
            store.replicas.push(crate::harness::entry("i-2", &b));
        }
        wait_until(|| {
            second.get("/again/a", "1");
            !b.seen().is_empty()
        });
        second.store.lock().unwrap().fault = Some(how);
        first.store.lock().unwrap().replicas[0].state = State::Draining;
        wait_until(|| {
            let before = a.seen().len();
            (0..6).all(|n| second.get("/again/a", &n.to_string()).status == 200)
                && a.seen().len() == before
        });
    }
}

#[test]
fn fleet_new_replica_from_a_peer() {
    // Replicas are replaced one after the other while the store is unavailable to one instance. If
    // its peers reported only the leaving replicas but not the new ones, it would end up without
    // any.
    for how in StoreFault::ALL {
        let (a, b) = (echo(), echo());
        let (first, second) = start_pair(&a);
        second.store.lock().unwrap().fault = Some(how);
        first.store.lock().unwrap().replicas[0] = crate::harness::entry("i-2", &b);
        wait_until(|| {
            second.get("/again/a", "1");
            !b.seen().is_empty()
        });
    }
}

#[test]
fn fleet_addresses_list_both() {
    let replica = echo();
    let (first, second) = start_pair(&replica);
    wait_until(|| advertised_addresses(&first).len() == 2);
    assert!(advertised_addresses(&first).contains(&second.settings.listen.callers.to_string()));
}

/// Guards against a router that serves by an old configuration and list for good, since a task that
/// follows the store panicked.
#[test]
fn fleet_tasks_that_panic() {
    let (a, b) = (echo(), echo());
    let store = FakeStore {
        config: crate::harness::config(1),
        revision: 1,
        replicas: vec![crate::harness::entry("i-1", &a)],
        panics: 3,
        ..FakeStore::default()
    };
    let gw = TestGateway::start_with(Arc::new(Mutex::new(store)), "g1", |_| {});
    gw.wait_ready();
    assert_eq!(gw.get("/again/a", "1").status, 200);
    gw.store.lock().unwrap().panics = 3;
    wait_until(|| gw.store.lock().unwrap().panics == 0);
    gw.store.lock().unwrap().replicas = vec![crate::harness::entry("i-2", &b)];
    gw.put_config(br#"{"version":9,"keys":{"k2":"w2"},"timeout":3000}"#.to_vec());
    wait_until(|| gw.get("/again/a", "2").status == 401);
    gw.put_config(crate::harness::config(10));
    wait_until(|| gw.get("/again/a", "3").status == 200 && !b.seen().is_empty());
    wait_until(|| !gw.store.lock().unwrap().registered.is_empty());
}

/// Guards against routers that together exceed the rate of reads while a list can't be read.
#[test]
fn fleet_list_that_is_unreadable() {
    let form = StoreError::Form("it is no list".to_owned());
    for error in [form, StoreError::Refused(400)] {
        let replica = echo();
        let store = FakeStore {
            config: crate::harness::config(1),
            revision: 1,
            replicas: vec![crate::harness::entry("i-1", &replica)],
            list_error: Some(error.clone()),
            ..FakeStore::default()
        };
        let begun = Instant::now();
        let gw = TestGateway::start_with(Arc::new(Mutex::new(store)), "g1", |_| {});
        wait_until(|| gw.store.lock().unwrap().list_calls >= 5);
        let delays = Duration::from_millis(150 + 300 + 600 + 1_200);
        assert!(begun.elapsed() >= delays, "{error}: {:?}", begun.elapsed());
        assert!(!gw.ready());
        gw.store.lock().unwrap().list_error = None;
        gw.wait_ready();
        assert_eq!(gw.get("/again/a", "1").status, 200);
    }
}
