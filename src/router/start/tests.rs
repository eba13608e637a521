use {
    super::{
        new_router,
        supervise, //
    },
    crate::{
        conf::Settings,
        router::list::ListPolicy, //
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

struct PanicsOnce {
    runs: AtomicU32,
    done: Sender<u32>,
}

async fn run(c: Arc<PanicsOnce>) {
    let run = c.runs.fetch_add(1, Ordering::SeqCst);
    assert!(run > 0, "the first run panics");
    c.done.send(run).await.unwrap();
}

#[async_std::test]
async fn supervise_after_panic() {
    // Guards against requests waiting until their deadline while endpoints are idle, because
    // the task that starts them panicked and the rest of the process went on.
    let (done, ended): (_, Receiver<u32>) = unbounded();
    let task_state = Arc::new(PanicsOnce {
        runs: AtomicU32::new(0),
        done,
    });
    supervise("run", &task_state, run);
    assert_eq!(ended.recv().await, Ok(1));
}

#[async_std::test]
async fn accept_list_many_routers() {
    // Guards against a new router in a fleet of more than nine that runs with its static
    // fraction of the slots for minutes. Links were made by the first heartbeat to a router
    // only, which most routers get rarely, and reports to the owner were dropped until then.
    let name = "router-0".parse().unwrap();
    let zone = "hall-a".parse().unwrap();
    let settings = Settings::loopback(name, zone, ([127, 0, 0, 1], 1).into());
    let router = Arc::new(new_router(settings));
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
    router.accept_list(listed, ListPolicy::Always);
    for n in 1..14 {
        let id = format!("router-{n}").parse().unwrap();
        assert!(router.links.addr(&id).is_some(), "no link to {id}");
    }
}
