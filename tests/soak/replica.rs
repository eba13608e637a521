//! Stand-ins of replicas, which leave, ask for pauses, fail and restart.

use {
    super::{
        caller::DEADLY_PART,
        history::{
            Arrival,
            History,
            Pause,
            ReplicaStart,
            RequestId,
            Serving,
            Software, //
        },
        http::{
            answer,
            head,
            serve,
            Conn,
            Message,
            Server, //
        },
        plan::{
            Plan,
            StreamShape, //
        },
        store::FakeStore,
    },
    adapter::testing::{
        replica_key,
        ReplicaEntry,
        ATTEMPT_ID,
        EXPECT_REPLICA,
        LAST_EVENT_ID,
        NOT_EXECUTED,
        PROMPT_PREFIX,
        REPLICA_SEAL,
        RETRY_AFTER,
        SERVER_LEAVING, //
    },
    serde_json::to_value,
    std::{
        io,
        net::TcpListener,
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

/// Duration of a request that is not a stream.
const WORK: Duration = Duration::from_millis(3);
/// Step of the delay after which an extra answer follows.
const EXTRA_DELAY: Duration = Duration::from_millis(5);
/// Requests of a replica, in multiples of its slots, from which it rejects more.
const REJECT_FACTOR: u32 = 2;
/// One in so many streams of a replica that breaks streams often.
const BREAKING: u64 = 3;
/// How often a silent replica looks whether it may go on.
const SILENCE_POLL: Duration = Duration::from_millis(10);
/// Time until a replica begins to answer a request with the deadly part, and from then until it
/// crashes.
const PREFILL: Duration = Duration::from_millis(20);
const CRASH_DELAY: Duration = Duration::from_millis(60);
/// Time from a crash until the replica is back.
const RESTART_DELAY: Duration = Duration::from_millis(1_500);
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
    /// It breaks some streams off.
    breaking: bool,
    /// It sends nothing until then.
    silent_until: Option<Instant>,
    version: u32,
    /// Number of its current id.
    generation: u32,
    /// Requests that it runs.
    running: u32,
}

/// A request that a replica runs, until this is dropped.
struct RunGuard<'a>(&'a FakeReplica);

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        self.0.state.lock().unwrap().running -= 1;
    }
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
    server: Arc<Mutex<Option<Server>>>,
    shape: StreamShape,
    slots: u32,
    rejects: bool,
    state: Arc<Mutex<State>>,
    history: Arc<History>,
    store: FakeStore,
}

impl FakeReplica {
    /// Starts a replica and registers it.
    pub(crate) fn start(
        number: usize,
        service: &'static str,
        plan: &Plan,
        history: &Arc<History>,
        store: &FakeStore,
    ) -> FakeReplica {
        let replica = FakeReplica {
            number,
            service,
            shape: plan.streams,
            slots: plan.slots,
            rejects: plan.rejects,
            server: Arc::default(),
            state: Arc::new(Mutex::new(State {
                version: 1,
                ..State::default()
            })),
            history: history.clone(),
            store: store.clone(),
        };
        replica.listen();
        replica.register("ready");
        replica
    }

    /// Accepts connections at a new address.
    fn listen(&self) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let handle = self.clone();
        let server = serve(
            listener,
            Arc::new(move |req, conn| handle.handle(req, conn)),
        );
        *self.server.lock().unwrap() = Some(server);
    }

    /// Crashes, and starts again some time later under a new id and address. Its entry stays until
    /// then, as after a crash nobody removes it.
    pub(crate) fn crash(&self) {
        let Some(server) = self.server.lock().unwrap().take() else {
            return;
        };
        self.change(|state| state.down = true);
        server.crash();
        let replica = self.clone();
        thread::spawn(move || {
            thread::sleep(RESTART_DELAY);
            replica.listen();
            replica.replace(1);
            replica.register("ready");
        });
    }

    /// Begins the answer to a request with the deadly part in one of several ways, and crashes.
    fn crash_under(
        &self,
        request: RequestId,
        conn: &mut Conn,
        headers: &[(&str, &str)],
    ) -> io::Result<()> {
        thread::sleep(PREFILL);
        let mut headers = headers.to_vec();
        headers.push(("Content-Type", "text/event-stream"));
        let event = event(1, &request.to_string(), "llm@v1");
        let until_close = format!("{}Connection: close\r\n\r\n{event}", head(200, &headers));
        headers.push(("Transfer-Encoding", "chunked"));
        let chunked = format!(
            "{}\r\n{:x}\r\n{event}\r\n",
            head(200, &headers),
            event.len()
        );
        let output = match request.number % 4 {
            0 => String::new(),
            1 => chunked,
            2 => until_close + "id: 2\nda",
            _ => until_close,
        };
        conn.send(output.as_bytes())?;
        thread::sleep(CRASH_DELAY);
        if self.server.lock().unwrap().is_some() {
            self.history.crashes.lock().unwrap().push(Instant::now());
        }
        self.crash();
        Err(io::ErrorKind::ConnectionReset.into())
    }

    fn addr(&self) -> String {
        let server = self.server.lock().unwrap();
        server
            .as_ref()
            .map_or_else(String::new, |s| s.addr.to_string())
    }

    fn id(&self) -> String {
        let generation = self.state.lock().unwrap().generation;
        format!("i-{}-{generation}", self.number)
    }

    /// Writes the replica's entry.
    pub(crate) fn register(&self, state: &str) {
        let State { start, version, .. } = *self.state.lock().unwrap();
        let entry = ReplicaEntry {
            service: self.service,
            address: self.addr(),
            zone: format!("hall-{}", self.number % 2),
            version: &format!("v{version}"),
            slots: self.slots,
            state,
            born: FIRST_START + u64::from(start),
            seq: 1,
        };
        let entry = to_value(entry).unwrap();
        self.store.put(&replica_key(&self.id()), &entry);
    }

    /// Removes the replica's entry.
    pub(crate) fn unregister(&self) {
        self.store.remove(&replica_key(&self.id()));
    }

    /// Changes the replica's state, and records whether it serves new requests.
    fn change(&self, change: impl FnOnce(&mut State)) {
        let mut state = self.state.lock().unwrap();
        change(&mut state);
        let serves = !state.down && !state.leaving && state.pause.is_none();
        let software = Software {
            service: self.service,
            version: state.version,
        };
        let serving = Serving {
            at: Instant::now(),
            replica: self.number,
            software: serves.then_some(software),
        };
        self.history.serving.lock().unwrap().push(serving);
    }

    pub(crate) fn set_leaving(&self) {
        self.change(|state| state.leaving = true);
    }

    pub(crate) fn set_pause(&self, pause: Option<Duration>) {
        self.change(|state| state.pause = pause);
    }

    pub(crate) fn set_failing(&self, failing: bool) {
        self.change(|state| state.failing = failing);
    }

    pub(crate) fn set_breaking(&self, breaking: bool) {
        self.change(|state| state.breaking = breaking);
    }

    /// Sends nothing for this long, and goes on then.
    pub(crate) fn fall_silent(&self, time: Duration) {
        self.change(|state| state.silent_until = Some(Instant::now() + time));
    }

    pub(crate) fn end(&self) {
        self.change(|state| state.down = true);
    }

    /// Starts the replica again, under the same id and address.
    pub(crate) fn restart(&self) {
        self.change(|state| {
            *state = State {
                start: state.start + 1,
                version: state.version,
                generation: state.generation,
                running: state.running,
                ..State::default()
            };
        });
    }

    /// Starts the replica again with another version, under a new id.
    pub(crate) fn replace(&self, version: u32) {
        self.unregister();
        self.change(|state| {
            *state = State {
                start: state.start + 1,
                version,
                generation: state.generation + 1,
                running: state.running,
                ..State::default()
            };
        });
    }

    /// Returns whether it runs, and does nothing out of the ordinary.
    pub(crate) fn is_well(&self) -> bool {
        let state = *self.state.lock().unwrap();
        let told = state.leaving || state.pause.is_some();
        !state.down && !told && !state.failing && !state.breaking
    }

    /// Begins to run a request, unless there are too many.
    fn run(&self) -> Option<RunGuard<'_>> {
        let mut state = self.state.lock().unwrap();
        if self.rejects && state.running >= self.slots * REJECT_FACTOR {
            return None;
        }
        state.running += 1;
        Some(RunGuard(self))
    }

    /// Waits while it is silent.
    fn wait_silent(&self) {
        let is_silent = || {
            let until = self.state.lock().unwrap().silent_until;
            until.is_some_and(|at| Instant::now() < at)
        };
        while is_silent() {
            thread::sleep(SILENCE_POLL);
        }
    }

    fn handle(&self, req: &Message, conn: &mut Conn) -> io::Result<()> {
        let at = Instant::now();
        let state = *self.state.lock().unwrap();
        let id = req.header(ATTEMPT_ID).unwrap_or_default();
        let (false, Ok(request)) = (state.down, id.parse::<RequestId>()) else {
            return Err(io::ErrorKind::ConnectionReset.into());
        };
        if req.header(EXPECT_REPLICA) != Some(&self.id()) {
            return conn.send(&answer(421, &[(ATTEMPT_ID, id)], ""));
        }
        let run = self.run();
        let replica = ReplicaStart {
            replica: self.number,
            start: state.start,
        };
        let arrival = Arrival {
            at,
            replica,
            request,
            ran: state.pause.is_none() && run.is_some(),
        };
        self.history.arrivals.lock().unwrap().push(arrival);
        let mut headers = vec![(ATTEMPT_ID, id)];
        if state.leaving {
            headers.push((SERVER_LEAVING, "1"));
        }
        if let Some(time) = state.pause {
            let seconds = time.as_secs_f64().to_string();
            headers.push((NOT_EXECUTED, "1"));
            headers.push((RETRY_AFTER, &seconds));
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
        if run.is_none() {
            headers.push((NOT_EXECUTED, "1"));
            return conn.send(&answer(503, &headers, ""));
        }
        let seal = replica.to_string();
        headers.push((REPLICA_SEAL, &seal));
        if has_deadly_part(req) {
            return self.crash_under(request, conn, &headers);
        }
        self.wait_silent();
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
        let last = req.header(LAST_EVENT_ID).and_then(|n| n.parse().ok());
        let state = *self.state.lock().unwrap();
        let software = Software {
            service: self.service,
            version: state.version,
        };
        let number = id.parse::<RequestId>().map_or(0, |request| request.number);
        let often = state.breaking.then_some(BREAKING);
        let breaks = often.or(self.shape.breaks).filter(|n| number % n == 0);
        let broken_at = breaks.map(|n| number / n % self.shape.events);
        let mut headers = headers.to_vec();
        headers.push(("Content-Type", "text/event-stream"));
        headers.push(("Transfer-Encoding", "chunked"));
        conn.send(format!("{}\r\n", head(200, &headers)).as_bytes())?;
        let next = last.unwrap_or(0) + 1;
        for n in next..=self.shape.events {
            thread::sleep(self.shape.interval);
            self.wait_silent();
            let now = *self.state.lock().unwrap();
            // A stream that goes on after a break is not broken off in the same place.
            let breaks = n > next && broken_at == Some(n);
            if now.down || now.start != state.start || breaks {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            let event = event(n, id, &software.to_string());
            conn.send(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        conn.send(b"0\r\n\r\n")
    }
}

/// Returns whether the prompt of a request has the part that crashes replicas.
fn has_deadly_part(req: &Message) -> bool {
    let parts = req.header(PROMPT_PREFIX).unwrap_or_default();
    let deadly = format!("{DEADLY_PART:x}:");
    parts.split(',').any(|part| part.starts_with(&deadly))
}

/// An answer to a request that nobody waits for.
fn extra_answer(seal: &str) -> Vec<u8> {
    let headers = [(ATTEMPT_ID, "r9-0"), (REPLICA_SEAL, seal)];
    answer(200, &headers, "r9-0")
}

/// An event of a request's stream, which names the software that wrote it.
pub(crate) fn event(n: u64, id: &str, software: &str) -> String {
    format!("id: {n}\ndata: {id} {software}\n\n")
}
