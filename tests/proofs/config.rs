//! An accepted configuration is soon in force on every router, and never reverts.

use {
    crate::stage::{
        record,
        wait_for,
        Eye,
        Fleet,
        Plan,
        Signal, //
    },
    async_std::task::block_on,
    operators::FLEET,
    platform::store::{
        ApplyError,
        Revision, //
    },
    policy::Outcome,
    standins::platform::Down,
    std::{
        fs,
        path::PathBuf,
        process::{
            Child,
            Command,
            Stdio, //
        },
        time::Duration,
    },
};

const ALL: [usize; 3] = [0, 1, 2];

/// Returns the shipped configuration with one more workspace.
fn with(workspace: &str) -> String {
    format!("{FLEET}\n[workspace.{workspace}]\n")
}

/// Starts `chervilwind apply --wait` for an operator who saw revision 1.
fn operator(fleet: &Fleet, name: &str) -> Child {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let file = dir.join(format!("{name}-{}.toml", fleet.platform.addr.port()));
    fs::write(&file, with(name)).unwrap();
    let platform = fleet.platform.addr.to_string();
    let router = fleet.routers[0].operators.to_string();
    Command::new(env!("CARGO_BIN_EXE_chervilwind"))
        .arg("apply")
        .arg(&file)
        .args(["--writer", name, "--base", "1", "--wait"])
        .args(["--platform", &platform, "--router", &router])
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap()
}

// Two operators apply at the same moment, and both believe that theirs is in force.
// Cause: each read the old revision and wrote the next.
#[test]
fn apply_operators_race() {
    let fleet = Fleet::start(Plan::default());
    let eye = Eye::open(&fleet);
    let both = ["ada", "bea"].map(|name| (name, operator(&fleet, name)));
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

// An operator's write takes effect and its answer is lost; she is told that it failed, and
// applies it once more over a colleague's change. Cause: no answer taken for no effect.
#[test]
fn apply_answer_lost() {
    let fleet = Fleet::start(Plan::default());
    let eye = Eye::open(&fleet);
    fleet.platform.lose_answers(2);
    let code = operator(&fleet, "ada").wait().unwrap().code();
    assert_eq!(code, Some(0));
    for r in &fleet.routers {
        let status = r.status().unwrap();
        assert_eq!((status.revision, status.writer.as_str()), (2, "ada"));
    }
    assert_eq!(eye.close(), Vec::<String>::new());
}

// A router restarts empty while the platform is down and serves under the rules of last
// week, or none. Cause: it knew of the configuration only from the platform.
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

// The platform answers slowly for long, and a change is in force here and not there.
// Cause: each router waits for its own slow read.
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

// A router is cut off from the platform and from all others, and comes back with its old
// configuration. Cause: what it has looks as good as what the others have.
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

// The platform is restored from last night's backup, and every router falls back to last
// night's rules. Cause: what the platform says is taken for the truth.
#[test]
fn restore_older_platform() {
    let mut fleet = Fleet::start(Plan::default());
    let eye = Eye::open(&fleet);
    fleet.platform.snapshot();
    let changed = fleet.change(&with("hull"), Revision(1)).unwrap();
    fleet.wait_force(&ALL, changed.revision);
    assert!(fleet.platform.restore());
    // The routers write it back, so that the next operator builds on it.
    let again = |base| fleet.change(&with("kent"), Revision(base));
    wait_for("it is written back", || {
        matches!(again(1), Err(ApplyError::Conflict { .. })).then_some(())
    });
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

// A thousand changes come one after another while routers pause, restart and are cut off,
// and one of them goes back or stays behind. Cause: messages about revisions overtake each
// other.
#[test]
fn change_thousand() {
    let mut fleet = Fleet::start(Plan::default());
    let eye = Eye::open(&fleet);
    let mut took = Vec::new();
    let mut revision = Revision(1);
    for n in 0..1_000 {
        match n {
            200 => fleet.routers[1].signal(Signal::Stop),
            300 => fleet.routers[1].signal(Signal::Cont),
            400 => fleet.routers[2].kill(),
            450 => fleet.routers[2].start(),
            600 => fleet.part(&[0]),
            700 => fleet.rejoin(),
            _ => {}
        }
        let changed = fleet.change(&with(&format!("site-{n}")), revision);
        revision = changed.expect("nobody else writes").revision;
        if n % 20 == 0 && !(200..=800).contains(&n) {
            took.push(fleet.wait_force(&ALL, revision));
        }
    }
    fleet.wait_force(&ALL, revision);
    assert_eq!(revision, Revision(1_001));
    assert_eq!(eye.close(), Vec::<String>::new());
    took.sort();
    let (median, most) = (took[took.len() / 2], took[took.len() - 1]);
    println!(
        "in force everywhere after {median:?}, {most:?} at most, of {}",
        took.len()
    );
}
