//! Callers, which send requests of all kinds to a router and check each answer.

use {
    super::{
        history::{
            Answered,
            Exchange,
            History,
            Kind,
            RequestId, //
        },
        http::{
            Conn,
            Message, //
        },
        replica::{
            event,
            STREAM_EVENTS, //
        },
        router::RouterHandle, //
    },
    std::{
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
const DEADLINE_MS: u64 = 4_000;
/// Pause between the requests of a caller.
const PAUSE: Duration = Duration::from_millis(8);
/// Callers use a connection for this many requests.
const CONNECTION_REQUESTS: u32 = 20;

/// A caller of one router.
#[derive(Debug)]
pub(crate) struct Caller {
    pub(crate) router: usize,
    pub(crate) handle: RouterHandle,
    pub(crate) history: Arc<History>,
    pub(crate) numbers: Arc<AtomicU64>,
    pub(crate) stop: Arc<AtomicBool>,
    pub(crate) rng: fastrand::Rng,
}

fn request(kind: Kind, id: &str, document: u32) -> String {
    let (method, path, more) = match kind {
        Kind::Single => ("POST", "/single/a", String::new()),
        Kind::Idempotent => ("GET", "/again/a", String::new()),
        Kind::Stream => {
            let prompt = format!(
                "Chervilwind-Token-Usage: 300,40\r\n\
                 Chervilwind-Prompt-Prefix: {document:x}:200,{id_hash:x}:100\r\n",
                id_hash = document + 1_000
            );
            ("POST", "/stream/a", prompt)
        }
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: a.example\r\nChervilwind-Attempt-Id: {id}\r\n\
         Chervilwind-Deadline-Ms: {DEADLINE_MS}\r\n{more}Content-Length: 0\r\n\r\n"
    )
}

impl Caller {
    /// Sends requests until it is told to stop.
    pub(crate) fn start(mut self) -> JoinHandle<()> {
        thread::spawn(move || {
            let mut conn = None;
            let mut used = 0;
            while !self.stop.load(Ordering::SeqCst) {
                let kind = match self.rng.u32(..4) {
                    0 => Kind::Single,
                    1 => Kind::Idempotent,
                    _ => Kind::Stream,
                };
                let kept = self.exchange(kind, &mut conn);
                used += 1;
                if !kept || used % CONNECTION_REQUESTS == 0 {
                    conn = None;
                }
                thread::sleep(PAUSE);
            }
        })
    }

    /// Sends a request and records its answer. Returns whether the connection may be used again.
    fn exchange(&mut self, kind: Kind, conn: &mut Option<Conn>) -> bool {
        let request_id = RequestId {
            router: self.router,
            number: self.numbers.fetch_add(1, Ordering::SeqCst),
        };
        let id = request_id.to_string();
        let text = request(kind, &id, self.rng.u32(..12));
        let before = self.handle.starts();
        let sent = Instant::now();
        let got = self.call(&text, conn);
        let at = Instant::now();
        let answer = got.as_ref().ok().map(|answer| Answered {
            at,
            status: answer.status,
            replica: replica_of(answer),
            leaving: answer.header("Server-Leaving") == Some("1"),
        });
        let exchange = Exchange {
            request: request_id,
            kind,
            sent,
            starts: (before, self.handle.starts()),
            answer,
        };
        self.history.exchanges.lock().unwrap().push(exchange);
        let Ok(answer) = got else {
            return false;
        };
        if answer.status == 200 {
            self.check_body(kind, &id, &answer);
        }
        if let (503, Some(wait)) = (answer.status, answer.header("Retry-After")) {
            let wait: f64 = wait.parse().unwrap_or(0.1);
            thread::sleep(Duration::from_secs_f64(wait.clamp(0.01, 0.2)));
        }
        answer.header("Connection") != Some("close")
    }

    fn call(&self, text: &str, conn: &mut Option<Conn>) -> io::Result<Message> {
        let conn = match conn {
            Some(conn) => conn,
            None => conn.insert(Conn::open(self.handle.callers)?),
        };
        conn.send(text.as_bytes())?;
        conn.read_answer()
    }

    fn check_body(&self, kind: Kind, id: &str, answer: &Message) {
        let own = match kind {
            Kind::Stream => (1..=STREAM_EVENTS).map(|n| event(n, id)).collect(),
            Kind::Single | Kind::Idempotent => id.to_owned(),
        };
        let got = String::from_utf8_lossy(&answer.body);
        if got != own || replica_of(answer).is_none() {
            self.history
                .report(format!("{id} was answered with {got:?}"));
        }
    }
}

fn replica_of(answer: &Message) -> Option<super::history::ReplicaStart> {
    answer.header("Chervilwind-Replica-Seal")?.parse().ok()
}
