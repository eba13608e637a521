//! Several gateways, and a store that turns some of them away.

use {
    crate::{
        replica::{
            good,
            Replica,
            Step, //
        },
        stage::{
            wait,
            Down,
            Stage, //
        },
    },
    gateway::State,
    std::{
        sync::{
            Arc,
            Mutex, //
        },
        time::Duration,
    },
};

pub(crate) fn pair(replica: &Replica) -> (Stage, Stage) {
    let first = Stage::start(&[("i-1", replica)]);
    let seed = first.settings.listen.peers;
    let world = {
        let world = first.world.lock().unwrap();
        crate::stage::World {
            config: world.config.clone(),
            replicas: world.replicas.clone(),
            ..crate::stage::World::default()
        }
    };
    // Instances hear each other at the same port of different addresses.
    let second = Stage::within(Arc::new(Mutex::new(world)), "g2", |settings| {
        settings.listen.peers.set_ip("127.0.0.2".parse().unwrap());
        settings.listen.peers.set_port(seed.port());
        settings.fleet.seeds = vec![seed];
    });
    second.wait_ready();
    (first, second)
}

/// Returns the addresses that an instance names to callers.
pub(crate) fn named(stage: &Stage) -> Vec<String> {
    let mut caller = crate::caller::Caller::open(stage.settings.listen.addresses);
    let body = caller.get("/addresses", "-", "").body;
    body.split(' ').map(str::to_owned).collect()
}

/// Starts a replica that answers each request.
pub(crate) fn echo() -> Replica {
    Replica::start(|_, seen| vec![Step::Send(good(seen, "ok"))])
}

#[test]
fn fleet_config_from_a_peer() {
    // The store turns one instance away while a key is taken away. The instance would serve
    // that key's callers for as long as it is turned away.
    for how in Down::ALL {
        let replica = echo();
        let (first, second) = pair(&replica);
        second.world.lock().unwrap().down = Some(how);
        assert_eq!(second.get("/again/a", "1").status, 200);
        first.put(br#"{"version":9,"keys":{"k2":"w2"},"timeout":3000}"#.to_vec());
        wait(|| second.get("/again/a", "2").status == 401);
    }
}

#[test]
fn fleet_leaving_replica_from_a_peer() {
    // The one that leaves is the quicker one, so it would get the requests.
    for how in Down::ALL {
        let a = echo();
        let b = Replica::start(|_, seen| {
            vec![
                Step::Pause(Duration::from_millis(40)),
                Step::Send(good(seen, "ok")),
            ]
        });
        let (first, second) = pair(&a);
        for stage in [&first, &second] {
            let mut world = stage.world.lock().unwrap();
            world.replicas.push(crate::stage::entry("i-2", &b));
        }
        wait(|| {
            second.get("/again/a", "1");
            !b.seen().is_empty()
        });
        second.world.lock().unwrap().down = Some(how);
        first.world.lock().unwrap().replicas[0].state = State::Draining;
        wait(|| {
            let before = a.seen().len();
            (0..6).all(|n| second.get("/again/a", &n.to_string()).status == 200)
                && a.seen().len() == before
        });
    }
}

#[test]
fn fleet_new_replica_from_a_peer() {
    // The store turns one instance away while replicas are replaced one after the other. It
    // learnt from its peers which had left, but of no new one, and in the end knew none.
    for how in Down::ALL {
        let (a, b) = (echo(), echo());
        let (first, second) = pair(&a);
        second.world.lock().unwrap().down = Some(how);
        first.world.lock().unwrap().replicas[0] = crate::stage::entry("i-2", &b);
        wait(|| {
            second.get("/again/a", "1");
            !b.seen().is_empty()
        });
    }
}

#[test]
fn fleet_addresses_name_both() {
    let replica = echo();
    let (first, second) = pair(&replica);
    wait(|| named(&first).len() == 2);
    assert!(named(&first).contains(&second.settings.listen.callers.to_string()));
}
