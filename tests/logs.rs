//! Log lines of a router's process.

use {
    chervilwind::DEFAULT_SETTINGS,
    operators::query,
    std::{
        fs,
        io::{
            BufRead,
            BufReader, //
        },
        net::{
            Ipv4Addr,
            SocketAddr, //
        },
        os::{
            fd::OwnedFd,
            unix::net::UnixStream, //
        },
        path::PathBuf,
        process::{
            Child,
            Command, //
        },
        time::Duration, //
    },
};

/// Pauses between two questions, and how many there are before a router counts as dead.
const PAUSE: Duration = Duration::from_millis(100);
const TRIES: u32 = 600;

/// A process that is killed at the end of its test.
struct Router(Child);

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts a router on a loopback address of its own, so that no other test takes its ports.
fn start(ip: Ipv4Addr, stderr: UnixStream) -> (Router, SocketAddr) {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let file = dir.join(format!("logs-{ip}.toml"));
    let settings = DEFAULT_SETTINGS
        .replace("127.0.0.1", &ip.to_string())
        .replace("log = \"warn\"", "log = \"info\"");
    fs::write(&file, settings).unwrap();
    let child = Command::new(env!("CARGO_BIN_EXE_chervilwind"))
        .args(["router", "--settings", file.to_str().unwrap()])
        .stderr(OwnedFd::from(stderr))
        .spawn()
        .unwrap();
    (Router(child), SocketAddr::from((ip, 7402)))
}

#[async_std::test]
async fn log_reader_gone() {
    // The process that collects a router's log lines ends. At the next line the router's task
    // that writes it panics, as the pipe is broken, and the router goes on without the task.
    // Cause: the logger panics where it can tell of a failed write nowhere.
    let (ours, theirs) = UnixStream::pair().unwrap();
    drop(ours);
    let (mut router, operators) = start(Ipv4Addr::new(127, 77, 0, 2), theirs);
    for _ in 0..TRIES {
        if query(operators, "/status").await.is_ok() {
            return;
        }
        let ended = router.0.try_wait().unwrap();
        assert!(ended.is_none(), "the router ended: {ended:?}");
        async_std::task::sleep(PAUSE).await;
    }
    panic!("the router never answered");
}

#[test]
fn log_line_form() {
    let (ours, theirs) = UnixStream::pair().unwrap();
    let _router = start(Ipv4Addr::new(127, 77, 0, 3), theirs);
    let line = BufReader::new(ours).lines().next().unwrap().unwrap();
    let words: Vec<&str> = line.split_whitespace().collect();
    assert_eq!(
        words[1..],
        ["INFO", "router:", "router-1", "is", "up"],
        "{line}"
    );
    assert!(
        words[0].starts_with("20") && words[0].ends_with('Z'),
        "{line}"
    );
}
