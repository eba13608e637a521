//! Checks of a router's settings, as an operator sees them.

use {
    chervilwind::{
        Settings,
        DEFAULT_SETTINGS, //
    },
    expect_test::{
        expect,
        Expect, //
    },
    miette::Diagnostic,
    operators::{
        render,
        Source, //
    },
    std::{
        net::TcpListener,
        time::Duration, //
    },
};

const GOOD: &str = r#"name = "router-1"
zone = "hall-a"
[callers]
listen = "127.0.0.1:0"
[peers]
listen = "127.0.0.1:0"
[operators]
listen = "127.0.0.1:0"
[platform]
address = "127.0.0.1:7000"
"#;

fn parse(text: &str) -> Settings {
    Settings::parse(&Source::from_text("chervilwind.toml", text)).unwrap()
}

/// Replaces a line of good settings and compares what the checker says.
fn check(from: &str, to: &str, expect: Expect) {
    assert!(GOOD.contains(from), "{from}");
    check_all(&GOOD.replacen(from, to, 1), expect);
}

fn check_all(text: &str, expect: Expect) {
    let error = Settings::parse(&Source::from_text("chervilwind.toml", text)).unwrap_err();
    expect.assert_eq(&error.to_string());
}

#[test]
fn parse_defaults() {
    let shipped = parse(DEFAULT_SETTINGS);
    let least = parse(GOOD);
    assert_eq!(
        format!("{:?}", shipped.limits),
        format!("{:?}", least.limits)
    );
    assert_eq!(shipped.log, least.log);
    assert_eq!(shipped.platform, least.platform);
    assert_eq!(shipped.limits.head_bytes, 7 * 1024);
    assert_eq!(shipped.limits.idle_timeout, Duration::from_secs(75));
}

#[test]
fn parse_advertise() {
    let text = GOOD.replacen(
        "listen = \"127.0.0.1:0\"",
        "listen = \"0.0.0.0:7400\"\nadvertise = \"10.0.0.7:7400\"",
        1,
    );
    let settings = parse(&text);
    assert_eq!(settings.callers.advertise.to_string(), "10.0.0.7:7400");
    assert_eq!(settings.peers.advertise, settings.peers.listen);
}

#[test]
fn parse_unspecified() {
    check(
        "listen = \"127.0.0.1:0\"",
        "listen = \"0.0.0.0:7400\"",
        expect!["chervilwind.toml:4: [callers] tells others to connect to 0.0.0.0:7400, which is no address of one instance; add `advertise` with the address that others reach this instance at"],
    );
}

#[test]
fn parse_unknown_keys() {
    check(
        "[platform]\n",
        "[platfrom]\naddres = 1\n[limits]\nhaed = \"1KiB\"\n[platform]\n",
        expect![[r#"
            chervilwind.toml:9: the settings file has the unknown key `platfrom`; did you mean `platform`? known keys: `name`, `zone`, `region`, `log`, `callers`, `peers`, `operators`, `fleet`, `platform`, `limits`
            chervilwind.toml:12: [limits] has the unknown key `haed`; did you mean `head`? known keys: `head`, `body`, `memory`, `head-time`, `body-time`, `idle`, `stall`, `connections`, `per-address`, `peer-connections`, `peer-memory`"#]],
    );
}

#[test]
fn parse_wrong_unit() {
    check(
        "[platform]\n",
        "[limits]\nhead = 4096\nbody = \"4MB\"\nhead-time = 5\nidle = \"75\"\nstall = \"1h\"\nconnections = \"9\"\n[platform]\n",
        expect![[r#"
            chervilwind.toml:10: [limits] has head 4096; add a unit, in quotes: `"4096KiB"` or `"4096B"`
            chervilwind.toml:11: [limits] has body "4MB"; write a whole number and a unit: `"512B"`, `"7KiB"` or `"8MiB"`
            chervilwind.toml:12: [limits] has head-time 5; add a unit, in quotes: `"5s"` or `"5ms"`
            chervilwind.toml:13: [limits] has idle "75"; add a unit: `"75s"` or `"75ms"`
            chervilwind.toml:14: [limits] has stall "1h"; write a whole number and a unit: `"250ms"`, `"3s"` or `"2m"`
            chervilwind.toml:15: [limits] has connections "9"; give a whole number from 1 to 100000, without quotes"#]],
    );
}

#[test]
fn parse_too_large() {
    check(
        "[platform]\n",
        "[limits]\nhead = \"8KiB\"\nbody = \"65MiB\"\nconnections = 0\n[platform]\n",
        expect![[r#"
            chervilwind.toml:10: [limits] has head "8KiB"; give a size above 0 and of at most `"8191B"`
            chervilwind.toml:11: [limits] has body "65MiB"; give a size above 0 and of at most `"64MiB"`
            chervilwind.toml:12: [limits] has connections 0; give a whole number from 1 to 100000, without quotes"#]],
    );
}

/// Guards against a limit on memory that no body of the allowed length fits.
#[test]
fn parse_too_little_memory() {
    check(
        "[platform]\n",
        "[limits]\nmemory = \"5MiB\"\n[platform]\n",
        expect!["chervilwind.toml:10: [limits] has `memory` for less than one body of the length that `body` allows; give `memory` at least twice as much as `body`"],
    );
}

/// Guards against a limit on memory that few frames of peers fit.
#[test]
fn parse_too_little_peer_memory() {
    check(
        "[platform]\n",
        "[limits]\npeer-memory = \"3MiB\"\n[platform]\n",
        expect![
            "chervilwind.toml:10: [limits] has `peer-memory` of 3MiB; give at least `\"4MiB\"`"
        ],
    );
}

#[test]
fn parse_bad_address() {
    check(
        "listen = \"127.0.0.1:0\"",
        "listen = \"router-1:7400\"",
        expect![[
            r#"chervilwind.toml:4: [callers] has listen "router-1:7400"; give an IP address and a port, in quotes, such as `"10.0.0.7:7400"`"#
        ]],
    );
}

#[test]
fn parse_fleet() {
    let fleet = "[fleet]\nseeds = [\"10.0.0.8:7401\"]\nzone-delay = \"1500us\"\n[peers]\n";
    let settings = parse(&GOOD.replacen("[peers]\n", fleet, 1));
    assert_eq!(settings.seeds, ["10.0.0.8:7401".parse().unwrap()]);
    assert_eq!(settings.zone_delay, Duration::from_micros(1_500));
    check(
        "[platform]\n",
        "[fleet]\nseeds = \"10.0.0.8:7401\"\nzone-delay = 2\n[platform]\n",
        expect![[r#"
            chervilwind.toml:10: [fleet] has seeds "10.0.0.8:7401"; give a list such as `["10.0.0.8:7401"]`
            chervilwind.toml:11: [fleet] has zone-delay 2; add a unit, in quotes: `"2s"` or `"2ms"`"#]],
    );
    check(
        "[platform]\n",
        "[fleet]\nseeds = [\"router-2\"]\n[platform]\n",
        expect![[
            r#"chervilwind.toml:10: [fleet] has seeds ["router-2"]; give a list such as `["10.0.0.8:7401"]`"#
        ]],
    );
}

#[test]
fn parse_same_address() {
    let text = GOOD.replace("127.0.0.1:0", "127.0.0.1:7400");
    check_all(
        &text,
        expect![[r#"
        chervilwind.toml:6: [peers] listens at 127.0.0.1:7400, which another part uses; give each of [callers], [peers] and [operators] its own port
        chervilwind.toml:8: [operators] listens at 127.0.0.1:7400, which another part uses; give each of [callers], [peers] and [operators] its own port"#]],
    );
}

#[test]
fn parse_log_level() {
    check(
        "zone = \"hall-a\"\n",
        "zone = \"hall-a\"\nlog = \"loud\"\n",
        expect![[
            r#"chervilwind.toml:3: the settings file has log "loud"; give one of `"off"`, `"error"`, `"warn"`, `"info"`, `"debug"`, `"trace"`"#
        ]],
    );
}

#[test]
fn parse_bad_name() {
    check(
        "\"router-1\"",
        "\"router 1\"",
        expect![[
            r#"chervilwind.toml:1: the settings file has name "router 1"; give letters, digits and `-_.:`, in quotes"#
        ]],
    );
}

#[test]
fn parse_missing() {
    check_all(
        "log = \"warn\"",
        expect![[r#"
        chervilwind.toml:1: the settings file has no name; add `name = "router-1"`
        chervilwind.toml:1: the settings file has no zone; add `zone = "hall-a"`
        chervilwind.toml:1: [callers] is missing; add `[callers]` with `listen = "10.0.0.7:7400"`
        chervilwind.toml:1: [peers] is missing; add `[peers]` with `listen = "10.0.0.7:7400"`
        chervilwind.toml:1: [operators] is missing; add `[operators]` with `listen = "10.0.0.7:7400"`
        chervilwind.toml:1: [platform] is missing; add `[platform]` with `address = "10.0.0.2:7000"`"#]],
    );
}

#[test]
fn parse_duplicate_section() {
    check("[peers]\n", "[callers]\n", expect!["chervilwind.toml:5: `[callers]` is given twice; keep one of the two, or give the other its own name"]);
}

#[test]
fn bind_fills_ports() {
    let mut settings = parse(GOOD);
    let listeners = settings.bind().unwrap();
    let port = listeners.callers.local_addr().unwrap().port();
    assert_ne!(port, 0);
    assert_eq!(settings.callers.listen.port(), port);
    assert_eq!(settings.callers.advertise.port(), port);
}

/// Guards against a router that starts although one of its addresses is in use.
#[test]
fn bind_port_in_use() {
    let other = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = other.local_addr().unwrap();
    // No other test uses this address, so that none can take its port meanwhile.
    let first = "127.77.0.1:7400";
    let text =
        GOOD.replacen("127.0.0.1:0", first, 1)
            .replacen("127.0.0.1:0", &address.to_string(), 1);
    let error = parse(&text).bind().unwrap_err();
    let shown = render(&error, false).replace(&address.port().to_string(), "PORT");
    expect![[r#"
        shown:
          × chervilwind.toml:6: peers.listen = 127.0.0.1:PORT is in use
          help: stop the process that listens there, or give peers.listen another port
    "#]]
    .assert_eq(&format!("shown:\n{shown}"));
    TcpListener::bind(first).expect("the first address is free again");
}

#[test]
fn bind_foreign_address() {
    let text = GOOD.replacen("127.0.0.1:0", "192.0.2.1:7400", 1);
    let error = parse(&text).bind().unwrap_err();
    expect!["chervilwind.toml:4: callers.listen = 192.0.2.1:7400 is no address of this instance; give callers.listen one of the instance's own addresses, or `0.0.0.0:7400` for all"].assert_eq(&format!("{error}; {}", error.help().unwrap()));
}
