//! The gateway as a process of its own: its settings, metrics, dump and end.

#[path = "common/settings.rs"]
mod settings;

use {
    settings::gateway_settings,
    std::{
        fs,
        io::{
            Read,
            Write, //
        },
        net::{
            SocketAddr,
            TcpStream, //
        },
        path::{
            Path,
            PathBuf, //
        },
        process::{
            Child,
            Command,
            Output,
            Stdio, //
        },
        thread,
        time::Duration, //
    },
};

/// Pauses between two questions, and how many there are before a gateway counts as hanging.
const PAUSE: Duration = Duration::from_millis(50);
const TRIES: u32 = 600;

/// Returns the settings of an instance whose store can't be reached; `IP` stands for its address.
fn unreachable_store() -> String {
    gateway_settings("edge-1", "hall-a", "IP", &[], "IP:9")
}

/// A process that is killed at the end of its test.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Writes settings for a loopback address of their own, so that no other test takes its ports.
fn write(ip: &str, settings: &str) -> PathBuf {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("gateway-{ip}.toml"));
    fs::write(&file, settings.replace("IP", ip)).unwrap();
    file
}

fn gateway(file: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_chervilwind"));
    command.arg("gateway").arg("--settings").arg(file);
    command
}

/// Asks an address; none where nobody listens yet.
fn ask(addr: &str, path: &str) -> Option<String> {
    let addr: SocketAddr = addr.parse().unwrap();
    let mut stream = TcpStream::connect(addr).ok()?;
    let question = format!("GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    stream.write_all(question.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    Some(answer)
}

/// Asks until the answer has a text.
fn wait(addr: &str, path: &str, text: &str) -> String {
    let mut last = None;
    for _ in 0..TRIES {
        last = ask(addr, path);
        if let Some(answer) = last.as_ref().filter(|a| a.contains(text)) {
            return answer.clone();
        }
        thread::sleep(PAUSE);
    }
    panic!("no `{text}` at {addr}{path}: {last:?}");
}

/// Runs a gateway that ends by itself. Its messages are wrapped at 80 columns, so that it is given a
/// file name without directories, whose length would differ from one checkout to the next.
fn ended(file: &Path) -> Output {
    let (dir, name) = (file.parent().unwrap(), file.file_name().unwrap());
    gateway(Path::new(name)).current_dir(dir).output().unwrap()
}

/// Guards against an instance that starts with invalid settings.
#[test]
fn gateway_wrong_settings() {
    for (from, to, named) in [
        ("zone = \"hall-a\"\n", "", "missing field `zone`"),
        ("grace-s = 8", "grace-s = 0", "bounds.grace-s is 0"),
        (
            "retry-ratio = 0.2",
            "retry-ratio = -1",
            "bounds.retry-ratio is -1",
        ),
        (
            "[instance]",
            "[clients]\nmemory-mb = 101\n[instance]",
            "clients.memory-mb is 101; give 1 to 100",
        ),
        (
            "[instance]",
            "[clients]\nunread-bytes = 100\n[instance]",
            "clients.unread-bytes is 100; give 2048 to 65536",
        ),
    ] {
        let output = ended(&write("127.0.76.1", &unreachable_store().replace(from, to)));
        let said = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success(), "{to}");
        assert!(said.contains(named), "{said}");
        assert!(said.contains("deploy/settings.toml"), "{said}");
    }
}

#[test]
fn gateway_unknown_settings_are_ignored() {
    let file = write("127.0.76.2", &format!("shade = 3\n{}", unreachable_store()));
    let _process = Process(gateway(&file).stdout(Stdio::null()).spawn().unwrap());
    wait("127.0.76.2:7604", "/metrics", "200 OK");
}

/// Guards against an instance without a store that shows no metrics and no state.
#[test]
fn gateway_metrics_and_dump() {
    let file = write("127.0.76.3", &unreachable_store());
    let _process = Process(gateway(&file).stdout(Stdio::null()).spawn().unwrap());
    let metrics = wait(
        "127.0.76.3:7604",
        "/metrics",
        "chervilwind_store_calls{call=\"config\"}",
    );
    for name in ["chervilwind_active_requests 0", "chervilwind_peers 0"] {
        assert!(metrics.contains(name), "{name} in {metrics}");
    }
    wait("127.0.76.3:7604", "/state", "store_lost: true");
    wait("127.0.76.3:7601", "/v1/ready", "503");
}

/// Guards against an idle instance that takes its whole grace period to end.
#[test]
fn gateway_ends_by_itself() {
    let file = write("127.0.76.4", &unreachable_store());
    let mut process = Process(gateway(&file).stdout(Stdio::null()).spawn().unwrap());
    wait("127.0.76.4:7604", "/metrics", "200 OK");
    let pid = process.0.id().to_string();
    assert!(Command::new("kill")
        .args(["-TERM", &pid])
        .status()
        .unwrap()
        .success());
    assert!(process.0.wait().unwrap().success());
}
