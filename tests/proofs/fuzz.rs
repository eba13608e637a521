//! Requests that may not be repeated, while two things go wrong at once.

use {
    crate::stage::{
        ask_again,
        draft,
        record,
        spawn_send,
        tickets,
        Fleet,
        Loss,
        Plan,
        Reply,
        Signal,
        Work, //
    },
    async_std::{
        future::timeout,
        task::{
            block_on,
            sleep,
            JoinHandle, //
        },
    },
    fastrand::Rng,
    policy::Outcome,
    standins::{
        platform::Down,
        Fault, //
    },
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        time::Duration, //
    },
};

/// Requests in a run of CI; `CHERVILWIND_FUZZ_CASES` asks for more, and
/// `CHERVILWIND_FUZZ_SEED` draws others.
const CASES: usize = 240;
/// Requests that are under way while the same two things go wrong.
const PER_ROUND: usize = 20;
const SEED: u64 = 0x6c65_7474_6572;
/// A caller's time for a request.
const DEADLINE: Duration = Duration::from_secs(4);

/// Something that goes wrong.
#[derive(Debug, Clone, Copy)]
enum Trouble {
    Kill(usize),
    Pause(usize),
    Part(usize),
    /// What the first sends to the second is lost.
    Deaf(usize, usize),
    /// Open connections to this router go silent.
    Silence(usize),
    Platform(Down),
    Endpoints(Fault),
}

/// One request that may not be repeated, and what its caller was told.
struct Case {
    work: Work,
    ticket: String,
    told: Vec<Result<Reply, Loss>>,
}

/// Guards against a request that runs twice when its answer is lost while unrelated parts fail.
#[test]
fn ticket_two_failures() {
    let cases = number("CHERVILWIND_FUZZ_CASES").map_or(CASES, |n| n as usize);
    let mut rng = Rng::with_seed(number("CHERVILWIND_FUZZ_SEED").unwrap_or(SEED));
    let mut fleet = Fleet::start(Plan {
        work: Duration::from_millis(30),
        ..Plan::default()
    });
    let mut ends: BTreeMap<String, u32> = BTreeMap::new();
    for round in 0..cases / PER_ROUND {
        let troubles = [trouble(&mut rng), trouble(&mut rng)];
        let cases = play(&mut fleet, round, troubles, &mut rng);
        for case in cases {
            let end = judge(&fleet, &case, &mut rng, &troubles);
            let killed = troubles.iter().any(|t| matches!(t, Trouble::Kill(_)));
            let with = if killed {
                "router killed"
            } else {
                "none killed"
            };
            *ends.entry(format!("{with}: {end}")).or_default() += 1;
        }
    }
    println!("of {cases} requests in two failures each: {ends:?}");
}

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok().map(|n| n.parse().unwrap())
}

fn trouble(rng: &mut Rng) -> Trouble {
    let r = rng.usize(..3);
    match rng.u32(..16) {
        0 | 1 => Trouble::Kill(r),
        2 | 3 => Trouble::Pause(r),
        4 | 5 => Trouble::Part(r),
        6 => Trouble::Deaf(r, (r + 1) % 3),
        7 => Trouble::Silence(r),
        8 => Trouble::Platform(Down::Hang),
        9 => Trouble::Platform(Down::Refuse),
        10 => Trouble::Endpoints(Fault::ResetUnread),
        11 => Trouble::Endpoints(Fault::ResetUnanswered),
        12 => Trouble::Endpoints(Fault::Cut { after: 3 }),
        13 => Trouble::Endpoints(Fault::Silent),
        14 => Trouble::Endpoints(Fault::WrongId),
        _ => Trouble::Endpoints(Fault::Refuse),
    }
}

/// Sends requests, lets things go wrong meanwhile, and mends them.
fn play(fleet: &mut Fleet, round: usize, troubles: [Trouble; 2], rng: &mut Rng) -> Vec<Case> {
    let mut cases: Vec<Case> = (0..PER_ROUND)
        .map(|n| case(fleet, (round * PER_ROUND + n) as u32, rng))
        .collect();
    let first = send_all(fleet, &cases, rng);
    for t in troubles {
        pause(rng);
        begin(fleet, t);
    }
    pause(rng);
    let second = send_all(fleet, &cases, rng);
    for tries in [first, second] {
        for (case, task) in cases.iter_mut().zip(tries) {
            let patience = Duration::from_millis(rng.u64(50..400));
            case.told.push(block_on(hear(task, patience)));
        }
    }
    for t in troubles {
        end(fleet, t);
    }
    fleet.wait_ready();
    cases
}

fn case(fleet: &Fleet, n: u32, rng: &mut Rng) -> Case {
    let mut work = match rng.bool() {
        true => record("claim", n),
        false => draft("renewal", n, 12),
    };
    work.call.deadline = Some(DEADLINE);
    let issuer = router(fleet, rng);
    let tickets = block_on(tickets(issuer, work.call.service.as_str(), 1));
    Case {
        work,
        ticket: tickets.expect("all is well").remove(0),
        told: Vec::new(),
    }
}

fn router(fleet: &Fleet, rng: &mut Rng) -> SocketAddr {
    fleet.routers[rng.usize(..fleet.routers.len())].callers
}

fn send_all(fleet: &Fleet, cases: &[Case], rng: &mut Rng) -> Vec<JoinHandle<Result<Reply, Loss>>> {
    let send = |c: &Case| spawn_send(router(fleet, rng), &c.work, Some(&c.ticket));
    cases.iter().map(send).collect()
}

/// Waits for an answer for a while, and hangs up then.
async fn hear(task: JoinHandle<Result<Reply, Loss>>, patience: Duration) -> Result<Reply, Loss> {
    let mut task = task;
    match timeout(patience, &mut task).await {
        Ok(told) => told,
        Err(_) => task.cancel().await.unwrap_or(Err(Loss::Silent)),
    }
}

fn pause(rng: &mut Rng) {
    block_on(sleep(Duration::from_millis(rng.u64(..40))));
}

fn begin(fleet: &mut Fleet, trouble: Trouble) {
    match trouble {
        Trouble::Kill(r) => fleet.routers[r].kill(),
        Trouble::Pause(r) => fleet.routers[r].signal(Signal::Stop),
        Trouble::Part(r) => fleet.part(&[r]),
        Trouble::Deaf(a, b) => {
            let from = fleet.routers[a].name.clone();
            fleet.routers[b].way.block(&from);
        }
        Trouble::Silence(r) => fleet.routers[r].way.silence(),
        Trouble::Platform(down) => fleet.platform.set_down(Some(down)),
        Trouble::Endpoints(fault) => {
            let engines = fleet.engines.iter().map(|e| &e.faults);
            let plains = fleet.plains.iter().map(|p| &p.faults);
            engines.chain(plains).for_each(|f| f.order(fault, 4));
        }
    }
}

fn end(fleet: &mut Fleet, trouble: Trouble) {
    match trouble {
        Trouble::Kill(r) => fleet.routers[r].start(),
        Trouble::Pause(r) => fleet.routers[r].signal(Signal::Cont),
        Trouble::Part(_) | Trouble::Deaf(..) | Trouble::Silence(_) => fleet.rejoin(),
        Trouble::Platform(_) => fleet.platform.set_down(None),
        Trouble::Endpoints(_) => {
            let engines = fleet.engines.iter().map(|e| &e.faults);
            let plains = fleet.plains.iter().map(|p| &p.faults);
            engines.chain(plains).for_each(standins::Faults::clear);
        }
    }
}

/// Asks for the last word on a request, and checks it against what ran.
fn judge(fleet: &Fleet, case: &Case, rng: &mut Rng, troubles: &[Trouble]) -> String {
    let runs = fleet.runs_of(&case.ticket);
    let told = &case.told;
    let all = |o| told.iter().all(|t| matches!(t, Ok(r) if r.outcome == o));
    let story = || format!("{troubles:?} {} {told:?}", case.ticket);
    if all(Outcome::NotRun) {
        assert_eq!(runs, 0, "{}", story());
    }
    for reply in told.iter().flatten() {
        if reply.outcome == Outcome::Answered {
            assert!(case.work.is_right(&reply.body), "{}", story());
        }
    }
    let last = ask_again(router(fleet, rng), &case.work, &case.ticket);
    let runs = fleet.runs_of(&case.ticket);
    assert!(runs <= 1, "ran {runs} times: {}", story());
    match last.outcome {
        Outcome::Answered => {
            assert!(case.work.is_right(&last.body), "{}", story());
            assert_eq!(runs, 1, "{}", story());
        }
        Outcome::NotRun => assert_eq!(runs, 0, "{}", story()),
        Outcome::MayHaveRun | Outcome::Failed => {}
    }
    last.outcome.to_string()
}
