//! HTTP calls to the platform over kept connections.

use {
    super::circuit::Circuit,
    answers::{
        check_framing,
        Capped, //
    },
    async_std::{
        future::timeout,
        net::TcpStream, //
    },
    futures_lite::{
        AsyncReadExt,
        FutureExt, //
    },
    http_types::{
        headers::CONNECTION,
        Method,
        Request,
        Url, //
    },
    policy::Span,
    resources::Bytes,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        panic::AssertUnwindSafe,
        sync::{
            Arc,
            Mutex, //
        },
        time::{
            Duration,
            Instant, //
        },
    },
};

/// Kept connections, at most.
const KEPT_MAX: usize = 4;
/// Largest answer read, with its head: a value of 1 MB with every byte escaped.
const ANSWER_MAX: Bytes = Bytes(8 << 20);

/// The platform's address, and time limits of calls.
#[derive(Debug, Clone)]
pub struct Options {
    /// The platform's address.
    pub addr: SocketAddr,
    /// Name under which this client's calls are counted.
    pub client: String,
    /// Longest time for a new connection.
    pub connect: Span,
    /// Longest time for an answer; for a watch, on top of its wait.
    pub answer: Span,
    /// How long an unused connection is kept.
    pub idle: Span,
}

impl Options {
    /// Makes options with the usual times.
    pub fn new(addr: SocketAddr, client: impl Into<String>) -> Options {
        Options {
            addr,
            client: client.into(),
            connect: Span::millis(500),
            answer: Span::secs(1),
            idle: Span::secs(10),
        }
    }
}

/// One call.
#[derive(Debug, Clone)]
pub(crate) struct Call {
    pub(crate) kind: &'static str,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) body: Option<Arc<str>>,
    /// How long the platform may wait before it answers.
    pub(crate) wait: Span,
}

/// A complete answer.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) body: Vec<u8>,
}

/// A call without an answer.
#[derive(Debug)]
pub(crate) struct Fail {
    /// Bytes of the call may have reached the platform.
    pub(crate) sent: bool,
    pub(crate) cause: String,
    pub(crate) retry: Span,
}

/// The connections to one address, shared by its users.
#[derive(Debug, Clone)]
pub(crate) struct Http(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    opts: Options,
    base: Url,
    kept: Mutex<Vec<Kept>>,
    circuit: Mutex<Circuit>,
    counts: Mutex<BTreeMap<&'static str, u64>>,
}

#[derive(Debug)]
struct Kept {
    stream: TcpStream,
    since: Instant,
}

impl Http {
    pub(crate) fn new(opts: Options) -> Http {
        let text = format!("http://{}/", opts.addr);
        Http(Arc::new(Inner {
            base: Url::parse(&text).expect("an address makes a URL"),
            opts,
            kept: Mutex::default(),
            circuit: Mutex::default(),
            counts: Mutex::default(),
        }))
    }

    /// Makes a call; a read whose kept connection fails is made once more on a new one.
    pub(crate) async fn call(&self, call: Call) -> Result<Answer, Fail> {
        let began = Instant::now();
        let limit = Duration::from(self.0.opts.answer + call.wait);
        self.admit(began)?;
        let done = self.tries(&call, limit).await;
        let mut circuit = self.circuit();
        match done {
            Ok(answer) if answer.status < 500 => {
                circuit.success();
                Ok(answer)
            }
            Ok(answer) => {
                let cause = format!("status {}", answer.status);
                let retry = circuit.failure(began, Instant::now(), fastrand::f64());
                self.count_failure(call.kind);
                Err(Fail {
                    sent: true,
                    cause,
                    retry,
                })
            }
            Err(mut fail) => {
                fail.retry = circuit.failure(began, Instant::now(), fastrand::f64());
                self.count_failure(call.kind);
                Err(fail)
            }
        }
    }

    /// Returns the calls made, by kind.
    pub(crate) fn counts(&self) -> BTreeMap<&'static str, u64> {
        self.0.counts.lock().expect("no holder panics").clone()
    }

    fn circuit(&self) -> std::sync::MutexGuard<'_, Circuit> {
        self.0.circuit.lock().expect("no holder panics")
    }

    fn admit(&self, now: Instant) -> Result<(), Fail> {
        let probe = Duration::from(self.0.opts.connect + self.0.opts.answer);
        let admitted = self.circuit().admit(now, probe);
        admitted.map_err(|retry| Fail {
            sent: false,
            cause: "it failed just now and is given a pause".to_owned(),
            retry,
        })
    }

    async fn tries(&self, call: &Call, limit: Duration) -> Result<Answer, Fail> {
        if let Some(stream) = self.take_kept() {
            let done = self.exchange(stream, call, limit).await;
            // A kept connection can go silent for good: something between the two ends lost
            // track of it. It shows as calls that time out while new connections work. So
            // no kept connection is trusted after one failed. Only a read may be made again.
            let Err(fail) = done else {
                return done;
            };
            log::debug!("platform: a kept connection failed, {}", fail.cause);
            self.drop_kept();
            if call.method != Method::Get {
                return Err(fail);
            }
        }
        let stream = self.connect().await?;
        self.exchange(stream, call, limit).await
    }

    async fn connect(&self) -> Result<TcpStream, Fail> {
        let limit = Duration::from(self.0.opts.connect);
        let stream = match timeout(limit, TcpStream::connect(self.0.opts.addr)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) => return Err(fail(false, e.to_string())),
            Err(_) => return Err(fail(false, "connecting took too long".to_owned())),
        };
        match stream.set_nodelay(true) {
            Ok(()) => Ok(stream),
            Err(e) => Err(fail(false, e.to_string())),
        }
    }

    async fn exchange(
        &self,
        stream: TcpStream,
        call: &Call,
        limit: Duration,
    ) -> Result<Answer, Fail> {
        self.count(call.kind);
        let req = self.request(call)?;
        // The library panics on a header whose value is not ASCII. It would show as a router
        // whose watch has ended for good. Caught here, it is a call without an answer.
        let asked = AssertUnwindSafe(ask(stream.clone(), req)).catch_unwind();
        let asked = timeout(limit, asked).await;
        let asked = asked.map(|done| done.unwrap_or_else(|_| Err(unreadable())));
        match asked {
            Ok(Ok((answer, close))) => {
                if !close {
                    self.keep(stream);
                }
                Ok(answer)
            }
            Ok(Err(e)) => Err(fail(true, e.to_string())),
            Err(_) => Err(fail(true, format!("no answer in {}", Span::from(limit)))),
        }
    }

    fn request(&self, call: &Call) -> Result<Request, Fail> {
        let url = self.0.base.join(&call.path);
        let url = url.map_err(|e| fail(false, e.to_string()))?;
        let mut req = Request::new(call.method, url);
        req.insert_header("x-client", self.0.opts.client.as_str());
        if let Some(body) = &call.body {
            req.set_body(body.as_bytes());
        }
        Ok(req)
    }

    fn take_kept(&self) -> Option<TcpStream> {
        let idle = Duration::from(self.0.opts.idle);
        let mut kept = self.0.kept.lock().expect("no holder panics");
        kept.retain(|k| k.since.elapsed() < idle);
        kept.pop().map(|k| k.stream)
    }

    fn keep(&self, stream: TcpStream) {
        let mut kept = self.0.kept.lock().expect("no holder panics");
        if kept.len() < KEPT_MAX {
            let since = Instant::now();
            kept.push(Kept { stream, since });
        }
    }

    fn drop_kept(&self) {
        self.0.kept.lock().expect("no holder panics").clear();
    }

    fn count(&self, kind: &'static str) {
        metrics::counter!("chervilwind_platform_calls", "kind" => kind).increment(1);
        let mut counts = self.0.counts.lock().expect("no holder panics");
        *counts.entry(kind).or_default() += 1;
    }

    fn count_failure(&self, kind: &'static str) {
        metrics::counter!("chervilwind_platform_failures", "kind" => kind).increment(1);
    }
}

fn fail(sent: bool, cause: String) -> Fail {
    Fail {
        sent,
        cause,
        retry: Span::ZERO,
    }
}

fn unreadable() -> http_types::Error {
    http_types::format_err!("the answer can't be read")
}

/// Sends a request and reads the whole answer. Also returns whether the connection ends with it.
async fn ask(stream: TcpStream, req: Request) -> http_types::Result<(Answer, bool)> {
    let method = req.method();
    let stream = Capped::new(stream, ANSWER_MAX, "store");
    let mut res = async_h1::connect(stream, req).await?;
    check_framing(&res, method)?;
    let close = res
        .header(CONNECTION)
        .is_some_and(|v| v.as_str().eq_ignore_ascii_case("close"));
    let mut body = Vec::new();
    let size = res.len();
    let mut reader = res.take_body();
    reader.read_to_end(&mut body).await?;
    // A connection that ends in the middle of a body shows as a short body, not as an error.
    if size.is_some_and(|n| n != body.len()) {
        return Err(http_types::format_err!("the answer was cut short"));
    }
    let status = res.status().into();
    Ok((Answer { status, body }, close))
}
