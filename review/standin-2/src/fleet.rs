//! A small deployment: the store, the servers and the routers, each router and server a process.

use {
    crate::{http::Conn, record::Record, replica::Work, store::Store},
    std::{
        env, fs, io,
        io::{BufRead, BufReader},
        net::{SocketAddr, TcpListener, UdpSocket},
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        sync::{
            atomic::{AtomicBool, AtomicU64, Ordering},
            Arc,
        },
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

pub const HOST: &str = "ficu95.example";
/// Name of a key's holder, and the key.
pub const TENANT: &str = "hule930";
pub const KEY: &str = "asnmgkcuyj8pjbvk9m68";
/// How often a server checks in.
const CHECK_IN: Duration = Duration::from_millis(1_200);
/// Longest time until all routers are ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// A zone and its region.
#[derive(Debug, Clone, Copy)]
pub struct Place {
    pub zone: &'static str,
    pub region: &'static str,
}

/// The places of a deployment in one region.
pub const ONE_REGION: [Place; 3] = [
    Place {
        zone: "burnaby-a",
        region: "bc-south",
    },
    Place {
        zone: "surrey-b",
        region: "bc-south",
    },
    Place {
        zone: "richmond-c",
        region: "bc-south",
    },
];

/// A router of the project.
#[derive(Debug)]
pub struct Router {
    pub name: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
    child: Child,
}

/// A server, which runs as a process and checks in at the store.
#[derive(Debug)]
pub struct Replica {
    child: Child,
    entry: Arc<Entry>,
}

#[derive(Debug)]
struct Entry {
    id: String,
    service: String,
    addr: SocketAddr,
    zone: &'static str,
    slots: u32,
    seq: AtomicU64,
    born: u128,
    /// It checks in no more.
    over: AtomicBool,
}

impl Entry {
    fn check_in(&self, store: &Store) {
        let seq = self.seq.fetch_add(1, Ordering::SeqCst);
        let Entry {
            id,
            service,
            addr,
            zone,
            slots,
            born,
            ..
        } = self;
        let document = format!(
            "{{\"service\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"{zone}\",\
             \"version\":\"1\",\"slots\":{slots},\"state\":\"ready\",\"cold_remaining_ms\":0,\
             \"seq\":{seq},\"born\":{born}}}"
        );
        store.put(&format!("servers/{id}"), &document);
    }
}

impl Replica {
    /// Starts the process of a server in the first region, which checks in from then on.
    pub fn start(
        service: &str,
        work: &Work,
        store: &Store,
        record: &Record,
    ) -> io::Result<Replica> {
        let number: usize = work.id.bytes().map(usize::from).sum();
        let place = ONE_REGION[number % ONE_REGION.len()];
        Replica::start_in(place, service, work, store, record)
    }

    /// Starts the process of a server in a place.
    pub fn start_in(
        place: Place,
        service: &str,
        work: &Work,
        store: &Store,
        record: &Record,
    ) -> io::Result<Replica> {
        let mut child = Command::new(env::current_exe()?)
            .args(work.args())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        let out = child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let (lines, id) = (record.clone(), work.id.clone());
        thread::spawn(move || {
            for line in BufReader::new(out).lines().map_while(Result::ok) {
                lines.note(&format!("server {id} {line}"));
            }
        });
        let entry = Arc::new(Entry {
            id: work.id.clone(),
            service: service.to_owned(),
            addr: work.addr,
            zone: place.zone,
            slots: work.slots,
            seq: AtomicU64::new(1),
            born: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |d| d.as_millis()),
            over: AtomicBool::new(false),
        });
        let (checked, store) = (entry.clone(), store.clone());
        thread::spawn(move || {
            while !checked.over.load(Ordering::SeqCst) {
                checked.check_in(&store);
                thread::sleep(CHECK_IN);
            }
        });
        Ok(Replica { child, entry })
    }

    /// Ends its process with SIGKILL. It checks in no more.
    pub fn kill(&mut self) {
        self.entry.over.store(true, Ordering::SeqCst);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Replica {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Router {
    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<u16> {
            let mut conn = Conn::open(self.ready, Duration::from_secs(1))?;
            conn.send(b"GET /v1/ready HTTP/1.1\r\nHost: a\r\n\r\n")?;
            Ok(conn.read_head()?.map_or(0, |head| head.status()))
        };
        ask().is_ok_and(|status| status == 200)
    }

    /// Ends its process with SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts the program as the deploy file does, with its log beside its settings.
fn spawn(settings: &Path) -> io::Result<Child> {
    let log = fs::File::create(settings.with_extension("log"))?;
    Command::new("target/release/chervilwind")
        .args(["gateway", "--settings"])
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log)
        .spawn()
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns a loopback address with a free port.
pub fn free_addr() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// Finds five ports in a row that are free at all these addresses.
fn free_ports(ips: &[String]) -> io::Result<u16> {
    for _ in 0..200 {
        let base = TcpListener::bind("127.0.0.1:0")?.local_addr()?.port();
        let mut held: Vec<(TcpListener, UdpSocket)> = Vec::new();
        let mut free = base < 65_000;
        for ip in ips {
            for port in (base..).take(5) {
                let tcp = TcpListener::bind((ip.as_str(), port));
                let udp = UdpSocket::bind((ip.as_str(), port));
                match (tcp, udp) {
                    (Ok(tcp), Ok(udp)) => held.push((tcp, udp)),
                    _ => free = false,
                }
            }
        }
        if free {
            return Ok(base);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

/// Starts `count` routers in one region.
pub fn start_routers(
    count: usize,
    memory_mb: u64,
    store: &Store,
    record: &Record,
) -> io::Result<Vec<Router>> {
    let places = ONE_REGION.into_iter().cycle().take(count);
    start_routers_in(&places.collect::<Vec<_>>(), memory_mb, store, record)
}

/// Starts a router in each place, with a loopback address of its own, and waits until they are
/// ready.
///
/// The settings are what `deploy/settings.toml` gives on a machine of a small deployment.
pub fn start_routers_in(
    places: &[Place],
    memory_mb: u64,
    store: &Store,
    record: &Record,
) -> io::Result<Vec<Router>> {
    let dir = PathBuf::from(env::var("STANDIN_DIR").unwrap_or("/tmp".to_owned()));
    let third = std::process::id() % 200 + 20;
    let ips: Vec<String> = (1..=places.len())
        .map(|n| format!("127.77.{third}.{n}"))
        .collect();
    let port = free_ports(&ips)?;
    let seeds: Vec<String> = ips
        .iter()
        .take(3)
        .map(|ip| format!("\"{ip}:{port}\""))
        .collect();
    let mut routers = Vec::new();
    for (n, (ip, Place { zone, region })) in ips.iter().zip(places).enumerate() {
        let name = format!("edge-{zone}-{}", n + 1);
        let path = dir.join(format!("{name}.toml"));
        let text = format!(
            "name = \"{name}\"\nzone = \"{zone}\"\nregion = \"{region}\"\n\n[listen]\n\
             callers = \"{ip}:{}\"\nready = \"{ip}:{}\"\naddresses = \"{ip}:{}\"\n\
             peers = \"{ip}:{port}\"\nmetrics = \"{ip}:{}\"\n\n[fleet]\nseeds = [{}]\n\n[store]\n\
             address = \"{}\"\n\n[bounds]\ngrace-s = 8\nretry-ratio = 0.2\nretry-slack = 58\n\
             retry-window-s = 10\nfair-window-s = 4\n\n[instance]\nmemory-mb = {memory_mb}\n\
             descriptors = 4100\nprocessor = 0.25\n",
            port + 1,
            port + 2,
            port + 3,
            port + 4,
            seeds.join(", "),
            store.addr,
        );
        fs::write(&path, text)?;
        let child = spawn(&path)?;
        let addr = |port: u16| format!("{ip}:{port}").parse().map_err(io::Error::other);
        routers.push(Router {
            name,
            callers: addr(port + 1)?,
            ready: addr(port + 2)?,
            child,
        });
    }
    wait_ready(&routers)?;
    record.note(&format!("{} routers are ready", routers.len()));
    Ok(routers)
}

/// Waits until all routers are ready.
pub fn wait_ready(routers: &[Router]) -> io::Result<()> {
    let until = Instant::now() + READY_TIMEOUT;
    while !routers.iter().all(Router::is_ready) {
        if Instant::now() > until {
            return Err(io::Error::other("the routers are not ready in time"));
        }
        thread::sleep(Duration::from_millis(50));
    }
    Ok(())
}

/// A route of the configuration.
#[derive(Debug, Clone)]
pub struct Route {
    pub name: &'static str,
    pub route_type: &'static str,
    pub service: &'static str,
    pub timeout_ms: u64,
    pub target_ms: u64,
    pub max_attempts: u32,
    pub resume: bool,
    /// The regions in which it may be served; any if there are none.
    pub regions: &'static [&'static str],
}

/// A tenant of the configuration: its name and its keys.
pub type Tenant<'a> = (&'a str, &'a [&'a str]);

/// Writes a configuration with one tenant. The store's answer acknowledges it.
pub fn configure(
    store: &Store,
    version: u64,
    routes: &[Route],
    services: &[&str],
    max_body_bytes: usize,
) {
    configure_tenants(
        store,
        version,
        routes,
        services,
        max_body_bytes,
        &[(TENANT, &[KEY])],
    );
}

/// Writes a configuration. The store's answer acknowledges it.
pub fn configure_tenants(
    store: &Store,
    version: u64,
    routes: &[Route],
    services: &[&str],
    max_body_bytes: usize,
    tenants: &[Tenant<'_>],
) {
    let tenants: Vec<String> = tenants
        .iter()
        .map(|(name, keys)| {
            let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
            let keys = keys.join(",");
            format!("{{\"name\":\"{name}\",\"api_keys\":[{keys}],\"priority\":1}}")
        })
        .collect();
    let routes: Vec<String> = routes
        .iter()
        .map(|r| {
            let Route {
                name,
                route_type,
                service,
                timeout_ms,
                target_ms,
                max_attempts,
                resume,
                regions,
            } = r;
            let regions: Vec<String> = regions.iter().map(|r| format!("\"{r}\"")).collect();
            let regions = regions.join(",");
            format!(
                "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"/{name}/\",\
                 \"service\":\"{service}\",\"route_type\":\"{route_type}\",\
                 \"timeout_ms\":{timeout_ms},\"target_latency_ms\":{target_ms},\"priority\":1,\
                 \"max_attempts\":{max_attempts},\"stream_resume\":{resume},\
                 \"allowed_regions\":[{regions}]}}"
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|name| format!("{{\"name\":\"{name}\",\"health_path\":\"/health\"}}"))
        .collect();
    let document = format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\
         \"max_header_bytes\":16384,\"max_body_bytes\":{max_body_bytes},\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{}]}}",
        routes.join(","),
        services.join(","),
        tenants.join(",")
    );
    store.put("op/config", &document);
}

/// Encodes a client's request.
pub fn request(
    method: &str,
    target: &str,
    attempt: &str,
    patience_ms: u64,
    body: &[u8],
) -> Vec<u8> {
    request_with_key(KEY, method, target, attempt, patience_ms, body)
}

/// Encodes the request of a client with a key.
pub fn request_with_key(
    key: &str,
    method: &str,
    target: &str,
    attempt: &str,
    patience_ms: u64,
    body: &[u8],
) -> Vec<u8> {
    let mut text = format!(
        "{method} {target} HTTP/1.1\r\nHost: {HOST}\r\nChervilwind-Attempt-Id: {attempt}\r\n\
         Chervilwind-Deadline-Ms: {patience_ms}\r\nChervilwind-Key: {key}\r\n"
    );
    if method == "POST" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
