//! Writing a configuration, against a stand-in for the platform and routers' answers.

use {
    async_std::task,
    kvstore::store::{
        split,
        Config,
        Revision,
        WriteId, //
    },
    operators::{
        serve,
        InForce,
        Member,
        MemberState,
        Views,
        FLEET, //
    },
    policy::{
        Incarnation,
        Span, //
    },
    standins::platform::{
        self as stand_in,
        Down,
        Handle, //
    },
    std::{
        fs,
        net::{
            SocketAddr,
            TcpListener, //
        },
        path::PathBuf,
        process::{
            Command,
            Output, //
        },
        sync::{
            atomic::{
                AtomicU32,
                AtomicU64,
                Ordering, //
            },
            Arc, //
        },
    },
};

static FILES: AtomicU32 = AtomicU32::new(0);

/// What a router says of itself, and of the others.
struct Told {
    name: &'static str,
    revision: AtomicU64,
    /// Raised by one at each question, up to this revision.
    rises_to: u64,
    members: Vec<(&'static str, SocketAddr, MemberState)>,
    config: Option<Arc<Config>>,
}

fn platform_start() -> Handle {
    task::block_on(stand_in::start(stand_in::Options::default())).unwrap()
}

fn file(text: &str) -> PathBuf {
    let n = FILES.fetch_add(1, Ordering::Relaxed);
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = dir.join(format!("apply-{n}.toml"));
    fs::write(&path, text).unwrap();
    path
}

fn chervilwind(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_chervilwind"))
        .args(args)
        .output()
        .unwrap()
}

fn apply(text: &str, platform: SocketAddr, more: &[&str]) -> Output {
    let file = file(text);
    let platform = platform.to_string();
    let mut args = vec!["apply", file.to_str().unwrap(), "--writer", "ada"];
    args.extend(["--platform", &platform]);
    args.extend(more);
    chervilwind(&args)
}

/// Prints the configuration that the platform holds.
fn config(platform: SocketAddr) -> String {
    let output = chervilwind(&["config", "--platform", &platform.to_string()]);
    assert_eq!(code(&output), 0, "{}", stderr(&output));
    stdout(&output).to_owned()
}

/// Adds a workspace to the shipped configuration.
fn with(workspace: &str) -> String {
    format!("{FLEET}\n[workspace.{workspace}]\n")
}

fn code(output: &Output) -> i32 {
    output.status.code().unwrap()
}

fn stdout(output: &Output) -> &str {
    std::str::from_utf8(&output.stdout).unwrap()
}

fn stderr(output: &Output) -> &str {
    std::str::from_utf8(&output.stderr).unwrap()
}

fn router(told: Told) -> SocketAddr {
    let told = Arc::new(told);
    let [revision, members, config] = std::array::from_fn(|_| told.clone());
    let views = Views {
        revision: Box::new(move || in_force(&revision)),
        members: Box::new(move || views_of(&members)),
        config: Box::new(move || config.config.clone()),
        status: Box::new(|| unreachable!("apply asks for no whole status")),
        profiles: Box::new(|| unreachable!("apply asks for no profiles")),
        dump: Box::new(|| unreachable!("apply asks for no dump")),
        ready: Box::new(|| true),
    };
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    task::spawn(serve(listener, views));
    address
}

fn in_force(told: &Told) -> InForce {
    let now = told.revision.load(Ordering::SeqCst);
    let next = (now + 1).min(told.rises_to).max(now);
    told.revision.store(next, Ordering::SeqCst);
    InForce {
        name: told.name.parse().unwrap(),
        incarnation: Incarnation(1),
        revision: next,
    }
}

/// Lists the router itself, without an address, and the others.
fn views_of(told: &Told) -> Vec<Member> {
    let revision = told.revision.load(Ordering::SeqCst);
    let own = (told.name, None, MemberState::Live);
    let others = told.members.iter();
    let others = others.map(|(name, address, state)| (*name, Some(*address), *state));
    let members = others.chain([own]).map(|(name, operators, state)| Member {
        name: name.parse().unwrap(),
        incarnation: Incarnation(1),
        zone: "hall-a".parse().unwrap(),
        state,
        operators,
        revision,
        silent: Span::ZERO,
    });
    members.collect()
}

fn alone(name: &'static str, revision: u64, rises_to: u64) -> Told {
    Told {
        name,
        revision: AtomicU64::new(revision),
        rises_to,
        members: Vec::new(),
        config: None,
    }
}

#[test]
fn apply_first_and_same() {
    let platform = platform_start();
    let first = apply(FLEET, platform.addr, &[]);
    assert_eq!(code(&first), 0, "{}", stderr(&first));
    assert_eq!(stdout(&first), "revision 1 is written\n");
    let same = apply(FLEET, platform.addr, &["--json"]);
    let json: serde_json::Value = serde_json::from_str(stdout(&same)).unwrap();
    assert_eq!(
        (&json["revision"], &json["written"]),
        (&1.into(), &false.into())
    );
    let next = apply(&with("hove"), platform.addr, &["--base", "1"]);
    assert_eq!(stdout(&next), "revision 2 is written\n");
}

/// Guards against an invalid document that reaches the platform.
#[test]
fn apply_bad_document() {
    let platform = platform_start();
    let bad = apply("[profile.a]\nshare = 0\n", platform.addr, &[]);
    assert_eq!(code(&bad), 2);
    assert!(stderr(&bad).contains("profile \"a\" has share 0"));
    assert_eq!(platform.counts().iter().map(|c| c.calls).sum::<u64>(), 0);
}

/// Guards against a change that overwrites another operator's.
#[test]
fn apply_conflict() {
    let platform = platform_start();
    apply(FLEET, platform.addr, &[]);
    let first = apply(&with("hove"), platform.addr, &["--base", "1"]);
    assert_eq!(code(&first), 0, "{}", stderr(&first));
    let second = apply(&with("deal"), platform.addr, &["--base", "1"]);
    assert_eq!(code(&second), 4, "{}", stderr(&second));
    assert!(stderr(&second).contains("`ada` applied revision 2 since you looked"));
}

/// Guards against an edited copy that reverts a change made since it was printed.
#[test]
fn apply_old_copy() {
    let platform = platform_start();
    apply(FLEET, platform.addr, &[]);
    let copy = config(platform.addr);
    assert_eq!(copy.split_once('\n').unwrap().1, FLEET);
    let other = apply(&with("hove"), platform.addr, &[]);
    assert_eq!(code(&other), 0, "{}", stderr(&other));
    let old = apply(&format!("{copy}[workspace.deal]\n"), platform.addr, &[]);
    assert_eq!(code(&old), 4, "{}", stderr(&old));
    let copy = config(platform.addr);
    let new = apply(&format!("{copy}[workspace.deal]\n"), platform.addr, &[]);
    assert_eq!(code(&new), 0, "{}", stderr(&new));
    let now = config(platform.addr);
    let text = format!("{}[workspace.deal]\n", with("hove"));
    assert_eq!(now.split_once('\n').unwrap().1, text);
}

/// Guards against a repeated command that reports a conflict with its own earlier write.
#[test]
fn apply_again() {
    let platform = platform_start();
    apply(FLEET, platform.addr, &[]);
    let copy = format!("{}[workspace.deal]\n", config(platform.addr));
    for says in ["is written", "has this text already"] {
        let output = apply(&copy, platform.addr, &[]);
        assert_eq!(code(&output), 0, "{}", stderr(&output));
        assert_eq!(stdout(&output), format!("revision 2 {says}\n"));
    }
}

#[test]
fn config_none() {
    let platform = platform_start();
    let output = chervilwind(&["config", "--platform", &platform.addr.to_string()]);
    assert_eq!(code(&output), 1);
    assert_eq!(stdout(&output), "");
    assert!(stderr(&output).contains("there is no configuration"));
}

#[test]
fn apply_platform_down() {
    let platform = platform_start();
    platform.set_down(Some(Down::Refuse));
    let output = apply(FLEET, platform.addr, &[]);
    assert_eq!(code(&output), 3, "{}", stderr(&output));
    assert!(stderr(&output).contains("nothing was changed"));
}

/// Guards against a write that took effect and is reported as failed, or as a conflict.
#[test]
fn apply_answer_lost() {
    let platform = platform_start();
    apply(FLEET, platform.addr, &[]);
    platform.lose_answers(1);
    let output = apply(&with("hove"), platform.addr, &[]);
    assert_eq!(code(&output), 0, "{}", stderr(&output));
    assert_eq!(stdout(&output), "revision 2 is written\n");
}

/// Guards against a change made on the state of a restored platform, which would revert later
/// revisions.
#[test]
fn apply_restored_platform() {
    let platform = platform_start();
    apply(FLEET, platform.addr, &[]);
    let in_force = Config {
        revision: Revision(7),
        writer: "bea".to_owned(),
        write: WriteId::random(),
        parts: split("fleet", &with("hove")),
    };
    let told = Told {
        config: Some(Arc::new(in_force)),
        ..alone("r1", 7, 7)
    };
    let address = router(told).to_string();
    let args = ["--router", address.as_str()];
    let old = apply(&with("deal"), platform.addr, &args);
    assert_eq!(code(&old), 4, "{}", stderr(&old));
    assert!(stderr(&old).contains("routers have revision 7 in force"));
    assert!(config(platform.addr).contains("revision 1,"));
    let copy = chervilwind(&["config", "--router", &address]);
    let text = format!("{}[workspace.deal]\n", stdout(&copy));
    let new = apply(&text, platform.addr, &args);
    assert_eq!(stdout(&new), "revision 8 is written\n", "{}", stderr(&new));
    assert!(config(platform.addr).ends_with("[workspace.hove]\n[workspace.deal]\n"));
}

#[test]
fn config_router_without() {
    let address = router(alone("r1", 0, 0)).to_string();
    let output = chervilwind(&["config", "--router", &address]);
    assert_eq!(code(&output), 1);
    assert!(stderr(&output).contains("there is no configuration"));
}

#[test]
fn apply_wait_needs_router() {
    let platform = platform_start();
    let output = apply(FLEET, platform.addr, &["--wait"]);
    assert_eq!(code(&output), 2);
    assert_eq!(platform.calls("put"), 0);
}

/// Guards against `--wait` that returns before the slowest live router has the revision.
#[test]
fn apply_wait_all() {
    let platform = platform_start();
    let slow = router(alone("r2", 0, 5));
    let nobody = SocketAddr::from(([127, 0, 0, 1], 1));
    let first = Told {
        members: vec![
            ("r2", slow, MemberState::Suspect),
            ("r3", nobody, MemberState::Gone),
            ("r4", nobody, MemberState::Leaving),
        ],
        ..alone("r1", 0, 3)
    };
    let address = router(first).to_string();
    apply(FLEET, platform.addr, &[]);
    let args = ["--router", address.as_str(), "--wait", "--timeout", "60s"];
    let output = apply(&with("hove"), platform.addr, &args);
    assert_eq!(code(&output), 0, "{}", stderr(&output));
    assert!(stdout(&output).ends_with("is written, and in force on every live router\n"));
}

#[test]
fn apply_wait_names_missing() {
    let platform = platform_start();
    let stuck = router(alone("r2", 0, 0));
    let first = Told {
        members: vec![("r2", stuck, MemberState::Live)],
        ..alone("r1", 0, 9)
    };
    let address = router(first).to_string();
    let args = ["--router", address.as_str(), "--wait", "--timeout", "3s"];
    let output = apply(FLEET, platform.addr, &args);
    assert_eq!(code(&output), 7, "{}", stderr(&output));
    assert!(stderr(&output).contains("is written, but not in force yet at r2"));
}

/// Guards against the revision of another process at a former router's address.
#[test]
fn apply_wait_other_process() {
    let platform = platform_start();
    let other = router(alone("r9", 9, 9));
    let first = Told {
        members: vec![("r2", other, MemberState::Live)],
        ..alone("r1", 0, 9)
    };
    let address = router(first).to_string();
    let args = ["--router", address.as_str(), "--wait", "--timeout", "3s"];
    let output = apply(FLEET, platform.addr, &args);
    assert_eq!(code(&output), 7, "{}", stderr(&output));
}
