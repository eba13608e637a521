//! Gateways that stand by and have many requests all the same.

use {
    crate::{
        caller::{
            get,
            Caller, //
        },
        replica::{
            Replica,
            Step, //
        },
        stage::{
            wait,
            Stage, //
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
const FULL: usize = 15;
/// Longer than any of these tests lasts.
const LONG: Duration = Duration::from_secs(60);

/// Starts a gateway that is active, and two that stand by.
fn three(replica: &Replica) -> (Stage, Stage, Stage) {
    let first = Stage::within(world(replica), "g1", |settings| {
        settings.fleet.min_active = 1;
        settings.instance.processor = 4.0;
    });
    let seed = first.settings.listen.peers;
    let others = [("g2", "127.0.0.2"), ("g3", "127.0.0.3")].map(|(name, ip)| {
        Stage::within(world(replica), name, |settings| {
            settings.fleet.min_active = 1;
            settings.instance.processor = 0.1;
            settings.listen.peers.set_ip(ip.parse().unwrap());
            settings.listen.peers.set_port(seed.port());
            settings.fleet.seeds = vec![seed];
        })
    });
    let [second, third] = others;
    for stage in [&first, &second, &third] {
        stage.wait_ready();
        let active = first.settings.listen.callers.to_string();
        wait(|| crate::fleet::named(stage) == [active.clone()]);
    }
    (first, second, third)
}

fn world(replica: &Replica) -> Arc<Mutex<crate::stage::World>> {
    Arc::new(Mutex::new(crate::stage::World::of(replica)))
}

/// Sends so many requests that the replica does not answer, each on a connection of its own.
fn hold(stage: &Stage, count: usize) -> Vec<Caller> {
    let held = (0..count).map(|n| {
        let mut caller = stage.caller();
        caller.send(get("/again/a", &format!("held-{n}"), "").as_bytes());
        caller
    });
    held.collect()
}

/// Waits until a gateway that has some requests itself refuses another, as the replica is full.
fn wait_full(stage: &Stage) {
    wait(|| {
        let got = stage
            .caller()
            .get("/again/a", "asked", "X-Deadline: 100\r\n");
        got.body.contains("are full")
    });
}

fn wait_seen(replica: &Replica, count: usize) {
    wait(|| replica.seen().len() == count);
}

/// Guards against instances that stand by sending on to replicas which active ones have filled.
#[test]
fn standby_knows_requests_of_active() {
    let replica = Replica::start(|_, _| vec![Step::Pause(LONG)]);
    let (first, _second, third) = three(&replica);
    let _own = hold(&third, 5);
    let _theirs = hold(&first, FULL - 5);
    wait_seen(&replica, FULL);
    wait_full(&third);
}

/// Guards against instances that stand by sending on to replicas which others that stand by have
/// filled.
#[test]
fn standby_knows_requests_of_standby() {
    let replica = Replica::start(|_, _| vec![Step::Pause(LONG)]);
    let (_first, second, third) = three(&replica);
    let _own = hold(&third, 5);
    let _theirs = hold(&second, FULL - 5);
    wait_seen(&replica, FULL);
    wait_full(&third);
}
