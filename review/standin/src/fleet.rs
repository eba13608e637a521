//! Routers and servers as processes, and the record of a case.

use crate::{
    http::{head, Channel, Message},
    store::Store,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    env, fs,
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

const START_TIMEOUT: Duration = Duration::from_secs(20);
pub const HOST: &str = "ficu95.example";

/// What happened, with times since the start of the case.
#[derive(Debug, Clone)]
pub struct Record {
    begun: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Record {
    pub fn new() -> Record {
        Record {
            begun: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn now(&self) -> Duration {
        self.begun.elapsed()
    }

    pub fn add(&self, line: String) {
        let at = self.now();
        self.lines.lock().unwrap().push((at, line));
    }

    /// Returns the ids in the servers' lines that begin with a word.
    pub fn ids_after(&self, word: &str) -> BTreeSet<String> {
        let lines = self.lines.lock().unwrap();
        let of_servers = lines.iter().filter(|(_, line)| line.starts_with("server "));
        let said = of_servers.filter_map(|(_, line)| line.split_once(": "));
        let ids = said.filter_map(|(_, said)| said.strip_prefix(word));
        ids.map(str::to_owned).collect()
    }

    /// Writes the record and the verdict to a file.
    pub fn write(&self, file: &Path, verdict: &str) -> io::Result<()> {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort();
        let mut out = fs::File::create(file)?;
        for (at, line) in lines {
            writeln!(out, "{:8.3} s  {line}", at.as_secs_f64())?;
        }
        writeln!(out, "{verdict}")
    }
}

/// A free place for one machine: a loopback address with the same ports on all machines.
fn is_free(ip: &str) -> bool {
    let tcp = (7700..7705).all(|port| TcpListener::bind((ip, port)).is_ok());
    tcp && UdpSocket::bind((ip, 7703)).is_ok()
}

fn free_net() -> String {
    let first = std::process::id() as usize;
    let nets = (0..).map(|n| format!("127.{}.{}", 60 + (first + n) % 120, (first / 7 + n) % 200));
    let mut nets = nets.filter(|net| (1..9).all(|n| is_free(&format!("{net}.{n}"))));
    nets.next().expect("there are free addresses")
}

/// Fills in the template of the deploy file as the platform does.
fn fill_in(template: &str, fields: &[(&str, String)], seeds: &[String]) -> Result<String, String> {
    let mut text = template.to_owned();
    let seeds: Vec<String> = seeds.iter().map(|s| format!("\"{s}\"")).collect();
    text = text.replace("{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", &seeds.join(","));
    for (name, value) in fields {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    // Sections of bounds that this installation does not have.
    let lines = text.lines().filter(|line| !line.starts_with("{{#bounds."));
    let text = lines.collect::<Vec<_>>().join("\n");
    match text.contains("{{") {
        true => Err(format!(
            "the template holds a field that is not known:\n{text}"
        )),
        false => Ok(text),
    }
}

/// A machine with one process of the project's own program.
#[derive(Debug)]
pub struct Machine {
    pub name: String,
    ip: String,
    settings: PathBuf,
    child: Child,
    /// When its process was last started.
    pub started: Instant,
}

/// All that a case starts.
pub struct Fleet {
    pub record: Record,
    pub store: Store,
    pub machines: Vec<Machine>,
    pub servers: BTreeMap<String, Child>,
    dir: PathBuf,
    net: String,
    memory_mb: u64,
    version: u64,
}

impl Machine {
    pub fn addr(&self, port: u16) -> SocketAddr {
        format!("{}:{port}", self.ip).parse().expect("an address")
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<Message> {
            let mut channel = Channel::open(self.addr(7701))?;
            channel.send(&head("GET /v1/ready HTTP/1.1", &[("Host", HOST)]))?;
            channel.read_answer()
        };
        ask().is_ok_and(|answer| answer.status() == 200)
    }

    /// Starts its process again.
    pub fn restart(&mut self, log: &Path) -> io::Result<()> {
        let _ = self.child.wait();
        self.child = spawn_gateway(&self.settings, log)?;
        self.started = Instant::now();
        Ok(())
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// `run` of the deploy file, with the path of this machine's settings.
fn spawn_gateway(settings: &Path, log: &Path) -> io::Result<Child> {
    let log = fs::OpenOptions::new().create(true).append(true).open(log)?;
    Command::new("target/release/chervilwind")
        .args(["gateway", "--settings"])
        .arg(settings)
        .env("CHERVILWIND_SETTINGS", settings)
        // The platform sets this too; with one arena a process takes the least memory.
        .env("MALLOC_ARENA_MAX", "1")
        .stdin(Stdio::null())
        .stderr(log.try_clone()?)
        .stdout(log)
        .spawn()
}

impl Fleet {
    /// Starts the store and prepares a folder; machines are started later.
    pub fn new(memory_mb: u64) -> io::Result<Fleet> {
        let dir = env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&dir)?;
        Ok(Fleet {
            record: Record::new(),
            store: Store::start(),
            machines: Vec::new(),
            servers: BTreeMap::new(),
            dir,
            net: free_net(),
            memory_mb,
            version: 0,
        })
    }

    /// Writes a configuration.
    pub fn configure(&mut self, routes: &str, services: &str, tenants: &str) {
        self.version += 7;
        let limits = r#"{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000,"tokens_per_s":280000}"#;
        let config = format!(
            r#"{{"version":{},"routes":[{routes}],"services":[{services}],"limits":{limits},"tenants":[{tenants}]}}"#,
            self.version
        );
        self.store.put("op/config", &config);
        let version = self.version;
        self.record
            .add(format!("operator: configuration {version}"));
    }

    /// Starts machines, one in each zone.
    pub fn start_machines(&mut self, count: usize) -> Result<(), String> {
        let template = fs::read_to_string("deploy/settings.toml").map_err(|e| e.to_string())?;
        let ip = |n: usize| format!("{}.{}", self.net, n + 1);
        let seeds: Vec<String> = (0..count.min(3))
            .map(|n| format!("{}:7705", ip(n)))
            .collect();
        for n in 0..count {
            let (name, ip) = (format!("edge-{n}"), ip(n));
            let at = |port: u16| format!("{ip}:{port}");
            let fields = [
                ("node_name", name.clone()),
                ("zone", format!("zone-{n}")),
                ("region", "here".to_owned()),
                ("listen.front", at(7700)),
                ("listen.ready", at(7701)),
                ("listen.directory", at(7702)),
                ("ip", ip.clone()),
                ("internal_ports.0", "7703".to_owned()),
                ("internal_ports.1", "7704".to_owned()),
                ("platform.address", self.store.addr.to_string()),
                ("bounds.grace_s", "8".to_owned()),
                ("bounds.retry_budget_ratio", "0.2".to_owned()),
                ("bounds.retry_budget_slack", "58".to_owned()),
                ("bounds.budget_window_s", "10".to_owned()),
                ("bounds.quota_window_s", "4".to_owned()),
                ("limits.memory_mb", self.memory_mb.to_string()),
                ("limits.max_fds", "4100".to_owned()),
                ("limits.cpu_share", "0.25".to_owned()),
            ];
            let text = fill_in(&template, &fields, &seeds)?;
            let settings = self.dir.join(format!("{name}.toml"));
            fs::write(&settings, text).map_err(|e| e.to_string())?;
            let child = spawn_gateway(&settings, &self.log(&name));
            self.machines.push(Machine {
                name,
                ip,
                settings,
                child: child.map_err(|e| e.to_string())?,
                started: Instant::now(),
            });
        }
        let until = Instant::now() + START_TIMEOUT;
        while !self.machines.iter().all(Machine::is_ready) {
            if Instant::now() > until {
                return Err("the machines did not become ready".to_owned());
            }
            thread::sleep(Duration::from_millis(50));
        }
        self.record.add(format!("{count} machines are ready"));
        Ok(())
    }

    /// The file that a machine's process writes its log to.
    pub fn log(&self, name: &str) -> PathBuf {
        self.dir.join(format!("{name}.log"))
    }

    /// Starts a server, and registers it as `ready`.
    pub fn start_server(
        &mut self,
        id: &str,
        service: &str,
        zone: usize,
        options: &[(&str, u64)],
    ) -> Result<(), String> {
        let program = env::current_exe().map_err(|e| e.to_string())?;
        let mut command = Command::new(program);
        command.args(["server", "--addr", "127.0.0.1:0", "--id", id]);
        for (name, value) in options {
            command.arg(format!("--{name}")).arg(value.to_string());
        }
        let child = command.stdin(Stdio::null()).stdout(Stdio::piped()).spawn();
        let mut child = child.map_err(|e| e.to_string())?;
        let output = child.stdout.take().expect("piped");
        let mut lines = BufReader::new(output).lines();
        let first = lines.next().and_then(Result::ok).unwrap_or_default();
        let addr = first
            .strip_prefix("listening ")
            .ok_or("a server did not start")?;
        let slots = options
            .iter()
            .find(|(name, _)| *name == "slots")
            .map_or(1, |(_, n)| *n);
        let entry = move |state: &str, addr: &str, service: &str| {
            format!(
                r#"{{"service":"{service}","address":"{addr}","zone":"zone-{zone}","version":"v1","slots":{slots},"state":"{state}","cold_remaining_ms":0,"seq":1}}"#
            )
        };
        self.store
            .put(&format!("servers/{id}"), &entry("ready", addr, service));
        fs::write(self.dir.join(id), entry("draining", addr, service))
            .map_err(|e| e.to_string())?;
        self.servers.insert(id.to_owned(), child);
        let (record, name) = (self.record.clone(), id.to_owned());
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                record.add(format!("server {name}: {line}"));
            }
        });
        Ok(())
    }

    /// A server reports that it is `draining`; the store has accepted that when this returns.
    pub fn drain_server(&self, id: &str) {
        let entry = fs::read_to_string(self.dir.join(id)).unwrap_or_default();
        self.store.put(&format!("servers/{id}"), &entry);
        self.record
            .add(format!("server {id}: its report `draining` is accepted"));
    }

    /// A server's process ends, and its entry is removed.
    pub fn end_server(&mut self, id: &str) {
        if let Some(mut child) = self.servers.remove(id) {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.record
            .add(format!("server {id}: its process has ended"));
        self.store.remove(&format!("servers/{id}"));
    }

    /// Ends all processes and removes the folder.
    pub fn end(&mut self) {
        for machine in &mut self.machines {
            machine.kill();
        }
        for (_, mut child) in std::mem::take(&mut self.servers) {
            let _ = child.kill();
            let _ = child.wait();
        }
        if env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.end();
    }
}

/// Asks a machine's directory for the addresses of machines that serve clients.
pub fn resolve(directory: SocketAddr) -> Vec<SocketAddr> {
    let ask = || -> io::Result<Message> {
        let mut channel = Channel::open(directory)?;
        let line = format!("GET /v1/resolve?name={HOST}&region=here&zone=zone-0 HTTP/1.1");
        channel.send(&head(&line, &[("Host", HOST)]))?;
        channel.read_answer()
    };
    let Ok(answer) = ask() else {
        return Vec::new();
    };
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    let quoted = body.split('"').filter_map(|part| part.parse().ok());
    quoted.collect()
}
