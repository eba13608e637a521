//! The list of instances: polled, lagging, and with entries that can't be read.

use {
    crate::common::{
        platform,
        run, //
    },
    kvstore::{
        Instances,
        Options,
        State, //
    },
    standins::platform::{
        Handle,
        Instance,
        Role, //
    },
    std::time::Duration,
};

fn router(name: &str, zone: &str) -> Instance {
    Instance {
        name: name.to_owned(),
        role: Role::Router,
        service: None,
        addr: ([127, 0, 0, 1], 7000).into(),
        callers: Some(([127, 0, 0, 1], 7001).into()),
        zone: zone.to_owned(),
        state: Default::default(),
    }
}

fn poller(platform: &Handle) -> Instances {
    Instances::new(Options::new(platform.addr, "a"))
}

#[test]
fn poll_changes_only() {
    run(async {
        let platform = platform().await;
        let mut poller = poller(&platform);
        platform.put_instances(vec![router("r1", "a"), router("r2", "b")]);
        let list = poller.poll().await.unwrap().unwrap();
        let names: Vec<_> = list.instances.iter().map(|i| &*i.name).collect();
        assert_eq!(names, ["r1", "r2"]);
        assert_eq!(poller.poll().await, Ok(None));
        platform.set_state("r2", standins::platform::State::Leaving);
        let list = poller.poll().await.unwrap().unwrap();
        assert_eq!(list.instances[1].state, State::Leaving);
        platform.remove_instance("r2");
        let list = poller.poll().await.unwrap().unwrap();
        assert_eq!(list.instances.len(), 1);
    });
}

#[test]
fn poll_lagging_list() {
    run(async {
        let platform = platform().await;
        let mut poller = poller(&platform);
        platform.put_instances(vec![router("r1", "a")]);
        poller.poll().await.unwrap();
        platform.set_lag(Duration::from_secs(3600));
        platform.set_state("r1", standins::platform::State::Leaving);
        assert_eq!(poller.poll().await, Ok(None));
        platform.set_lag(Duration::ZERO);
        let list = poller.poll().await.unwrap().unwrap();
        assert_eq!(list.instances[0].state, State::Leaving);
    });
}

// One instance has a zone with a space in it. The routers would see no instance at all, as
// the whole list fails to parse. Only the bad entry is left out.
#[test]
fn poll_bad_entry() {
    run(async {
        let platform = platform().await;
        let mut poller = poller(&platform);
        platform.put_instances(vec![router("r1", "hall a"), router("r2", "b")]);
        let list = poller.poll().await.unwrap().unwrap();
        assert_eq!(list.instances.len(), 1);
        assert_eq!(list.instances[0].name, "r2");
    });
}
