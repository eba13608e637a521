//! The whole path, with every part as a process of its own.

use std::{
    fs,
    io::{
        BufRead,
        BufReader, //
    },
    net::{
        IpAddr,
        Ipv4Addr, //
    },
    path::PathBuf,
    process::{
        Child,
        Command,
        Output,
        Stdio, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

/// A bound that only a hang passes.
const HANG: Duration = Duration::from_secs(60);
const PLATFORM: u16 = 7000;
const ADMIN: u16 = 7001;
const ROUTERS: u16 = 3;
const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];

/// A process that ends with the test.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A fleet on a loopback address of its own.
struct Fleet {
    ip: IpAddr,
    folder: PathBuf,
    parts: Vec<Process>,
}

fn chervilwind(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_chervilwind"));
    command.args(args);
    command
}

fn run(args: &[&str]) -> Output {
    chervilwind(args).output().unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

impl Fleet {
    fn start() -> Fleet {
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let name = format!("chervilwind-processes-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder).unwrap();
        let mut fleet = Fleet {
            ip: IpAddr::V4(Ipv4Addr::new(127, 91, high, low)),
            folder,
            parts: Vec::new(),
        };
        let list = fleet.list();
        fleet.standin(&["platform", "--instances", &list], PLATFORM);
        fleet.endpoint("engine", "drafting-llm", 7100);
        fleet.endpoint("plain", "broker-desk", 7101);
        for i in 0..ROUTERS {
            fleet.router(i);
        }
        fleet
    }

    fn at(&self, port: u16) -> String {
        format!("{}:{port}", self.ip)
    }

    fn callers(&self, i: u16) -> String {
        self.at(7400 + 10 * i)
    }

    /// Writes the platform's first list: the routers.
    fn list(&self) -> String {
        let entries: Vec<_> = (0..ROUTERS)
            .map(|i| {
                serde_json::json!({
                    "name": format!("router-{i}"),
                    "role": "router",
                    "zone": ZONES[usize::from(i)],
                    "addr": self.at(7401 + 10 * i),
                    "callers": self.callers(i),
                })
            })
            .collect();
        let file = self.folder.join("instances.json");
        fs::write(&file, serde_json::to_vec(&entries).unwrap()).unwrap();
        file.to_string_lossy().into_owned()
    }

    fn standin(&mut self, args: &[&str], port: u16) {
        let listen = self.at(port);
        let admin = self.at(ADMIN);
        let mut command = chervilwind(&["standin"]);
        command.args(args).args(["--listen", &listen]);
        if args[0] == "platform" {
            command.args(["--admin", &admin]);
        } else {
            command.args(["--register", &admin, "--zone", "hall-a"]);
        }
        let mut child = command.stdout(Stdio::piped()).spawn().unwrap();
        let mut line = String::new();
        let out = child.stdout.take().unwrap();
        BufReader::new(out).read_line(&mut line).unwrap();
        self.parts.push(Process(child));
        assert!(line.starts_with("listening"), "{line}");
    }

    fn endpoint(&mut self, kind: &str, service: &str, port: u16) {
        self.standin(&[kind, "--service", service], port);
    }

    fn router(&mut self, i: u16) {
        let settings = format!(
            "name = \"router-{i}\"\nzone = \"{}\"\n[callers]\nlisten = \"{}\"\n\
             [peers]\nlisten = \"{}\"\n[operators]\nlisten = \"{}\"\n\
             [platform]\naddress = \"{}\"\n",
            ZONES[usize::from(i)],
            self.callers(i),
            self.at(7401 + 10 * i),
            self.at(7402 + 10 * i),
            self.at(PLATFORM),
        );
        let file = self.folder.join(format!("router-{i}.toml"));
        fs::write(&file, settings).unwrap();
        let file = file.to_string_lossy().into_owned();
        let child = chervilwind(&["router", "--settings", &file])
            .spawn()
            .unwrap();
        self.parts.push(Process(child));
    }

    /// Calls through router `i` until the answer is what is waited for.
    fn call(&self, i: u16, args: &[&str], code: i32) -> Output {
        let begin = Instant::now();
        let router = self.callers(i);
        loop {
            let mut all = vec!["call", &router, "--profile", "standard"];
            all.extend(args);
            let out = run(&all);
            if out.status.code() == Some(code) {
                return out;
            }
            assert!(begin.elapsed() < HANG, "{}", text(&out.stderr));
            thread::sleep(Duration::from_millis(100));
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Puts the shipped configuration in force.
fn apply(fleet: &Fleet) {
    let file = fleet.folder.join("fleet.toml");
    fs::write(&file, run(&["defaults", "fleet"]).stdout).unwrap();
    let file = file.to_string_lossy().into_owned();
    let begin = Instant::now();
    loop {
        let operators = fleet.at(7402);
        let platform = fleet.at(PLATFORM);
        let args = [
            "apply",
            &file,
            "--platform",
            &platform,
            "--router",
            &operators,
            "--wait",
        ];
        let out = run(&args);
        if out.status.success() {
            return;
        }
        assert!(begin.elapsed() < HANG, "{}", text(&out.stderr));
        thread::sleep(Duration::from_millis(100));
    }
}

#[test]
fn call_all_separate() {
    let fleet = Fleet::start();
    apply(&fleet);
    for i in 0..ROUTERS {
        let model = ["--service", "drafting-llm", "--workspace", "bristol"];
        let streamed = [&model[..], &["--prompt", "Draft a notice"]].concat();
        let out = fleet.call(i, &streamed, 0);
        assert_eq!(text(&out.stdout).split_whitespace().count(), 16);
        let desk = ["--service", "broker-desk", "--workspace", "bristol"];
        let plain = [&desk[..], &["--path", "/quote", "--body", "one"]].concat();
        let out = fleet.call(i, &plain, 0);
        assert!(text(&out.stdout).starts_with("POST /quote 3 "), "{out:?}");
    }
    // Names that the configuration does not have: refused at once, with what to do.
    for (service, workspace, says) in [
        ("broker-desk", "nobody", "no workspace `nobody`"),
        ("no-desk", "bristol", "no service `no-desk`"),
    ] {
        let args = [
            "--service",
            service,
            "--workspace",
            workspace,
            "--path",
            "/quote",
        ];
        let out = fleet.call(0, &args, 5);
        assert!(text(&out.stderr).contains(says), "{}", text(&out.stderr));
    }
    let unknown = [
        "--service",
        "broker-desk",
        "--workspace",
        "bristol",
        "--path",
        "/quote",
        "--profile",
        "no-profile",
    ];
    let router = fleet.callers(0);
    let out = run(&[&["call", &router][..], &unknown].concat());
    assert_eq!(out.status.code(), Some(5));
    assert!(text(&out.stderr).contains("no profile `no-profile`"));
}
