//! A gateway process with a store and a replica.

use {
    super::{
        gateway::spawn_gateway,
        http::{
            answer,
            serve,
            Conn,
            Message, //
        },
        process::{
            Monitor,
            Process, //
        },
        settings::gateway_settings,
        store::FakeStore, //
    },
    adapter::testing::{
        config,
        replica_key,
        ReplicaEntry,
        RouteEntry,
        ATTEMPT_ID,
        CONFIG_KEY,
        READY_PATH,
        REPLICA_SEAL, //
    },
    serde_json::to_value,
    std::{
        io,
        net::{
            Ipv4Addr,
            SocketAddr,
            TcpListener, //
        },
        process,
        sync::{
            atomic::{
                AtomicU64,
                AtomicU8,
                Ordering, //
            },
            Arc, //
        },
        thread,
        time::{
            Duration,
            Instant, //
        },
    },
};

/// Time limit that only a hang exceeds.
pub(crate) const HANG_TIMEOUT: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(50);
/// How long an answer stops midway.
const STALL: Duration = Duration::from_secs(4);
/// Host of all routes.
pub(crate) const HOST: &str = "a.example";
/// Length of an answer to a request whose path ends with `long`.
const LONG_ANSWER: usize = 900_000;
/// Requests that the replica runs at the same time.
const SLOTS: u32 = 64;
/// How long the replica works on a request whose path ends with `hold`.
const HOLD: Duration = Duration::from_secs(1);

static NEXT_IP: AtomicU8 = AtomicU8::new(1);
static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Resources that a router is allowed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Bounds {
    pub(crate) memory_mb: u64,
    pub(crate) descriptors: usize,
}

/// A gateway, with the most that it took since its start.
#[derive(Debug)]
pub(crate) struct Router {
    process: Process,
    monitor: Monitor,
    bounds: Bounds,
    ip: Ipv4Addr,
}

/// Returns a loopback address that nothing else uses.
pub(crate) fn next_ip() -> Ipv4Addr {
    let [.., high, low] = process::id().to_be_bytes();
    let last = NEXT_IP.fetch_add(1, Ordering::Relaxed);
    Ipv4Addr::new(127, 96 + high % 16, low, last)
}

/// Returns an id that no other request has.
pub(crate) fn next_id() -> String {
    format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::Relaxed))
}

impl Router {
    /// Starts a router and waits until it is ready.
    pub(crate) fn start(bounds: Bounds) -> Router {
        Router::start_with_grace(bounds, 8)
    }

    /// Starts a router that has so many seconds to stop, and waits until it is ready.
    pub(crate) fn start_with_grace(bounds: Bounds, grace_s: u64) -> Router {
        let store = FakeStore::start();
        start_replica(&store);
        store.put(CONFIG_KEY, &configuration());
        let ip = next_ip();
        let text = gateway_settings(
            "edge-1",
            "hall-a",
            &ip.to_string(),
            &[],
            &store.addr.to_string(),
        )
        .replace(
            "memory-mb = 100",
            &format!("memory-mb = {}", bounds.memory_mb),
        )
        .replace(
            "descriptors = 4000",
            &format!("descriptors = {}", bounds.descriptors),
        );
        let text = text.replace("grace-s = 8", &format!("grace-s = {grace_s}"));
        let process = Process::new(spawn_gateway(ip, &text), ip);
        let router = Router {
            monitor: process.monitor(),
            process,
            bounds,
            ip,
        };
        wait_until("the router is ready", || {
            let request = format!("GET {READY_PATH} HTTP/1.1\r\nHost: a\r\n\r\n");
            exchange(router.addr(7601), request.as_bytes()).is_ok_and(|a| a.status == 200)
        });
        router
    }

    /// Returns the address of a listener; the ports are those of the settings.
    pub(crate) fn addr(&self, port: u16) -> SocketAddr {
        SocketAddr::from((self.ip, port))
    }

    pub(crate) fn callers(&self) -> SocketAddr {
        self.addr(7600)
    }

    /// Sends an ordinary request once, and returns the status of its answer.
    pub(crate) fn ask(&self) -> io::Result<u16> {
        let mut request = head("POST /single/a", &["Content-Length: 600"]);
        request.extend_from_slice(&[b'r'; 600]);
        exchange(self.callers(), &request).map(|answer| answer.status)
    }

    /// Waits until an ordinary request is answered with success.
    pub(crate) fn wait_answered(&self) {
        wait_until("an ordinary request is answered", || {
            self.ask().is_ok_and(|status| status == 200)
        });
    }

    /// Begins to stop the process.
    pub(crate) fn terminate(&self) {
        self.process.terminate();
    }

    /// Waits until the process has ended, and returns whether it did so by itself.
    pub(crate) fn wait_ended(mut self) -> bool {
        self.process.wait().success()
    }

    /// Checks that the process runs and stayed within its bounds.
    pub(crate) fn check(mut self) {
        assert!(self.process.is_running(), "the process has ended");
        let most = self.monitor.finish();
        let Bounds {
            memory_mb,
            descriptors,
        } = self.bounds;
        println!("{} KiB, {} descriptors", most.bytes >> 10, most.descriptors);
        assert!(
            most.bytes <= memory_mb << 20,
            "{} KiB of {} KiB were taken",
            most.bytes >> 10,
            memory_mb << 10
        );
        assert!(
            most.descriptors <= descriptors,
            "{} of {descriptors} descriptors were taken",
            most.descriptors
        );
    }
}

/// An answer that stops midway, below the limit on its part that stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Unfinished {
    Head,
    Body,
    Event,
    Trailer,
    OtherAnswer,
}

impl Unfinished {
    pub(crate) const ALL: [Unfinished; 5] = [
        Unfinished::Head,
        Unfinished::Body,
        Unfinished::Event,
        Unfinished::Trailer,
        Unfinished::OtherAnswer,
    ];

    /// Returns the last part of the path to which the replica answers so.
    pub(crate) fn path(self) -> String {
        format!("unfinished-{self:?}")
    }

    fn of(target: &str) -> Option<Unfinished> {
        let mut all = Unfinished::ALL.into_iter();
        all.find(|answer| target.ends_with(&answer.path()))
    }

    fn encode(self, id: &str) -> Vec<u8> {
        let head = |id, lines| {
            format!("HTTP/1.1 200 OK\r\n{ATTEMPT_ID}: {id}\r\n{REPLICA_SEAL}: seal\r\n{lines}\r\n")
        };
        let chunked = "Transfer-Encoding: chunked\r\n";
        let (head, filler) = match self {
            Unfinished::Head => (
                format!("HTTP/1.1 200 OK\r\n{ATTEMPT_ID}: {id}\r\nX-Filler: "),
                32_000,
            ),
            Unfinished::Body => (head(id, ""), 1_000_000),
            Unfinished::Event => (
                head(id, "Content-Type: text/event-stream\r\n") + "data: ",
                1_000_000,
            ),
            Unfinished::Trailer => (head(id, chunked) + "3\r\nabc\r\n0\r\nX-Filler: ", 4_000),
            Unfinished::OtherAnswer => (head("other", "Content-Length: 262144\r\n"), 250_000),
        };
        [head.into_bytes(), vec![b'f'; filler]].concat()
    }
}

/// Encodes the head of a request with an id and further lines.
pub(crate) fn head(target: &str, lines: &[&str]) -> Vec<u8> {
    let lines: String = lines.iter().map(|line| format!("{line}\r\n")).collect();
    let id = next_id();
    format!("{target} HTTP/1.1\r\nHost: {HOST}\r\n{ATTEMPT_ID}: {id}\r\n{lines}\r\n").into_bytes()
}

/// Sends a request over a connection of its own, and reads the answer.
pub(crate) fn exchange(addr: SocketAddr, request: &[u8]) -> io::Result<Message> {
    let mut conn = Conn::open(addr)?;
    conn.send(request)?;
    conn.read_answer()
}

/// Waits for an event, with a time limit that only a hang exceeds.
pub(crate) fn wait_until(what: &str, mut done: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !done() {
        assert!(begun.elapsed() < HANG_TIMEOUT, "hangs until {what}");
        thread::sleep(POLL);
    }
}

fn configuration() -> serde_json::Value {
    let route = |name, route_type| RouteEntry {
        name,
        host: HOST,
        route_type,
        timeout_ms: 8_000,
        max_attempts: 2,
        split: vec![("desk", 1)],
    };
    let routes = [
        route("single", "non_idempotent"),
        route("again", "idempotent"),
        route("stream", "streaming"),
    ];
    config(1, &routes, &["desk"], &[], 64)
}

/// Starts a replica that answers all requests, and registers it.
fn start_replica(store: &FakeStore) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let _ = serve(listener, Arc::new(handle));
    let entry = ReplicaEntry {
        service: "desk",
        address: addr.to_string(),
        zone: "hall-a".to_owned(),
        version: "v1",
        slots: SLOTS,
        state: "ready",
        born: 1_700_000_000_000,
        seq: 1,
    };
    store.put(&replica_key("i-1"), &to_value(entry).unwrap());
}

fn handle(req: &Message, conn: &mut Conn) -> io::Result<()> {
    let id = req.header(ATTEMPT_ID).unwrap_or_default();
    let headers = [(ATTEMPT_ID, id), (REPLICA_SEAL, "seal")];
    if req.target.ends_with("hold") {
        thread::sleep(HOLD);
    }
    if let Some(answer) = Unfinished::of(&req.target) {
        conn.send(&answer.encode(id))?;
        thread::sleep(STALL);
        return Err(io::ErrorKind::BrokenPipe.into());
    }
    let body = match req.target.ends_with("long") {
        true => "l".repeat(LONG_ANSWER),
        false => format!("{} bytes", req.body.len()),
    };
    conn.send(&answer(200, &headers, &body))
}
