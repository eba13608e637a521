//! What the platform is asked for, and what its outages do.

use {
    crate::stage::{
        wait_for,
        Fleet,
        Load,
        Plan,
        Router, //
    },
    async_std::task::block_on,
    kvstore::{
        store::{
            self,
            Revision, //
        },
        Kv,
        Options, //
    },
    operators::FLEET,
    policy::head::WATCHER_COUNT,
    standins::platform::{
        Down,
        State, //
    },
    std::{
        collections::BTreeMap,
        thread::sleep,
        time::{
            Duration,
            Instant, //
        },
    },
};

/// Callers at work during an outage.
const CALLERS: u32 = 12;
/// How long each kind of outage lasts, in CI and with `CHERVILWIND_LONG=1`.
const SHORT: Duration = Duration::from_secs(3);
const LONG: Duration = Duration::from_secs(60);
/// Calls of each kind by each watcher before they are counted up.
const COUNTED: u64 = 4;

fn outage() -> Duration {
    match std::env::var("CHERVILWIND_LONG").as_deref() {
        Ok("1") => LONG,
        _ => SHORT,
    }
}

/// Returns the calls of each kind, by router.
fn calls(fleet: &Fleet) -> BTreeMap<String, BTreeMap<String, u64>> {
    let mut calls: BTreeMap<String, BTreeMap<String, u64>> = BTreeMap::new();
    for c in fleet.platform.counts() {
        if c.client.starts_with("router-") {
            let kind = calls.entry(c.kind).or_default();
            *kind.entry(c.client).or_default() += c.calls;
        }
    }
    calls
}

/// Guards against calls to the platform that grow with the fleet until it rejects them.
#[test]
fn calls_by_routers() {
    for routers in [1, 3, 8] {
        let fleet = Fleet::start(Plan {
            routers,
            ..Plan::default()
        });
        fleet.platform.clear_counts();
        let begin = Instant::now();
        wait_for("the platform was asked often", || {
            let kinds = ["watch", "list"];
            let least = COUNTED * routers.min(WATCHER_COUNT) as u64;
            let enough = |kind| fleet.platform.calls(kind) >= least;
            kinds.into_iter().all(enough).then_some(())
        });
        let took = begin.elapsed().as_secs_f64();
        let calls = calls(&fleet);
        for (kind, by) in &calls {
            assert!(
                by.len() <= WATCHER_COUNT,
                "{routers} routers: {kind} {by:?}"
            );
            let sum: u64 = by.values().sum();
            let rate = sum as f64 / took;
            println!(
                "{routers} routers: {rate:.2} {kind}/s by {} of them",
                by.len()
            );
        }
    }
}

/// Guards against requests that fail because a step of them needs the platform.
#[test]
fn outage_under_load() {
    let fleet = Fleet::start(Plan {
        work: Duration::from_millis(20),
        ..Plan::default()
    });
    let load = Load::begin(&fleet, CALLERS);
    for down in [Down::Refuse, Down::Hang, Down::Error] {
        fleet.platform.set_down(Some(down));
        sleep(outage());
        load.wait_answered(CALLERS);
        fleet.platform.set_down(None);
    }
    fleet.platform.set_slow(Duration::from_secs(3));
    sleep(outage());
    load.wait_answered(CALLERS);
    fleet.platform.set_slow(Duration::ZERO);
    let changed = fleet.change(FLEET, Revision(1)).unwrap();
    let took = fleet.wait_force(&[0, 1, 2], changed.revision);
    let seen = load.end();
    println!(
        "{} answered through four outages of {:?}; a change after them in force after {took:?}",
        seen.answered,
        outage()
    );
    assert!(seen.cut.is_empty(), "{:?}", seen.cut);
    assert!(seen.wrong.is_empty(), "{:?}", seen.wrong);
    assert_eq!(seen.refused, 0);
}

/// Waits until every router knows this many replicas of the plain service.
fn wait_desks(fleet: &Fleet, n: u32) -> Duration {
    let knows = |r: &Router| {
        let status = r.status()?;
        let mut services = status.services.iter();
        let desk = services.find(|s| s.name.as_str() == "broker-desk")?;
        (desk.replicas == n).then_some(())
    };
    let (_, took) = wait_for("all know which endpoints stay", || {
        fleet.routers.iter().try_for_each(knows)
    });
    took
}

/// Guards against routers that drop their configuration, or ignore later changes, after the
/// platform lost its data.
#[test]
fn restart_empty_under_load() {
    let mut fleet = Fleet::start(Plan {
        routers: 5,
        plains: 3,
        work: Duration::from_millis(20),
        ..Plan::default()
    });
    let all: Vec<usize> = (0..5).collect();
    // The list has had some revisions, which all know of.
    for state in [State::Leaving, State::Live, State::Leaving, State::Live] {
        fleet.platform.set_state("broker-desk-1", state);
        wait_desks(&fleet, if state == State::Live { 3 } else { 2 });
    }
    let changed = fleet.change(FLEET, Revision(1)).unwrap();
    fleet.wait_force(&all, changed.revision);
    let load = Load::begin(&fleet, CALLERS);
    load.wait_answered(CALLERS);
    fleet.platform.clear_counts();
    fleet.platform.restart_empty();
    let kv = Kv::new(Options::new(fleet.platform.addr, "proofs"));
    let (_, took) = wait_for("the routers have written it back", || {
        let config = block_on(store::read(&kv, &[])).ok()??;
        (config.revision == changed.revision).then_some(())
    });
    println!("the configuration is written back after {took:?}");
    wait_for("the empty list was read", || {
        let polled = fleet.platform.calls("list");
        (polled >= 2 * WATCHER_COUNT as u64).then_some(())
    });
    load.wait_answered(CALLERS);
    fleet.list_all();
    fleet.platform.set_state("broker-desk-1", State::Leaving);
    let took = wait_desks(&fleet, 2);
    println!("a change of the list that is numbered anew is known to all after {took:?}");
    let seen = load.end();
    assert!(seen.cut.is_empty(), "{:?}", seen.cut);
    assert!(seen.wrong.is_empty(), "{:?}", seen.wrong);
    assert_eq!(seen.refused, 0);
    fleet.platform.set_state("broker-desk-1", State::Live);
    fleet.routers[1].kill();
    fleet.routers[1].start();
    fleet.wait_ready();
    fleet.wait_force(&all, changed.revision);
}
