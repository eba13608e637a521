//! Stand-ins of replicas, which leave, ask for pauses, fail and restart.

use {
    super::{
        history::{
            Arrival,
            History,
            Pause,
            ReplicaStart,
            RequestId, //
        },
        http::{
            answer,
            head,
            serve,
            Conn,
            Message, //
        },
        store::FakeStore,
    },
    serde_json::json,
    std::{
        io,
        net::{
            SocketAddr,
            TcpListener, //
        },
        sync::{
            Arc,
            Mutex, //
        },
        thread,
        time::{
            Duration,
            Instant, //
        },
    },
};

/// Events of a stream.
pub(crate) const STREAM_EVENTS: u64 = 8;
/// Time between two of them.
const EVENT_INTERVAL: Duration = Duration::from_millis(10);
/// Duration of a request that is not a stream.
const WORK: Duration = Duration::from_millis(3);
/// Step of the delay after which an extra answer follows.
const EXTRA_DELAY: Duration = Duration::from_millis(5);
const SLOTS: u32 = 8;
/// Start of the first replicas, in Unix milliseconds.
const FIRST_START: u64 = 1_700_000_000_000;

/// How a replica answers.
#[derive(Debug, Clone, Copy, Default)]
struct State {
    /// Number of its current start.
    start: u32,
    /// Its process is not running.
    down: bool,
    leaving: bool,
    /// It rejects all requests and asks for this pause.
    pause: Option<Duration>,
    /// Some requests fail in one of these ways.
    failing: bool,
}

/// What becomes of a request.
#[derive(Debug, Clone, Copy)]
enum Fate {
    Served,
    Failed,
    /// It runs, and the connection is closed without an answer.
    Lost,
    /// An extra answer to another request follows its answer.
    Doubled,
}

impl State {
    fn fate(&self, request: RequestId) -> Fate {
        match (self.failing, request.number % 6) {
            (true, 0) => Fate::Failed,
            (true, 2) => Fate::Lost,
            (true, 4) => Fate::Doubled,
            _ => Fate::Served,
        }
    }
}

/// A replica.
#[derive(Debug, Clone)]
pub(crate) struct FakeReplica {
    number: usize,
    service: &'static str,
    addr: SocketAddr,
    state: Arc<Mutex<State>>,
    history: Arc<History>,
    store: FakeStore,
}

impl FakeReplica {
    /// Starts a replica and registers it.
    pub(crate) fn start(
        number: usize,
        service: &'static str,
        history: &Arc<History>,
        store: &FakeStore,
    ) -> FakeReplica {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let replica = FakeReplica {
            number,
            service,
            addr: listener.local_addr().unwrap(),
            state: Arc::default(),
            history: history.clone(),
            store: store.clone(),
        };
        let handle = replica.clone();
        serve(
            listener,
            Arc::new(move |req, conn| handle.handle(req, conn)),
        );
        replica.register("ready");
        replica
    }

    fn key(&self) -> String {
        format!("servers/i-{}", self.number)
    }

    /// Writes the replica's entry.
    pub(crate) fn register(&self, state: &str) {
        let start = self.state.lock().unwrap().start;
        let entry = json!({"service": self.service, "address": self.addr.to_string(),
            "zone": format!("hall-{}", self.number % 2), "slots": SLOTS, "state": state,
            "born": FIRST_START + u64::from(start), "seq": 1});
        self.store.put(&self.key(), &entry);
    }

    /// Removes the replica's entry.
    pub(crate) fn unregister(&self) {
        self.store.remove(&self.key());
    }

    pub(crate) fn set_leaving(&self) {
        self.state.lock().unwrap().leaving = true;
    }

    pub(crate) fn set_pause(&self, pause: Option<Duration>) {
        self.state.lock().unwrap().pause = pause;
    }

    pub(crate) fn set_failing(&self, failing: bool) {
        self.state.lock().unwrap().failing = failing;
    }

    pub(crate) fn end(&self) {
        self.state.lock().unwrap().down = true;
    }

    /// Starts the replica again, under the same id and address.
    pub(crate) fn restart(&self) {
        let mut state = self.state.lock().unwrap();
        *state = State {
            start: state.start + 1,
            ..State::default()
        };
    }

    /// Returns whether it runs, and does nothing out of the ordinary.
    pub(crate) fn is_well(&self) -> bool {
        let state = *self.state.lock().unwrap();
        !state.down && !state.leaving && state.pause.is_none() && !state.failing
    }

    fn handle(&self, req: &Message, conn: &mut Conn) -> io::Result<()> {
        let at = Instant::now();
        let state = *self.state.lock().unwrap();
        let id = req.header("Chervilwind-Attempt-Id").unwrap_or_default();
        let (false, Ok(request)) = (state.down, id.parse::<RequestId>()) else {
            return Err(io::ErrorKind::ConnectionReset.into());
        };
        let own = format!("i-{}", self.number);
        if req.header("Chervilwind-Expect-Replica") != Some(&own) {
            return conn.send(&answer(421, &[("Chervilwind-Attempt-Id", id)], ""));
        }
        let replica = ReplicaStart {
            replica: self.number,
            start: state.start,
        };
        let arrival = Arrival {
            at,
            replica,
            request,
            ran: state.pause.is_none(),
        };
        self.history.arrivals.lock().unwrap().push(arrival);
        let mut headers = vec![("Chervilwind-Attempt-Id", id)];
        if state.leaving {
            headers.push(("Server-Leaving", "1"));
        }
        if let Some(time) = state.pause {
            let seconds = time.as_secs_f64().to_string();
            headers.push(("Chervilwind-Not-Executed", "1"));
            headers.push(("Retry-After", &seconds));
            conn.send(&answer(503, &headers, ""))?;
            let pause = Pause {
                at,
                replica,
                request,
                time,
            };
            self.history.pauses.lock().unwrap().push(pause);
            return Ok(());
        }
        let seal = replica.to_string();
        headers.push(("Chervilwind-Replica-Seal", &seal));
        let fate = state.fate(request);
        match fate {
            Fate::Failed => return conn.send(&answer(500, &headers, "")),
            Fate::Lost => return Err(io::ErrorKind::ConnectionReset.into()),
            Fate::Served | Fate::Doubled => {}
        }
        match req.target.starts_with("/stream/") {
            true => self.stream(req, &headers, id, conn)?,
            false => {
                thread::sleep(WORK);
                conn.send(&answer(200, &headers, id))?;
            }
        }
        match fate {
            Fate::Doubled => {
                // Often only after the router has sent the next request on this connection.
                thread::sleep(EXTRA_DELAY * (request.number % 5) as u32);
                conn.send(&extra_answer(&seal))
            }
            _ => Ok(()),
        }
    }

    fn stream(
        &self,
        req: &Message,
        headers: &[(&str, &str)],
        id: &str,
        conn: &mut Conn,
    ) -> io::Result<()> {
        let last = req.header("Last-Event-Id").and_then(|n| n.parse().ok());
        let mut headers = headers.to_vec();
        headers.push(("Content-Type", "text/event-stream"));
        headers.push(("Transfer-Encoding", "chunked"));
        conn.send(format!("{}\r\n", head(200, &headers)).as_bytes())?;
        for n in last.unwrap_or(0) + 1..=STREAM_EVENTS {
            thread::sleep(EVENT_INTERVAL);
            if self.state.lock().unwrap().down {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            let event = event(n, id);
            conn.send(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        conn.send(b"0\r\n\r\n")
    }
}

/// An answer to a request that nobody waits for.
fn extra_answer(seal: &str) -> Vec<u8> {
    let headers = [
        ("Chervilwind-Attempt-Id", "r9-0"),
        ("Chervilwind-Replica-Seal", seal),
    ];
    answer(200, &headers, "r9-0")
}

/// An event of a request's stream.
pub(crate) fn event(n: u64, id: &str) -> String {
    format!("id: {n}\ndata: {id}\n\n")
}
