use {
    super::{
        keep,
        make, //
    },
    crate::{
        conf::Settings,
        router::list::Taken, //
    },
    async_std::channel::{
        unbounded,
        Receiver,
        Sender, //
    },
    kvstore::{
        Instance,
        Listed,
        Role,
        State, //
    },
    std::sync::{
        atomic::{
            AtomicU32,
            Ordering, //
        },
        Arc,
    },
};

struct Clumsy {
    runs: AtomicU32,
    done: Sender<u32>,
}

async fn run(c: Arc<Clumsy>) {
    let run = c.runs.fetch_add(1, Ordering::SeqCst);
    assert!(run > 0, "the first run panics");
    c.done.send(run).await.unwrap();
}

#[async_std::test]
async fn keep_after_panic() {
    // Every request of a router waits until its deadline, though endpoints are idle. The
    // task that starts them had panicked, and the rest of the process went on.
    let (done, ended): (_, Receiver<u32>) = unbounded();
    let clumsy = Arc::new(Clumsy {
        runs: AtomicU32::new(0),
        done,
    });
    keep("run", &clumsy, run);
    assert_eq!(ended.recv().await, Ok(1));
}

#[async_std::test]
async fn take_list_many_routers() {
    // In a fleet of more than nine routers, one that was just started runs with a fixed
    // part of the slots for minutes. Its reports to the owner were thrown away: a way to
    // another router was made by the first heartbeat to it, and most are beaten seldom.
    let name = "router-0".parse().unwrap();
    let zone = "hall-a".parse().unwrap();
    let settings = Settings::loopback(name, zone, ([127, 0, 0, 1], 1).into());
    let router = Arc::new(make(settings));
    let instances = (0..14).map(|n| Instance {
        name: format!("router-{n}"),
        role: Role::Router,
        service: None,
        addr: ([127, 0, 0, 1], 9).into(),
        callers: Some(([127, 0, 0, 1], 9).into()),
        zone: "hall-a".parse().unwrap(),
        state: State::Live,
    });
    let listed = Listed {
        revision: 1,
        instances: instances.collect(),
    };
    router.take_list(listed, Taken::Always);
    for n in 1..14 {
        let id = format!("router-{n}").parse().unwrap();
        assert!(router.links.addr(&id).is_some(), "no way to {id}");
    }
}
