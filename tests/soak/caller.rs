//! Callers, which send requests of all kinds, take streams up again and check each answer.

use {
    super::{
        history::{
            Answered,
            Exchange,
            History,
            Kind,
            RequestId,
            StreamAttempts,
            StreamPart, //
        },
        http::{
            Conn,
            Message, //
        },
        plan::Plan,
        replica::event,
        router::RouterHandle, //
    },
    adapter::testing::{
        CallerRequest,
        Resumed,
        REPLICA_SEAL,
        RETRY_AFTER,
        SERVER_LEAVING, //
    },
    std::{
        collections::HashMap,
        io,
        ops::Range,
        sync::{
            atomic::{
                AtomicBool,
                AtomicU64,
                Ordering, //
            },
            Arc, //
        },
        thread::{
            self,
            JoinHandle, //
        },
        time::{
            Duration,
            Instant, //
        },
    },
};

/// Time that a request may take.
const DEADLINE: Duration = Duration::from_millis(4_000);
/// Pause between the requests of a caller.
const PAUSE: Duration = Duration::from_millis(8);
/// Pause before a stream that broke off is taken up again.
const TAKE_UP_PAUSE: Duration = Duration::from_millis(20);
/// No attempt is made with less time left.
const ATTEMPT_MIN: Duration = Duration::from_millis(300);
/// Callers use a connection for this many requests.
const CONNECTION_REQUESTS: u32 = 20;
/// One in so many streams is left after some events, and taken up again.
const LEFT_STREAMS: u32 = 6;
const DOCUMENTS: u32 = 12;
/// The first parts of prompts where one part crashes replicas.
const FIRST_PART: u32 = 20_000;
const FIRST_PARTS: u32 = 3;
/// The part that crashes replicas, in one of so many streams for some time. All replicas are back at
/// the end of the run.
pub(crate) const DEADLY_PART: u32 = 30_000;
const DEADLY_STREAMS: u32 = 25;
const DEADLY_TIME: Range<Duration> = Duration::from_secs(2)..Duration::from_secs(11);

/// A caller of one router, which takes streams up at all of them.
#[derive(Debug)]
pub(crate) struct Caller {
    pub(crate) router: usize,
    pub(crate) handles: Vec<RouterHandle>,
    pub(crate) plan: Plan,
    pub(crate) history: Arc<History>,
    pub(crate) numbers: Arc<AtomicU64>,
    pub(crate) stop: Arc<AtomicBool>,
    pub(crate) rng: fastrand::Rng,
    /// When the run began.
    pub(crate) begun: Instant,
    /// Whether the deadly part is the first of its prompts.
    pub(crate) deadly_first: bool,
}

/// Connections to routers that are kept for the next request.
type Connections = HashMap<usize, Conn>;

/// An attempt at a request.
struct Attempt {
    request: RequestId,
    kind: Kind,
    /// The parts that its prompt shares with others.
    shared: Vec<u32>,
    /// Whether no other request has its target.
    unique: bool,
    deadline: Duration,
    /// The first attempt at the stream that is taken up, and the last event of it.
    resumes: Option<(RequestId, u64)>,
    /// Chunks after which the caller leaves.
    chunks: usize,
}

impl Attempt {
    fn encode(&self) -> String {
        let first = self.resumes.map(|(first, _)| first.to_string());
        let last = self.resumes.map_or(0, |(_, last)| last);
        let id = self.request.to_string();
        let target = match self.kind {
            Kind::Single => "POST /single/a".to_owned(),
            Kind::Idempotent => "GET /again/a".to_owned(),
            Kind::Stream if self.unique => format!("POST /stream/{id}"),
            Kind::Stream => "POST /stream/a".to_owned(),
        };
        let request = CallerRequest {
            target: &target,
            id: &id,
            deadline: self.deadline,
            shared: &self.shared,
            resumes: first.as_ref().map(|first| Resumed { first, last }),
        };
        request.encode("a.example")
    }
}

impl Caller {
    /// Sends requests until it is told to stop.
    pub(crate) fn start(mut self) -> JoinHandle<()> {
        thread::spawn(move || {
            let mut conns = Connections::new();
            let mut used = 0;
            while !self.stop.load(Ordering::SeqCst) {
                match self.rng.u32(..4) {
                    0 => self.request(Kind::Single, &mut conns),
                    1 => self.request(Kind::Idempotent, &mut conns),
                    _ => self.stream(&mut conns),
                }
                used += 1;
                if used % CONNECTION_REQUESTS == 0 {
                    conns.clear();
                }
                thread::sleep(PAUSE);
            }
        })
    }

    fn request(&mut self, kind: Kind, conns: &mut Connections) {
        let attempt = Attempt {
            request: self.next_id(self.router),
            kind,
            shared: Vec::new(),
            unique: false,
            deadline: DEADLINE,
            resumes: None,
            chunks: usize::MAX,
        };
        let (got, _) = self.exchange(&attempt, conns);
        let Some(answer) = got.filter(|a| a.complete) else {
            return;
        };
        if answer.status == 200 {
            let id = attempt.request.to_string();
            let body = String::from_utf8_lossy(&answer.body);
            if body != id || replica_of(&answer).is_none() {
                self.history
                    .report(format!("{id} was answered with {body:?}"));
            }
        }
        self.wait_to_return(&answer);
    }

    /// Sends a request for a stream, and takes it up again at any router until it is complete.
    fn stream(&mut self, conns: &mut Connections) {
        let until = Instant::now() + DEADLINE;
        let shared = self.shared_parts();
        let mut parts = StreamAttempts::new();
        let (mut first, mut last) = (None, 0);
        for number in 0..self.plan.attempts {
            let left = until.saturating_duration_since(Instant::now());
            if left < ATTEMPT_MIN {
                break;
            }
            let router = match number {
                0 => self.router,
                _ => self.rng.usize(..self.handles.len()),
            };
            let leaves = self.plan.attempts > 1 && self.rng.u32(..LEFT_STREAMS) == 0;
            let attempt = Attempt {
                request: self.next_id(router),
                kind: Kind::Stream,
                shared: shared.clone(),
                unique: self.plan.crashes,
                deadline: left,
                resumes: first.map(|first| (first, last)),
                chunks: match leaves {
                    true => self.rng.usize(1..self.plan.streams.events as usize),
                    false => usize::MAX,
                },
            };
            let sent = Instant::now();
            let (got, starts) = self.exchange(&attempt, conns);
            let answered = got.as_ref().filter(|a| a.status == 200);
            let written = answered.map_or(Vec::new(), |a| self.check_events(&attempt, last, a));
            let after = last;
            last += written.len() as u64;
            if last > 0 {
                first.get_or_insert(attempt.request);
            }
            parts.push(StreamPart {
                request: attempt.request,
                sent,
                starts,
                after,
                written,
            });
            match got {
                Some(answer) if answer.complete && answer.status == 200 => break,
                Some(answer) if answer.complete => self.wait_to_return(&answer),
                _ => thread::sleep(TAKE_UP_PAUSE),
            }
        }
        self.history.streams.lock().unwrap().push(parts);
    }

    /// Checks that the events of an answer are those after the last one, and returns what wrote each.
    fn check_events(&self, attempt: &Attempt, after: u64, answer: &Message) -> Vec<String> {
        let id = attempt.request.to_string();
        let body = String::from_utf8_lossy(&answer.body);
        let mut written = Vec::new();
        for (n, text) in (after + 1..).zip(body.split_inclusive("\n\n")) {
            let software = text.trim_end().rsplit(' ').next().unwrap_or_default();
            if text != event(n, &id, software) {
                self.history
                    .report(format!("{id} has {text:?} in place of event {n}"));
                return written;
            }
            written.push(software.to_owned());
        }
        let ends = after + written.len() as u64 == self.plan.streams.events;
        if answer.complete && !ends || replica_of(answer).is_none() {
            self.history
                .report(format!("{id} was answered with {body:?} after {after}"));
        }
        written
    }

    /// Returns the shared parts of the next prompt. The deadly one comes in their middle or as the
    /// first, and sound prompts have the others.
    fn shared_parts(&mut self) -> Vec<u32> {
        let document = self.rng.u32(..DOCUMENTS);
        if !self.plan.crashes {
            return vec![document];
        }
        let first = FIRST_PART + document % FIRST_PARTS;
        let deadly =
            DEADLY_TIME.contains(&self.begun.elapsed()) && self.rng.u32(..DEADLY_STREAMS) == 0;
        match (deadly, self.deadly_first) {
            (true, true) => vec![DEADLY_PART, document],
            (true, false) => vec![first, DEADLY_PART],
            (false, _) => vec![first, document],
        }
    }

    fn next_id(&self, router: usize) -> RequestId {
        RequestId {
            router,
            number: self.numbers.fetch_add(1, Ordering::SeqCst),
        }
    }

    /// Sends a request and records its answer. Returns what was received, and the starts of the
    /// router's process before and after.
    fn exchange(
        &mut self,
        attempt: &Attempt,
        conns: &mut Connections,
    ) -> (Option<Message>, (u32, u32)) {
        let router = attempt.request.router;
        let before = self.handles[router].starts();
        let sent = Instant::now();
        let got = self.call(attempt, conns);
        let at = Instant::now();
        let starts = (before, self.handles[router].starts());
        let complete = got.as_ref().ok().filter(|answer| answer.complete);
        let answer = complete.map(|answer| Answered {
            at,
            status: answer.status,
            replica: replica_of(answer),
            leaving: answer.header(SERVER_LEAVING) == Some("1"),
        });
        let exchange = Exchange {
            request: attempt.request,
            kind: attempt.kind,
            sent,
            starts,
            answer,
            left: attempt.chunks < usize::MAX,
            deadly: attempt.shared.contains(&DEADLY_PART),
            begun: got
                .as_ref()
                .is_ok_and(|a| a.status == 200 && !a.body.is_empty()),
        };
        self.history.exchanges.lock().unwrap().push(exchange);
        let kept = complete.is_some_and(|a| a.header("Connection") != Some("close"));
        if !kept {
            conns.remove(&router);
        }
        (got.ok(), starts)
    }

    fn call(&self, attempt: &Attempt, conns: &mut Connections) -> io::Result<Message> {
        let router = attempt.request.router;
        let conn = match conns.remove(&router) {
            Some(conn) => conn,
            None => Conn::open(self.handles[router].callers)?,
        };
        let conn = conns.entry(router).or_insert(conn);
        conn.send(attempt.encode().as_bytes())?;
        conn.read_part(attempt.chunks)
    }

    fn wait_to_return(&self, answer: &Message) {
        if let (503, Some(wait)) = (answer.status, answer.header(RETRY_AFTER)) {
            let wait: f64 = wait.parse().unwrap_or(0.1);
            thread::sleep(Duration::from_secs_f64(wait.clamp(0.01, 0.2)));
        }
    }
}

fn replica_of(answer: &Message) -> Option<super::history::ReplicaStart> {
    answer.header(REPLICA_SEAL)?.parse().ok()
}
