//! A store that is restored from an older backup.

use {
    crate::{
        fleet::echo,
        harness::{
            wait_until,
            FakeStore,
            StoreFault,
            TestGateway, //
        },
        replica::Replica,
    },
    std::{
        collections::BTreeMap,
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

/// Starts a gateway and waits for its entry in the store. The store then loses the entry, and gives
/// its lease to another router.
fn with_reassigned_lease(replica: &Replica) -> TestGateway {
    let gw = TestGateway::start(&[("i-1", replica)]);
    wait_until(|| gw.store.lock().unwrap().registered.contains_key("g1"));
    let mut store = gw.store.lock().unwrap();
    let lease = lease_of(&store, "g1").unwrap();
    store.leases = BTreeMap::from([(lease, "g9".to_owned())]);
    store.registered = BTreeMap::from([("g9".to_owned(), Vec::new())]);
    drop(store);
    gw
}

/// The same, with a store that reports the restore by a new era.
fn with_lease_of_old_era(replica: &Replica) -> TestGateway {
    let gw = with_reassigned_lease(replica);
    gw.store.lock().unwrap().era += 1;
    gw
}

fn lease_of(store: &FakeStore, name: &str) -> Option<u64> {
    store.lease_of(name)
}

fn current_lease(gw: &TestGateway, name: &str) -> Option<u64> {
    lease_of(&gw.store.lock().unwrap(), name)
}

/// Guards against ignoring a configuration whose revision the store had already used before a
/// restore.
#[test]
fn config_after_store_restore() {
    let replica = echo();
    let gw = TestGateway::start(&[("i-1", &replica)]);
    gw.store.lock().unwrap().revision = 9;
    gw.put_config(br#"{"version":2,"keys":{"k1":"w1"},"timeout":3000}"#.to_vec());
    gw.wait_synced();
    gw.store.lock().unwrap().fault = Some(StoreFault::Reset);
    wait_until(|| gw.store.lock().unwrap().failed_calls > 0);
    let newer = br#"{"version":3,"keys":{"k2":"w2"},"timeout":3000}"#.to_vec();
    gw.restore(5, newer, 12);
    gw.store.lock().unwrap().fault = None;
    wait_until(|| gw.get("/again/a", "1").status == 401);
}

/// Guards against losing a router's entry for good when its lease was given to another router.
#[test]
fn entry_with_reassigned_lease() {
    let replica = echo();
    let gw = with_reassigned_lease(&replica);
    wait_until(|| gw.store.lock().unwrap().registered.contains_key("g1"));
}

/// The same, with a store that reports the restore.
#[test]
fn entry_with_lease_of_old_era() {
    let replica = echo();
    let gw = with_lease_of_old_era(&replica);
    wait_until(|| gw.store.lock().unwrap().registered.contains_key("g1"));
}

/// Guards against losing a router's entry when the router learns of the restore only from a peer.
#[test]
fn entry_after_peer_reports_era() {
    let replica = echo();
    let first = TestGateway::start(&[("i-1", &replica)]);
    wait_until(|| current_lease(&first, "g1").is_some());
    let lease = current_lease(&first, "g1");
    // Reports no era to this gateway, like a store that rejects its calls.
    let store = FakeStore {
        era: 1,
        reported_era: 1,
        ..FakeStore::with_replica(&replica)
    };
    let second = TestGateway::start_with(Arc::new(Mutex::new(store)), "g2", |settings| {
        settings.fleet.seeds = vec![first.settings.listen.peers];
        settings.listen.peers.set_ip("127.0.0.2".parse().unwrap());
        settings
            .listen
            .peers
            .set_port(first.settings.listen.peers.port());
    });
    second.wait_ready();
    wait_until(|| current_lease(&first, "g1") > lease);
}

/// Guards against a router revoking the lease of another one on shutdown.
#[test]
fn shutdown_with_reassigned_lease() {
    let replica = echo();
    let mut gw = with_reassigned_lease(&replica);
    gw.end().join().unwrap();
    assert!(gw.store.lock().unwrap().registered.contains_key("g9"));
}

/// Guards against an entry that remains until its lease expires, after its router was shut down.
#[test]
fn shutdown_deletes_own_entry() {
    let replica = echo();
    let mut gw = TestGateway::start(&[("i-1", &replica)]);
    wait_until(|| gw.store.lock().unwrap().registered.contains_key("g1"));
    gw.end().join().unwrap();
    assert!(!gw.store.lock().unwrap().registered.contains_key("g1"));
}

/// Guards against a router revoking the lease of another one on shutdown, with a store that reports
/// the restore.
#[test]
fn shutdown_with_lease_of_old_era() {
    let replica = echo();
    let mut gw = with_lease_of_old_era(&replica);
    gw.end().join().unwrap();
    assert!(gw.store.lock().unwrap().registered.contains_key("g9"));
}

/// Guards against rejecting requests after the store was restored from a backup that doesn't list
/// the replicas yet.
#[test]
fn replicas_kept_after_store_restore() {
    let replica = echo();
    let gw = TestGateway::start(&[("i-1", &replica)]);
    assert_eq!(gw.get("/again/a", "1").status, 200);
    let replicas = {
        let mut store = gw.store.lock().unwrap();
        store.era += 1;
        std::mem::take(&mut store.replicas)
    };
    let restored_at = Instant::now();
    while restored_at.elapsed() < Duration::from_millis(1_500) {
        assert_eq!(gw.get("/again/a", "2").status, 200);
        thread::sleep(Duration::from_millis(20));
    }
    gw.store.lock().unwrap().replicas = replicas;
    assert_eq!(gw.get("/again/a", "3").status, 200);
}

/// Guards against keeping an entry under a lease from before the restore, which may now be another
/// router's.
#[test]
fn entry_rewritten_after_store_restore() {
    let replica = echo();
    let store = FakeStore {
        restored_after_lease: true,
        ..FakeStore::with_replica(&replica)
    };
    let gw = TestGateway::start_with(Arc::new(Mutex::new(store)), "g1", |_| {});
    wait_until(|| current_lease(&gw, "g1").is_some_and(|lease| lease > 1));
}
