//! A store that comes back from an older copy.

use {
    crate::{
        fleet::echo,
        replica::Replica,
        stage::{
            wait,
            Down,
            Stage,
            World, //
        },
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

/// Starts a gateway whose entry stands in the store, and lets the store lose that entry while it
/// gives the entry's lease to another router.
fn lease_given_twice(replica: &Replica) -> Stage {
    let stage = Stage::start(&[("i-1", replica)]);
    wait(|| stage.world.lock().unwrap().registered.contains_key("g1"));
    let mut world = stage.world.lock().unwrap();
    let lease = lease_of(&world, "g1").unwrap();
    world.leases = BTreeMap::from([(lease, "g9".to_owned())]);
    world.registered = BTreeMap::from([("g9".to_owned(), Vec::new())]);
    drop(world);
    stage
}

/// Does the same with a store that tells routers that it came back.
fn lease_of_another_era(replica: &Replica) -> Stage {
    let stage = lease_given_twice(replica);
    stage.world.lock().unwrap().era += 1;
    stage
}

fn lease_of(world: &World, name: &str) -> Option<u64> {
    world.lease_of(name)
}

fn lease_under(stage: &Stage, name: &str) -> Option<u64> {
    lease_of(&stage.world.lock().unwrap(), name)
}

/// Guards against a configuration that is skipped, as it was written under a revision that the store
/// gives out a second time.
#[test]
fn config_of_a_store_that_went_back() {
    let replica = echo();
    let stage = Stage::start(&[("i-1", &replica)]);
    stage.world.lock().unwrap().revision = 9;
    stage.put(br#"{"version":2,"keys":{"k1":"w1"},"timeout":3000}"#.to_vec());
    stage.wait_told();
    stage.world.lock().unwrap().down = Some(Down::Reset);
    wait(|| stage.world.lock().unwrap().failed > 0);
    let newer = br#"{"version":3,"keys":{"k2":"w2"},"timeout":3000}"#.to_vec();
    stage.go_back(5, newer, 12);
    stage.world.lock().unwrap().down = None;
    wait(|| stage.get("/again/a", "1").status == 401);
}

/// Guards against an entry that is lost for good, as its lease was given to another router.
#[test]
fn entry_of_a_lease_given_twice() {
    let replica = echo();
    let stage = lease_given_twice(&replica);
    wait(|| stage.world.lock().unwrap().registered.contains_key("g1"));
}

/// Guards against an entry that is lost for good, though the store tells that it came back.
#[test]
fn entry_of_a_lease_of_another_era() {
    let replica = echo();
    let stage = lease_of_another_era(&replica);
    wait(|| stage.world.lock().unwrap().registered.contains_key("g1"));
}

/// Guards against an entry that stays lost where only a peer has heard from the store since it went
/// back.
#[test]
fn entry_after_a_peer_named_the_era() {
    let replica = echo();
    let hears = Stage::start(&[("i-1", &replica)]);
    wait(|| lease_under(&hears, "g1").is_some());
    let lease = lease_under(&hears, "g1");
    // The store names no era to this one, as to one whose calls it turns away.
    let world = World {
        era: 1,
        era_told: 1,
        ..World::of(&replica)
    };
    let tells = Stage::within(Arc::new(Mutex::new(world)), "g2", |settings| {
        settings.fleet.seeds = vec![hears.settings.listen.peers];
        settings.listen.peers.set_ip("127.0.0.2".parse().unwrap());
        settings
            .listen
            .peers
            .set_port(hears.settings.listen.peers.port());
    });
    tells.wait_ready();
    wait(|| lease_under(&hears, "g1") > lease);
}

/// Guards against a router that ends another one's lease when it shuts down.
#[test]
fn shutdown_with_a_lease_given_twice() {
    let replica = echo();
    let mut stage = lease_given_twice(&replica);
    stage.end().join().unwrap();
    assert!(stage.world.lock().unwrap().registered.contains_key("g9"));
}

/// Guards against an entry that stands on for as long as its lease after its router shut down.
#[test]
fn shutdown_deletes_own_entry() {
    let replica = echo();
    let mut stage = Stage::start(&[("i-1", &replica)]);
    wait(|| stage.world.lock().unwrap().registered.contains_key("g1"));
    stage.end().join().unwrap();
    assert!(!stage.world.lock().unwrap().registered.contains_key("g1"));
}

/// Guards against a router that ends another one's lease when it shuts down, though the store tells
/// that it came back.
#[test]
fn shutdown_with_a_lease_of_another_era() {
    let replica = echo();
    let mut stage = lease_of_another_era(&replica);
    stage.end().join().unwrap();
    assert!(stage.world.lock().unwrap().registered.contains_key("g9"));
}

/// Guards against requests that are refused after the store came back from a copy in which the replicas
/// do not stand yet.
#[test]
fn replicas_of_a_store_that_went_back() {
    let replica = echo();
    let stage = Stage::start(&[("i-1", &replica)]);
    assert_eq!(stage.get("/again/a", "1").status, 200);
    let replicas = {
        let mut world = stage.world.lock().unwrap();
        world.era += 1;
        std::mem::take(&mut world.replicas)
    };
    let went_back = Instant::now();
    while went_back.elapsed() < Duration::from_millis(1_500) {
        assert_eq!(stage.get("/again/a", "2").status, 200);
        thread::sleep(Duration::from_millis(20));
    }
    stage.world.lock().unwrap().replicas = replicas;
    assert_eq!(stage.get("/again/a", "3").status, 200);
}

/// Guards against an entry that stays under a lease which was taken out before the store came back, and
/// may be another's.
#[test]
fn entry_written_after_the_store_went_back() {
    let replica = echo();
    let world = World {
        returns_after_lease: true,
        ..World::of(&replica)
    };
    let stage = Stage::within(Arc::new(Mutex::new(world)), "g1", |_| {});
    wait(|| lease_under(&stage, "g1").is_some_and(|lease| lease > 1));
}
