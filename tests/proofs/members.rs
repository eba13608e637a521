//! Routers that others lose, and how they come together again.

use {
    crate::stage::{
        record,
        send,
        wait_for,
        Eye,
        Fleet,
        Load,
        Plan,
        Signal, //
    },
    async_std::task::{
        self,
        block_on, //
    },
    operators::{
        MemberState,
        State, //
    },
    policy::{
        DispatchDump,
        Outcome,
        RouterId, //
    },
    std::{
        collections::BTreeMap,
        thread::sleep,
        time::Duration, //
    },
};

/// Requests that go through each router at once, more than there are slots.
const FLOOD: u32 = 40;
/// Callers that flood a fleet of eight.
const CALLERS: u32 = 96;
/// After this, each router's status has been looked at.
const SEEN: Duration = Duration::from_millis(500);
/// How long the flood lasts.
const LASTS: Duration = Duration::from_secs(6);

fn fleet(routers: usize) -> Fleet {
    Fleet::start(Plan {
        routers,
        work: Duration::from_millis(5),
        ..Plan::default()
    })
}

/// Returns what `a` knows of `b`; none while `a` does not answer.
fn view(fleet: &Fleet, a: usize, b: usize) -> Option<MemberState> {
    let status = fleet.routers[a].status()?;
    let mut members = status.members.iter();
    let found = members.find(|m| m.name.as_str() == fleet.routers[b].name);
    Some(found.map_or(MemberState::Gone, |m| m.state))
}

/// Waits until `a` sees `b` in some way, and returns how long.
fn wait_view(fleet: &Fleet, a: usize, b: usize, is: impl Fn(MemberState) -> bool) -> Duration {
    let (_, took) = wait_for("a router sees another so", || {
        view(fleet, a, b).filter(|s| is(*s))
    });
    took
}

/// Waits until all others have given a router up, and prints how soon.
fn wait_given_up(fleet: &Fleet, lost: usize, by: &str) {
    let others = (0..fleet.routers.len()).filter(|a| *a != lost);
    let first = others.clone().next().expect("there are others");
    let suspected = wait_view(fleet, first, lost, |s| s != MemberState::Live);
    let mut gone = suspected;
    for a in others {
        gone += wait_view(fleet, a, lost, |s| s == MemberState::Gone);
    }
    println!("{by}: first silence noticed after {suspected:?}, given up by all after {gone:?}");
}

/// Sends more through every router than there are slots; each request must be answered, and
/// no work may stay behind.
fn all_flows(fleet: &Fleet) {
    let through = |r: usize| {
        let router = fleet.routers[r].callers;
        (0..FLOOD).map(move |n| {
            let work = record("standard", n);
            task::spawn(async move { send(router, &work, None).await })
        })
    };
    let calls: Vec<_> = (0..fleet.routers.len()).flat_map(through).collect();
    for call in calls {
        let reply = block_on(call).expect("nobody cuts it");
        assert_eq!(reply.outcome, Outcome::Answered, "{:?}", reply.why);
    }
    for r in &fleet.routers {
        wait_for("no work is left", || {
            let status = r.status()?;
            let left = |s: &operators::ServiceStatus| s.queued + s.running;
            (status.services.iter().map(left).sum::<u32>() == 0).then_some(())
        });
    }
}

/// Returns who owns each service's slots, as a router knows it.
fn owners(fleet: &Fleet, r: usize) -> Option<BTreeMap<String, Option<RouterId>>> {
    let body = block_on(operators::query(fleet.routers[r].operators, "/dump")).ok()?;
    let mut dump: serde_json::Value = serde_json::from_str(&body).ok()?;
    let dispatch: DispatchDump = serde_json::from_value(dump["dispatch"].take()).ok()?;
    let services = dispatch.services.into_iter();
    Some(services.map(|s| (s.service.to_string(), s.owner)).collect())
}

/// Waits until all routers see each other, agree who owns what, and work flows.
fn converged(fleet: &Fleet) {
    fleet.wait_ready();
    wait_for("all agree who owns what", || {
        let first = owners(fleet, 0)?;
        let mut rest = 1..fleet.routers.len();
        let agreed = rest.all(|r| owners(fleet, r).as_ref() == Some(&first));
        (agreed && first.values().all(Option::is_some)).then_some(())
    });
    all_flows(fleet);
}

/// Guards against callers that are directed to a dead router, and its slots that stay idle.
#[test]
fn kill_noticed() {
    let mut fleet = fleet(4);
    fleet.platform.set_lag(Duration::from_secs(86_400));
    fleet.routers[0].kill();
    wait_given_up(&fleet, 0, "killed");
    let rest: Vec<&str> = fleet.routers[1..].iter().map(|r| r.name.as_str()).collect();
    for r in 1..4 {
        wait_for("the others own all", || {
            let owners = owners(&fleet, r)?;
            let taken =
                |o: &Option<RouterId>| o.as_ref().is_some_and(|o| rest.contains(&o.as_str()));
            owners.values().all(taken).then_some(())
        });
    }
    fleet.routers[0].start();
    converged(&fleet);
}

/// Guards against a router that considers all others dead after its own process was paused.
#[test]
fn freeze_noticed() {
    let fleet = fleet(4);
    let eye = Eye::open(&fleet);
    sleep(SEEN);
    fleet.routers[1].signal(Signal::Stop);
    wait_given_up(&fleet, 1, "frozen");
    fleet.routers[1].signal(Signal::Cont);
    converged(&fleet);
    let missed: Vec<u32> = eye.looks().iter().map(|l| l.missed).collect();
    assert_eq!(missed[1], 0, "others that it took for silent: {missed:?}");
}

/// Guards against a slot that two routers grant after a partition.
#[test]
fn part_and_rejoin() {
    let fleet = fleet(4);
    fleet.part(&[2]);
    wait_given_up(&fleet, 2, "cut off");
    for other in [0, 1, 3] {
        wait_view(&fleet, 2, other, |s| s == MemberState::Gone);
    }
    all_flows(&fleet);
    fleet.rejoin();
    converged(&fleet);
}

/// Guards against a router that receives nothing and makes the others evict its sound peer.
#[test]
fn cut_one_way() {
    let fleet = fleet(4);
    let eye = Eye::open(&fleet);
    let name = fleet.routers[0].name.clone();
    fleet.routers[1].way.block(&name);
    // Long enough for suspicion and death, had nobody vouched.
    sleep(Duration::from_secs(4));
    all_flows(&fleet);
    let missed: Vec<u32> = eye.looks().iter().map(|l| l.missed).collect();
    println!("one way cut: routers missed by each {missed:?}");
    for r in [2, 3] {
        assert_eq!(view(&fleet, r, 0), Some(MemberState::Live));
    }
    fleet.rejoin();
    converged(&fleet);
}

/// Guards against a fleet that stays without a configuration after all routers restarted during an
/// outage.
#[test]
fn restart_all_at_once() {
    let mut fleet = fleet(4);
    fleet.name_seeds();
    fleet
        .platform
        .set_down(Some(standins::platform::Down::Hang));
    for r in &mut fleet.routers {
        r.kill();
    }
    for r in &mut fleet.routers {
        r.start();
    }
    for r in &fleet.routers {
        let (state, _) = wait_for("it answers", || Some(r.status()?.state));
        assert_eq!(state, State::Starting);
    }
    fleet.platform.set_down(None);
    converged(&fleet);
}

/// Guards against routers that are considered dead because load delays their heartbeats.
#[test]
fn flood_suspects() {
    let fleet = fleet(8);
    let eye = Eye::open(&fleet);
    let load = Load::begin(&fleet, CALLERS);
    sleep(LASTS);
    let seen = load.end();
    let looks = eye.looks();
    let missed: u32 = looks.iter().map(|l| l.missed).sum();
    println!(
        "{} requests answered by 8 routers in {LASTS:?}; a live router was wrongly missed \
         {missed} times",
        seen.answered
    );
    assert!(seen.cut.is_empty(), "{:?}", seen.cut);
    assert!(seen.wrong.is_empty(), "{:?}", seen.wrong);
    converged(&fleet);
}
