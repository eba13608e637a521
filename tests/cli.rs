//! The command line: help, arguments and exit codes.

use {
    expect_test::{
        expect,
        expect_file, //
    },
    std::{
        fs,
        os::{
            fd::OwnedFd,
            unix::net::UnixStream, //
        },
        path::PathBuf,
        process::{
            Command,
            Output,
            Stdio, //
        },
    },
};

const COMMANDS: [&str; 14] = [
    "router", "gateway", "demo", "where", "call", "check", "config", "apply", "profiles", "status",
    "dump", "defaults", "standin", "measure",
];

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_chervilwind"))
        .args(args)
        .output()
        .unwrap()
}

fn stdout(output: &Output) -> &str {
    std::str::from_utf8(&output.stdout).unwrap()
}

fn stderr(output: &Output) -> &str {
    std::str::from_utf8(&output.stderr).unwrap()
}

/// Writes a file into the tests' own directory.
fn file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).unwrap();
    path
}

#[test]
fn help_golden() {
    let mut all = stdout(&run(&["--help"])).to_owned();
    for command in COMMANDS {
        let output = run(&[command, "--help"]);
        assert_eq!(output.status.code(), Some(0), "{command}");
        all.push('\n');
        all.push_str(stdout(&output));
    }
    expect_file!["golden/help.txt"].assert_eq(&all);
}

#[test]
fn help_lists_commands() {
    let output = run(&["--help"]);
    for command in COMMANDS {
        let listed = stdout(&output)
            .lines()
            .any(|l| l.trim_start().split(' ').next() == Some(command));
        assert!(listed, "{command} is not listed");
    }
}

#[test]
fn args_wrong() {
    let cases: [&[&str]; 7] = [
        &[],
        &["rooter"],
        &["router"],
        &["status", "localhost"],
        &["where", "127.0.0.1:1", "--service", "a b"],
        &["call", "127.0.0.1:1", "--deadline", "20"],
        &["check"],
    ];
    let mut all = String::new();
    for args in cases {
        let output = run(args);
        assert_eq!(output.status.code(), Some(2), "{args:?}");
        assert_eq!(stdout(&output), "", "{args:?}");
        all += stderr(&output);
    }
    expect![[r#"
        subcommand is required; `chervilwind --help` lists what may be given
        unexpected argument: "rooter"; `chervilwind --help` lists what may be given
        flag is required: `--settings`; `chervilwind --help` lists what may be given
        can't parse `router`, invalid socket address syntax; `chervilwind --help` lists what may be given
        can't parse `--service`, the name holds ` `; use letters, digits and `-_.:` only; `chervilwind --help` lists what may be given
        can't parse `--deadline`, `20` is not a length of time; write a whole number and a unit: `250ms`, `3s` or `2m`; `chervilwind --help` lists what may be given
        flag is required: `file`; `chervilwind --help` lists what may be given
    "#]].assert_eq(&all);
}

/// Guards against a panic when the reader of the output closes the pipe early.
#[test]
fn output_closed() {
    let (ours, theirs) = UnixStream::pair().unwrap();
    drop(ours);
    let output = Command::new(env!("CARGO_BIN_EXE_chervilwind"))
        .args(["defaults", "fleet"])
        .stdout(OwnedFd::from(theirs))
        .stderr(Stdio::piped())
        .spawn()
        .unwrap()
        .wait_with_output()
        .unwrap();
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    assert_eq!(stderr(&output), "");
}

#[test]
fn call_mixed_arguments() {
    let args = "call 127.0.0.1:1 --service a --workspace b --profile c --prompt x --body y";
    let output = run(&args.split(' ').collect::<Vec<_>>());
    assert_eq!(output.status.code(), Some(2));
    expect![[r#"
        shown:
          × --prompt is for models, --path and --body for plain services
          help: give --prompt alone, or --path and --body
    "#]]
    .assert_eq(&format!("shown:\n{}", stderr(&output)));
}

#[test]
fn defaults_pass_check() {
    let settings = file("settings.toml", stdout(&run(&["defaults", "settings"])));
    let fleet = file("fleet.toml", stdout(&run(&["defaults", "fleet"])));
    let settings = run(&["check", "--settings", settings.to_str().unwrap()]);
    let fleet = run(&["check", fleet.to_str().unwrap()]);
    assert_eq!(settings.status.code(), Some(0), "{}", stderr(&settings));
    assert!(stdout(&settings).ends_with("good: settings of router-1\n"));
    assert_eq!(fleet.status.code(), Some(0), "{}", stderr(&fleet));
    assert!(stdout(&fleet).ends_with("good: 2 services, 5 profiles, 16 workspaces\n"));
}

#[test]
fn defaults_unknown() {
    let output = run(&["defaults", "router"]);
    assert_eq!(output.status.code(), Some(2));
    assert_eq!(stdout(&output), "");
}

#[test]
fn check_json() {
    let path = file("bad.toml", "[profile.a]\nshare = 0\n");
    let output = run(&["check", "--json", path.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(2));
    let json: serde_json::Value = serde_json::from_str(stdout(&output)).unwrap();
    assert_eq!(json["good"], false);
    let share = &json["problems"][2];
    assert_eq!(share["line"], 2, "{json}");
    assert_eq!(share["message"], "profile \"a\" has share 0");
}

#[test]
fn router_settings_missing() {
    let output = run(&["router", "--settings", "no-such.toml"]);
    assert_eq!(output.status.code(), Some(2));
    expect![[r#"
        shown:
          × no-such.toml does not exist
          help: check the path; `chervilwind defaults` prints files to start from
    "#]]
    .assert_eq(&format!("shown:\n{}", stderr(&output)));
}

#[test]
fn status_nobody() {
    let output = run(&["status", "127.0.0.1:1"]);
    assert_eq!(output.status.code(), Some(3));
    assert_eq!(stdout(&output), "");
    assert!(stderr(&output).contains("no router answered at 127.0.0.1:1"));
}

#[test]
fn where_nobody() {
    let output = run(&["where", "127.0.0.1:1", "--service", "a"]);
    assert_eq!(output.status.code(), Some(3));
}
