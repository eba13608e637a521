use {
    super::test_fleet::{
        request,
        until,
        TestFleet, //
    },
    crate::router::{
        state::lock,
        Router, //
    },
    async_std::task,
    callers::DisconnectSignal,
    fastrand::Rng,
    standins::{
        engine,
        plain,
        Fault,
        Faults, //
    },
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::Arc,
        time::Duration, //
    },
};

const REQUESTS: u64 = 300;
const BODY: &str = r#"{"stream":true,"max_tokens":20,"messages":[]}"#;
const FAULTS: [Fault; 8] = [
    Fault::ResetUnread,
    Fault::ResetUnanswered,
    Fault::ResetAfterHead,
    Fault::Cut { after: 3 },
    Fault::WrongId,
    Fault::Refuse,
    Fault::Fail,
    Fault::Delay { ms: 30 },
];

/// Sends a request of a random profile, with a random deadline, whose caller may hang up.
async fn ask(fleet: Arc<TestFleet>, service: &str, seed: u64, ticket: String) {
    let mut rng = Rng::with_seed(seed);
    let profile = ["lookup", "batch", "renewal"][rng.usize(..3)];
    let mut sent = request(service, profile, BODY);
    sent.ticket = Some(ticket);
    sent.deadline = Some(Duration::from_millis(rng.u64(1..3000)));
    let gone = DisconnectSignal::new();
    if rng.bool() {
        let (gone, hang_up_after) = (gone.clone(), Duration::from_micros(rng.u64(..60_000)));
        task::spawn(async move {
            task::sleep(hang_up_after).await;
            gone.fire();
        });
    }
    fleet.ask_with_gone(rng.usize(..2), sent, gone).await;
}

fn idle(router: &Router) -> bool {
    let dump = lock(&router.dispatch).dump();
    let tickets = lock(&router.tickets).counts();
    dump.running == 0 && dump.queued == 0 && tickets.running == 0 && lock(&router.jobs).is_empty()
}

/// Sends requests that end in all possible ways, and waits until the routers are idle.
async fn run(service: &'static str, endpoint: SocketAddr, faults: &Faults) {
    let fleet = Arc::new(TestFleet::start(2, service, endpoint).await);
    let mut rng = Rng::with_seed(7);
    for _ in 0..REQUESTS {
        match rng.u8(..3) {
            0 => faults.order(FAULTS[rng.usize(..FAULTS.len())], 1),
            _ => faults.pass(),
        }
    }
    let mut tasks = Vec::new();
    let mut ticket = String::new();
    for seed in 0..REQUESTS {
        if ticket.is_empty() || rng.bool() {
            ticket = fleet.ticket(rng.usize(..2));
        }
        tasks.push(task::spawn(ask(
            fleet.clone(),
            service,
            seed,
            ticket.clone(),
        )));
        task::sleep(Duration::from_micros(rng.u64(..4000))).await;
    }
    for t in tasks {
        t.await;
    }
    for r in &fleet.routers {
        until("an idle router", || idle(&r.router)).await;
    }
}

fn assert_none_ran_twice(runs: BTreeMap<String, u32>) {
    let tickets = runs.iter().filter(|(id, _)| id.starts_with("router-"));
    let twice: Vec<_> = tickets.filter(|(_, n)| **n > 1).collect();
    assert!(twice.is_empty(), "ran twice: {twice:?}");
}

#[async_std::test]
async fn handle_ends_all() {
    // Guards against requests that are never finished on some path: callers that hang up,
    // endpoints that fail, deadlines and rejections. Their slots would be lost, their tickets
    // stay running, and the router would never end.
    let desk = plain::start(plain::Opts {
        work: Duration::from_millis(10),
        ..plain::Opts::default()
    });
    let desk = desk.await.unwrap();
    run("broker-desk", desk.addr, &desk.faults).await;
    assert_none_ran_twice(desk.runs());
}

#[async_std::test]
async fn handle_ends_all_streams() {
    // The same for streams that break, and for callers that hang up between two tokens.
    let engine = engine::start(engine::Opts {
        first: Duration::from_millis(2),
        gap: Duration::from_millis(1),
        ..engine::Opts::default()
    });
    let engine = engine.await.unwrap();
    run("drafting-llm", engine.addr, &engine.faults).await;
    assert_none_ran_twice(engine.runs());
}
