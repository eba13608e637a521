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
}

/// Connections to routers that are kept for the next request.
type Connections = HashMap<usize, Conn>;

/// An attempt at a request.
struct Attempt {
    request: RequestId,
    kind: Kind,
    document: u32,
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
        let request = CallerRequest {
            target: match self.kind {
                Kind::Single => "POST /single/a",
                Kind::Idempotent => "GET /again/a",
                Kind::Stream => "POST /stream/a",
            },
            id: &self.request.to_string(),
            deadline: self.deadline,
            document: (self.kind == Kind::Stream).then_some(self.document),
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
            document: 0,
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
        let document = self.rng.u32(..DOCUMENTS);
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
                document,
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
