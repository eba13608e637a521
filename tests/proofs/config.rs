//! An accepted configuration is soon in force on every router, and never reverts.

use {
    crate::stage::{
        record,
        send,
        wait_for,
        Eye,
        Fleet,
        Look,
        Plan,
        Signal, //
    },
    async_std::task::block_on,
    kvstore::{
        store::{
            self,
            ApplyError,
            Revision, //
        },
        Kv,
        Options, //
    },
    operators::FLEET,
    policy::{
        head::WATCHER_COUNT,
        rendezvous,
        Outcome, //
    },
    standins::platform::{
        Down,
        State, //
    },
    std::{
        fs,
        path::PathBuf,
        process::{
            Child,
            Command,
            Stdio, //
        },
        thread::sleep,
        time::{
            Duration,
            Instant, //
        },
    },
};

const ALL: [usize; 3] = [0, 1, 2];
/// Between two changes at 64,000 a day.
const PACE: Duration = Duration::from_millis(1_350);
/// After this, what a router said last has been looked at.
const SEEN: Duration = Duration::from_millis(500);

/// Returns the shipped configuration with one more workspace.
fn with(workspace: &str) -> String {
    format!("{FLEET}\n[workspace.{workspace}]\n")
}

/// Starts `chervilwind apply --wait` for an operator who saw revision `base`.
fn operator(fleet: &Fleet, name: &str, base: u64, text: &str) -> Child {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let file = dir.join(format!("{name}-{}.toml", fleet.platform.addr.port()));
    fs::write(&file, text).unwrap();
    let platform = fleet.platform.addr.to_string();
    let router = fleet.routers[0].operators.to_string();
    Command::new(env!("CARGO_BIN_EXE_chervilwind"))
        .arg("apply")
        .arg(&file)
        .args(["--writer", name, "--base", &base.to_string(), "--wait"])
        .args(["--platform", &platform, "--router", &router])
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap()
}

/// Guards against two concurrent changes that both report success.
#[test]
fn apply_operators_race() {
    let fleet = Fleet::start(Plan::default());
    let eye = Eye::open(&fleet);
    // Slow enough that both have read before either writes.
    fleet.platform.set_slow(Duration::from_millis(300));
    let both = ["ada", "bea"].map(|name| (name, operator(&fleet, name, 1, &with(name))));
    let codes = both.map(|(name, mut child)| (name, child.wait().unwrap().code()));
    let winners: Vec<&str> = codes
        .iter()
        .filter(|(_, code)| *code == Some(0))
        .map(|(name, _)| *name)
        .collect();
    assert_eq!(winners.len(), 1, "{codes:?}");
    assert!(codes.iter().any(|(_, code)| *code == Some(4)), "{codes:?}");
    for r in &fleet.routers {
        let status = r.status().unwrap();
        assert_eq!((status.revision, status.writer.as_str()), (2, winners[0]));
    }
    assert_eq!(eye.close(), Vec::<String>::new());
}

/// Guards against a change that is applied twice because the answer to the first write was lost.
#[test]
fn apply_answer_lost() {
    let fleet = Fleet::start(Plan::default());
    let eye = Eye::open(&fleet);
    let changed = fleet.change(&with("hull"), Revision(1)).unwrap();
    fleet.wait_force(&ALL, changed.revision);
    // The parts of revision 1 are all there, so the only write is the one that counts.
    for (base, text) in [(2, FLEET), (3, &with("hull"))] {
        fleet.platform.lose_answers(1);
        let code = operator(&fleet, "ada", base, text).wait().unwrap().code();
        assert_eq!(code, Some(0));
        for r in &fleet.routers {
            let status = r.status().unwrap();
            assert_eq!((status.revision, status.writer.as_str()), (base + 1, "ada"));
        }
    }
    assert_eq!(eye.close(), Vec::<String>::new());
}

/// Guards against a router that restarts during an outage of the platform and serves an old
/// configuration, or none.
#[test]
fn restart_platform_down() {
    let mut fleet = Fleet::prepare(Plan::default());
    fleet.name_seeds();
    fleet.configure(FLEET);
    for r in &mut fleet.routers {
        r.start();
    }
    fleet.wait_ready();
    let changed = fleet.change(&with("hull"), Revision(1)).unwrap();
    fleet.wait_force(&ALL, changed.revision);
    for (n, down) in [(0, Down::Refuse), (1, Down::Hang), (2, Down::Error)] {
        fleet.platform.set_down(Some(down));
        fleet.routers[n].kill();
        fleet.routers[n].start();
        fleet.wait_ready();
        fleet.wait_force(&ALL, changed.revision);
        let mut work = record("standard", 1);
        work.call.workspace = "hull".parse().unwrap();
        let answer = block_on(fleet.client().call(&work.call));
        assert_eq!(answer.outcome, Outcome::Answered, "{:?}", answer.refused);
    }
}

/// Guards against a new instance that finds no peers while the platform is down.
#[test]
fn start_new_platform_down() {
    let mut fleet = Fleet::prepare(Plan {
        routers: 4,
        ..Plan::default()
    });
    fleet.name_seeds();
    fleet.configure(FLEET);
    let new = fleet.routers[3].name.clone();
    assert!(fleet.platform.remove_instance(&new));
    for r in &mut fleet.routers[..3] {
        r.start();
    }
    for r in &fleet.routers[..3] {
        wait_for("the listed are ready", || {
            fleet.is_ready(r, 3).then_some(())
        });
    }
    fleet.platform.set_down(Some(Down::Hang));
    fleet.routers[3].start();
    fleet.wait_ready();
    let answer = block_on(send(fleet.routers[3].callers, &record("standard", 1), None));
    assert_eq!(answer.unwrap().outcome, Outcome::Answered);
}

/// Guards against a change that takes effect late at routers whose reads of the platform are slow.
#[test]
fn change_platform_slow() {
    let fleet = Fleet::start(Plan::default());
    let eye = Eye::open(&fleet);
    fleet.platform.set_slow(Duration::from_millis(400));
    let changed = fleet.change(&with("hull"), Revision(1)).unwrap();
    let took = fleet.wait_force(&ALL, changed.revision);
    println!("in force everywhere {took:?} after a write to a slow platform");
    assert_eq!(eye.close(), Vec::<String>::new());
}

/// Guards against an old configuration that returns with a router which was cut off.
#[test]
fn rejoin_old_config() {
    let fleet = Fleet::start(Plan::default());
    let eye = Eye::open(&fleet);
    fleet.part(&[0]);
    fleet.platform.cut("router-1");
    let changed = fleet.change(&with("hull"), Revision(1)).unwrap();
    fleet.wait_force(&[1, 2], changed.revision);
    assert_eq!(fleet.routers[0].status().unwrap().revision, 1);
    fleet.rejoin();
    let took = fleet.wait_force(&ALL, changed.revision);
    println!("in force at a router {took:?} after the way to its peers is back");
    assert_eq!(eye.close(), Vec::<String>::new());
}

/// Guards against a restored platform that makes routers return to an older configuration.
#[test]
fn restore_older_platform() {
    let mut fleet = Fleet::start(Plan::default());
    let eye = Eye::open(&fleet);
    fleet.platform.snapshot();
    let changed = fleet.change(&with("hull"), Revision(1)).unwrap();
    fleet.wait_force(&ALL, changed.revision);
    assert!(fleet.platform.restore());
    // The routers write it back, so that the next operator builds on it.
    let kv = Kv::new(Options::new(fleet.platform.addr, "proofs"));
    wait_for("it is written back", || {
        let config = block_on(store::read(&kv, &[])).ok()??;
        (config.write == changed.write).then_some(())
    });
    let again = fleet.change(&with("kent"), Revision(1));
    assert!(
        matches!(again, Err(ApplyError::Conflict { .. })),
        "{again:?}"
    );
    for n in ALL {
        fleet.routers[n].kill();
        fleet.routers[n].start();
        fleet.wait_ready();
    }
    fleet.wait_force(&ALL, changed.revision);
    let changed = fleet.change(&with("kent"), changed.revision).unwrap();
    assert_eq!(changed.revision, Revision(3));
    fleet.wait_force(&ALL, changed.revision);
    assert_eq!(eye.close(), Vec::<String>::new());
}

/// Guards against a change that one router received before an outage and that the others don't get.
#[test]
fn change_before_outage() {
    let fleet = Fleet::start(Plan::default());
    let eye = Eye::open(&fleet);
    fleet.part(&[0]);
    for name in ["router-2", "router-3"] {
        fleet.platform.cut(name);
    }
    let changed = fleet.change(&with("hull"), Revision(1)).unwrap();
    fleet.wait_force(&[0], changed.revision);
    fleet.platform.set_down(Some(Down::Hang));
    for n in [1, 2] {
        assert_eq!(fleet.routers[n].status().unwrap().revision, 1);
    }
    fleet.rejoin();
    let took = fleet.wait_force(&ALL, changed.revision);
    println!("in force everywhere {took:?} after one router could tell the others");
    assert_eq!(eye.close(), Vec::<String>::new());
}

/// Returns which routers watch a key of the platform, and which don't.
fn watching(fleet: &Fleet, key: &str) -> (Vec<usize>, Vec<usize>) {
    let all = fleet.routers.iter().enumerate();
    let top = rendezvous::top(key, all, WATCHER_COUNT, |(_, r)| r.name.as_str());
    let watch: Vec<usize> = top.into_iter().map(|(n, _)| n).collect();
    let rest = (0..fleet.routers.len()).filter(|n| !watch.contains(n));
    (watch.clone(), rest.collect())
}

/// Guards against watchers that keep their role although they can't reach the platform.
#[test]
fn change_watchers_cut() {
    let fleet = Fleet::start(Plan {
        routers: 5,
        ..Plan::default()
    });
    let eye = Eye::open(&fleet);
    let (watch, _) = watching(&fleet, "config");
    for n in &watch {
        fleet.platform.cut(&fleet.routers[*n].name);
    }
    let all: Vec<usize> = (0..5).collect();
    let changed = fleet.change(&with("hull"), Revision(1)).unwrap();
    let first = fleet.wait_force(&all, changed.revision);
    let changed = fleet.change(&with("kent"), changed.revision).unwrap();
    let second = fleet.wait_force(&all, changed.revision);
    println!("three watchers cut off: in force after {first:?}, the next after {second:?}");
    // The others lose it too, and the first ones have it back.
    for n in 0..5 {
        let name = &fleet.routers[n].name;
        match watch.contains(&n) {
            true => fleet.platform.heal(name),
            false => fleet.platform.cut(name),
        }
    }
    let changed = fleet.change(&with("deal"), changed.revision).unwrap();
    let back = fleet.wait_force(&all, changed.revision);
    println!("the other two cut off, the three back: in force after {back:?}");
    assert_eq!(eye.close(), Vec::<String>::new());
}

/// Guards against a list of instances that is not updated because its pollers can't reach the
/// platform.
#[test]
fn list_watchers_cut() {
    let fleet = Fleet::start(Plan {
        routers: 5,
        plains: 3,
        ..Plan::default()
    });
    let (watch, rest) = watching(&fleet, "list");
    for n in watch {
        fleet.platform.cut(&fleet.routers[n].name);
    }
    fleet.platform.set_state("broker-desk-1", State::Leaving);
    for r in &fleet.routers {
        let (_, took) = wait_for("a router knows that an endpoint leaves", || {
            let status = r.status()?;
            let mut services = status.services.iter();
            let desk = services.find(|s| s.name.as_str() == "broker-desk")?;
            (desk.replicas == 2).then_some(())
        });
        println!("three pollers cut off: {} knows after {took:?}", r.name);
    }
    assert_eq!(rest.len(), 2);
}

/// Guards against a router that falls back or stays behind when messages about revisions arrive out
/// of order.
#[test]
fn change_thousand() {
    let mut fleet = Fleet::start(Plan::default());
    let eye = Eye::open(&fleet);
    let mut revision = Revision(1);
    for n in 0..1_000 {
        match n {
            // It wakes up with an answer that is old by then.
            200..300 if n % 10 == 0 => fleet.routers[1].signal(Signal::Stop),
            200..=300 if n % 10 == 5 => fleet.routers[1].signal(Signal::Cont),
            400 => fleet.routers[2].kill(),
            450 => fleet.routers[2].start(),
            600 => fleet.part(&[0]),
            700 => fleet.rejoin(),
            _ => {}
        }
        revision = change_site(&fleet, n, revision);
    }
    fleet.wait_force(&ALL, revision);
    assert_eq!(revision, Revision(1_001));
    assert_eq!(eye.close(), Vec::<String>::new());
}

fn change_site(fleet: &Fleet, n: u32, base: Revision) -> Revision {
    let changed = fleet.change(&with(&format!("site-{n}")), base);
    changed.expect("nobody else writes").revision
}

/// Guards against routers that lag behind while the configuration changes often.
#[test]
fn change_pace() {
    let fleet = Fleet::start(Plan {
        routers: 8,
        ..Plan::default()
    });
    let (paced, quick) = match std::env::var("CHERVILWIND_LONG").as_deref() {
        Ok("1") => (1_000, 1_000),
        _ => (10, 1_000),
    };
    let mut revision = Revision(1);
    for (what, changes, pause) in [
        ("by the day", paced, PACE),
        ("quick", quick, Duration::ZERO),
    ] {
        let eye = Eye::open(&fleet);
        let mut accepted = Vec::new();
        for n in 0..changes {
            revision = change_site(&fleet, n, revision);
            accepted.push((revision.0, Instant::now()));
            sleep(pause);
        }
        let all: Vec<usize> = (0..fleet.routers.len()).collect();
        fleet.wait_force(&all, revision);
        sleep(SEEN);
        let looks = eye.looks();
        let back: Vec<&String> = looks.iter().flat_map(|l| &l.back).collect();
        assert!(back.is_empty(), "{back:?}");
        let mut took: Vec<Duration> = accepted.iter().map(|a| last(&looks, *a)).collect();
        took.sort();
        let part = |p: usize| took[(took.len() - 1) * p / 100];
        println!(
            "{changes} changes, {what}: in force on 8 routers after {:?} (median), {:?} (99 in \
             100), {:?} (most)",
            part(50),
            part(99),
            part(100)
        );
    }
}

/// Returns how long after it was accepted a revision, or a higher one, was in force on all.
fn last(looks: &[Look], (revision, accepted): (u64, Instant)) -> Duration {
    let first = looks.iter().map(|l| {
        let mut risen = l.risen.iter();
        let (_, at) = risen.find(|(r, _)| *r >= revision).expect("it rose");
        at.saturating_duration_since(accepted)
    });
    first.max().expect("there are routers")
}
