//! A router with the product's own interface: its callers' port and its peers' port.

use {
    super::{
        crowd::{
            Crowd,
            Script, //
        },
        process::Process,
        router::{
            exchange,
            next_ip,
            wait_until, //
        },
        serial,
    },
    callers::{
        PROFILE,
        SERVICE,
        WORKSPACE, //
    },
    std::{
        fs,
        net::{
            Ipv4Addr,
            SocketAddr, //
        },
        path::PathBuf,
        process::{
            Command,
            Stdio, //
        },
        time::Duration,
    },
};

/// Memory that a router is designed for.
const MEMORY_MB: u64 = 256;
const LEGAL_BODY: usize = 4_000_000;
/// Length of a frame of messages that a peer may send.
const LEGAL_FRAME: usize = 1_000_000;
const CALLERS: u16 = 7400;
const PEERS: u16 = 7401;

/// What a router's settings allow it to take.
#[derive(Debug, Clone, Copy)]
struct Allowed {
    /// The section `[limits]` of the settings.
    limits: &'static str,
    descriptors: usize,
}

const BY_DEFAULT: Allowed = Allowed {
    limits: "",
    descriptors: 1_200,
};

const FEW_CONNECTIONS: Allowed = Allowed {
    limits: "connections = 200",
    descriptors: 500,
};

/// A router and a stand-in of the platform.
struct Router {
    process: Process,
    _platform: Process,
    ip: Ipv4Addr,
}

fn spawn(args: &[&str], ip: Ipv4Addr) -> Process {
    let mut command = Command::new(env!("CARGO_BIN_EXE_chervilwind"));
    command
        .args(args)
        .stdin(Stdio::null())
        .stdout(Stdio::null());
    Process::new(command.spawn().unwrap(), ip)
}

impl Router {
    fn start(limits: &str) -> Router {
        let (ip, platform) = (next_ip(), next_ip());
        let at = |port: u16| format!("{ip}:{port}");
        let (store, admin) = (format!("{platform}:7000"), format!("{platform}:7001"));
        let standin = ["standin", "platform", "--listen", &store, "--admin", &admin];
        let platform = spawn(&standin, platform);
        let settings = format!(
            "name = \"router-1\"\nzone = \"hall-a\"\n[callers]\nlisten = \"{}\"\n\
             [peers]\nlisten = \"{}\"\n[operators]\nlisten = \"{}\"\n\
             [platform]\naddress = \"{store}\"\n[limits]\n{limits}\n",
            at(CALLERS),
            at(PEERS),
            at(7402),
        );
        let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("crowds-own-{ip}.toml"));
        fs::write(&file, settings).unwrap();
        let file = file.to_string_lossy().into_owned();
        let router = Router {
            process: spawn(&["router", "--settings", &file], ip),
            _platform: platform,
            ip,
        };
        router.wait_answered();
        router
    }

    fn addr(&self, port: u16) -> SocketAddr {
        SocketAddr::from((self.ip, port))
    }

    /// Waits until an ordinary request is answered. Without a configuration the answer is a refusal.
    fn wait_answered(&self) {
        wait_until("an ordinary request is answered", || {
            let request = [head("Content-Length: 600"), vec![b'r'; 600]].concat();
            let answer = exchange(self.addr(CALLERS), &request);
            answer.is_ok_and(|a| String::from_utf8_lossy(&a.body).contains("configuration"))
        });
        wait_until("a peer's question is answered", || {
            let question = b"POST /a HTTP/1.1\r\nHost: a\r\nchervilwind-from: router-9\r\n\
                Content-Length: 1\r\nConnection: close\r\n\r\n?";
            exchange(self.addr(PEERS), question).is_ok_and(|answer| answer.status == 400)
        });
    }
}

fn head(line: &str) -> Vec<u8> {
    let names = format!("{SERVICE}: desk\r\n{WORKSPACE}: bristol\r\n{PROFILE}: standard");
    format!("POST /quote HTTP/1.1\r\nHost: a\r\n{names}\r\n{line}\r\n\r\n").into_bytes()
}

fn check_crowd(allowed: Allowed, port: u16, count: usize, script: &Script) {
    let _serial = serial();
    let mut router = Router::start(allowed.limits);
    let monitor = router.process.monitor();
    let crowd = Crowd::send(router.addr(port), count, script);
    crowd.stay();
    router.wait_answered();
    drop(crowd);
    router.wait_answered();
    let most = monitor.finish();
    println!("{} KiB, {} descriptors", most.bytes >> 10, most.descriptors);
    assert!(router.process.is_running(), "the process has ended");
    let bytes = MEMORY_MB << 20;
    assert!(
        most.bytes <= bytes,
        "{} of {bytes} bytes were taken",
        most.bytes
    );
    assert!(
        most.descriptors <= allowed.descriptors,
        "{} of {} descriptors were taken",
        most.descriptors,
        allowed.descriptors
    );
}

/// Guards against bodies without a limit on all of them.
#[test]
fn own_bodies_sized_that_stop_short() {
    let script = Script {
        head: head(&format!("Content-Length: {LEGAL_BODY}")),
        piece: vec![b'u'; LEGAL_BODY - 1],
        times: 1,
        pause: Duration::ZERO,
    };
    check_crowd(BY_DEFAULT, CALLERS, 100, &script);
}

/// Guards against the same for bodies in chunks.
#[test]
fn own_bodies_in_chunks_that_stop_short() {
    let data = "u".repeat(64_000);
    let script = Script {
        head: head("Transfer-Encoding: chunked"),
        piece: format!("fa00\r\n{data}\r\n").into_bytes(),
        times: LEGAL_BODY / 64_000,
        pause: Duration::ZERO,
    };
    check_crowd(BY_DEFAULT, CALLERS, 100, &script);
}

/// Guards against a cost for each chunk, however small it is.
#[test]
fn own_bodies_in_one_byte_chunks_that_stop_short() {
    let script = Script {
        head: head("Transfer-Encoding: chunked"),
        piece: b"1\r\nu\r\n".repeat(10_000),
        times: 80,
        pause: Duration::ZERO,
    };
    check_crowd(BY_DEFAULT, CALLERS, 60, &script);
}

/// Guards against a table of connections that is full until its clients leave.
#[test]
fn own_connections_that_send_nothing() {
    let script = Script {
        head: Vec::new(),
        piece: Vec::new(),
        times: 0,
        pause: Duration::ZERO,
    };
    check_crowd(FEW_CONNECTIONS, CALLERS, 400, &script);
}

/// Guards against the same for connections that have begun a request.
#[test]
fn own_heads_that_stop() {
    let script = Script {
        head: b"POST /quote HTTP/1.1\r\nHost: ".to_vec(),
        piece: b"a".to_vec(),
        times: 1,
        pause: Duration::ZERO,
    };
    check_crowd(FEW_CONNECTIONS, CALLERS, 400, &script);
}

/// Guards against frames of peers without a limit on all of them.
#[test]
fn own_peers_frames_that_stop_short() {
    let lengths = format!("Content-Length: {}\r\n\r\n", 4 + LEGAL_FRAME);
    let line = "POST /p HTTP/1.1\r\nHost: a\r\nchervilwind-from: router-9\r\n";
    let script = Script {
        head: format!("{line}{lengths}").into_bytes(),
        piece: [
            &(LEGAL_FRAME as u32).to_be_bytes()[..],
            &vec![b'u'; LEGAL_FRAME - 1],
        ]
        .concat(),
        times: 1,
        pause: Duration::ZERO,
    };
    check_crowd(BY_DEFAULT, PEERS, 400, &script);
}

/// Guards against any number of connections of peers.
#[test]
fn own_peers_connections_that_send_one_byte() {
    let script = Script {
        head: b"P".to_vec(),
        piece: Vec::new(),
        times: 0,
        pause: Duration::ZERO,
    };
    check_crowd(BY_DEFAULT, PEERS, 2_000, &script);
}
