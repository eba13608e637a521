//! One caller's connection: request after request, until either side closes it.

use {
    crate::{
        parse::{
            self,
            Framing,
            Parsed, //
        },
        server::Shared,
        wire::Wire,
        Body,
        DisconnectSignal,
        IncomingRequest,
        Reason, //
        Refused,
        Request,
        RequestId,
        Response,
    },
    async_h1::server::Encoder,
    async_std::{
        channel::Receiver,
        future::timeout, //
    },
    futures_lite::{
        future::{
            or,
            poll_once, //
        },
        AsyncReadExt,
        FutureExt, //
    },
    http_types::Method,
    std::{
        io,
        net::SocketAddr,
        panic::AssertUnwindSafe,
        sync::Arc,
        time::{
            Duration,
            Instant, //
        },
    },
};

const WRITE_BYTES: usize = 8 * 1024;

/// A connection that is being served.
pub(crate) struct Connection {
    pub(crate) shared: Arc<Shared>,
    pub(crate) wire: Wire,
    pub(crate) peer: SocketAddr,
    /// Closed when the server stops.
    pub(crate) stop: Receiver<()>,
}

/// A request in the HTTP library's form, its body not read yet.
struct Head {
    http: http_types::Request,
    framing: Framing,
    since: Instant,
}

/// Why no further request is read.
enum Stop {
    /// The caller closed, or was idle too long, or the server stops.
    Closed,
    /// The caller is told why, then the connection is closed.
    Refused(Refused),
}

impl From<Refused> for Stop {
    fn from(refused: Refused) -> Stop {
        Stop::Refused(refused)
    }
}

impl Connection {
    /// Serves requests until the connection ends.
    pub(crate) async fn run(self) {
        loop {
            match self.one().await {
                Ok(true) => {}
                Ok(false) => return self.wire.linger().await,
                Err(Stop::Closed) => return,
                Err(Stop::Refused(refused)) => return self.refuse(refused).await,
            }
        }
    }

    /// Serves one request. Returns whether the connection is kept.
    async fn one(&self) -> Result<bool, Stop> {
        self.first_byte().await?;
        let since = Instant::now();
        let len = self.head_bytes().await?;
        let head = self.head(len, since).await?;
        let keep = keeps(&head);
        let method = head.http.method();
        let (ask, id) = self.ask(head).await?;
        let disconnect = disconnect_signal_of(&ask);
        let response = self.handle(ask, &disconnect, id.as_ref()).await?;
        let sent = self.send(response, &disconnect, method, id, keep).await;
        if sent.is_err() {
            disconnect.fire();
        }
        sent
    }

    /// Waits for the next request's first byte.
    async fn first_byte(&self) -> Result<(), Stop> {
        if self.wire.held() > 0 {
            return Ok(());
        }
        let stopped = async {
            let _ = self.stop.recv().await;
            // What arrived before the stop is still answered: the caller could not know.
            match poll_once(self.wire.fill()).await {
                Some(Ok(n)) => Ok(n),
                _ => Ok(0),
            }
        };
        let idle = self.shared.limits.idle_timeout;
        match timeout(idle, or(self.wire.fill(), stopped)).await {
            Ok(Ok(n)) if n > 0 => Ok(()),
            _ => Err(Stop::Closed),
        }
    }

    /// Waits for the end of the head. Returns its length.
    async fn head_bytes(&self) -> Result<usize, Stop> {
        let limits = &self.shared.limits;
        let read = async {
            loop {
                match self.wire.head_len() {
                    Some(len) if len <= limits.head_bytes => return Ok(len),
                    None if self.wire.held() < limits.head_bytes => {}
                    _ => return Err(head_too_large(limits.head_bytes).into()),
                }
                match self.wire.fill().await {
                    Ok(n) if n > 0 => {}
                    _ => return Err(Stop::Closed),
                }
            }
        };
        timeout(limits.head_timeout, read)
            .await
            .unwrap_or_else(|_| {
                Err(Refused::new(
                    Reason::HeadTimeout,
                    "the head did not come in time; send it in one go",
                )
                .into())
            })
    }

    /// Has the HTTP library read the head.
    async fn head(&self, len: usize, since: Instant) -> Result<Head, Stop> {
        let limits = &self.shared.limits;
        self.wire
            .look(len, |bytes| parse::check_head(bytes, limits))?;
        self.wire.allow(len as u64);
        let http = match async_h1::server::decode(self.wire.clone()).await {
            Ok(Some((http, _))) => http,
            Ok(None) => return Err(Stop::Closed),
            Err(e) => {
                return Err(Refused::new(
                    Reason::BadRequest,
                    format!("this is no HTTP/1.1 request ({e}); check what is sent"),
                )
                .into())
            }
        };
        let framing = parse::framing(&http, limits)?;
        self.wire.allow(match framing {
            Framing::Empty => 0,
            Framing::Fixed(n) => n,
            Framing::Chunked => u64::MAX,
        });
        Ok(Head {
            http,
            framing,
            since,
        })
    }

    /// Checks the head and reads the body.
    async fn ask(&self, mut head: Head) -> Result<(IncomingRequest, Option<RequestId>), Stop> {
        let parsed = parse::parse(&head.http, self.peer)?;
        let deadline = match &parsed {
            Parsed::Request(request) => request.deadline,
            Parsed::Addresses(_) => None,
        };
        let body = self.body(&mut head, deadline).await?;
        match parsed {
            Parsed::Addresses(query) => {
                let peer = self.peer;
                Ok((IncomingRequest::Addresses { query, peer }, None))
            }
            Parsed::Request(mut request) => {
                request.body = body;
                shorten(&mut request, head.since)?;
                let id = request.id.clone();
                let disconnect = DisconnectSignal::new();
                Ok((
                    IncomingRequest::Request {
                        request,
                        disconnect,
                    },
                    Some(id),
                ))
            }
        }
    }

    async fn body(&self, head: &mut Head, deadline: Option<Duration>) -> Result<Vec<u8>, Stop> {
        let limits = &self.shared.limits;
        let time = limits.body_timeout.min(deadline.unwrap_or(Duration::MAX));
        let most = limits.body_bytes as u64;
        let mut body = Vec::new();
        let mut reader = head.http.take_body().into_reader().take(most + 1);
        // The library panics at a trailer that is not ASCII.
        let whole = AssertUnwindSafe(reader.read_to_end(&mut body)).catch_unwind();
        let whole = async {
            whole
                .await
                .unwrap_or(Err(io::ErrorKind::InvalidData.into()))
        };
        let read = timeout(time, whole).await;
        match (read, head.framing) {
            (Err(_), _) if time < limits.body_timeout => Err(parse::expired().into()),
            (Err(_), _) => Err(Refused::new(
                Reason::BodyTimeout,
                "the body did not come in time; send it in one go",
            )
            .into()),
            (Ok(Err(e)), _) if e.kind() == io::ErrorKind::InvalidData => Err(Refused::new(
                Reason::BadRequest,
                "the body's chunks are malformed; check what is sent",
            )
            .into()),
            (Ok(Err(_)), _) => Err(Stop::Closed),
            (Ok(Ok(n)), _) if n as u64 > most => Err(parse::too_large(limits).into()),
            // The library takes a body that ends early for a whole one.
            (Ok(Ok(n)), Framing::Fixed(len)) if (n as u64) < len => Err(Stop::Closed),
            _ => Ok(body),
        }
    }

    /// Has the handler answer, and tells it when the caller hangs up.
    async fn handle(
        &self,
        ask: IncomingRequest,
        disconnect: &DisconnectSignal,
        id: Option<&RequestId>,
    ) -> Result<Response, Stop> {
        let answer = AssertUnwindSafe((self.shared.handler)(ask)).catch_unwind();
        let watch = async { match self.wire.watch(disconnect).await {} };
        let response = or(answer, watch).await.unwrap_or_else(|_| {
            // One request's fault must not end the connection without an answer.
            log::error!("callers: the handler of request {id:?} panicked");
            let fault = "a fault in the router; its log names this request";
            Refused::new(Reason::Internal, fault).into()
        });
        if disconnect.has_fired() {
            return Err(Stop::Closed);
        }
        Ok(response)
    }

    /// Writes the answer. Returns whether the connection is kept.
    async fn send(
        &self,
        response: Response,
        disconnect: &DisconnectSignal,
        method: Method,
        id: Option<RequestId>,
        keep: bool,
    ) -> Result<bool, Stop> {
        let keep = keep && !self.stop.is_closed();
        let whole = matches!(response.body, Body::Complete(_));
        let mut http = response.into_http(id.as_ref());
        if !keep {
            http.insert_header("connection", "close");
        }
        let hung_up = async {
            let watch = async { match self.wire.watch(disconnect).await {} };
            or(disconnect.wait(), watch).await;
            Err(io::ErrorKind::ConnectionAborted.into())
        };
        let copy = self.copy(Encoder::new(http, method), whole);
        match or(copy, hung_up).await {
            Ok(()) => Ok(keep),
            Err(e) => {
                log::debug!("callers: answer {id:?} to {} was cut: {e}", self.peer);
                Err(Stop::Closed)
            }
        }
    }

    async fn copy(&self, mut encoder: Encoder, whole: bool) -> io::Result<()> {
        let mut buf = vec![0; WRITE_BYTES];
        let mut len = 0;
        loop {
            let n = encoder.read(&mut buf[len..]).await?;
            len += n;
            // A streamed chunk goes out at once, a whole answer in as few writes as it takes.
            if n == 0 || !whole || len == buf.len() {
                self.wire
                    .write(&buf[..len], self.shared.limits.stall_timeout)
                    .await?;
                len = 0;
            }
            if n == 0 {
                return Ok(());
            }
        }
    }

    /// Tells the caller why, and closes.
    async fn refuse(&self, refused: Refused) {
        log::debug!("callers: refused {}: {refused}", self.peer);
        let disconnect = DisconnectSignal::new();
        let sent = self.send(refused.into(), &disconnect, Method::Get, None, false);
        if sent.await.is_ok() {
            self.wire.linger().await;
        }
    }
}

fn head_too_large(most: usize) -> Refused {
    Refused::new(
        Reason::HeadTooLarge,
        format!("the head is too long; send at most {most} bytes"),
    )
}

fn disconnect_signal_of(ask: &IncomingRequest) -> DisconnectSignal {
    match ask {
        IncomingRequest::Request { disconnect, .. } => disconnect.clone(),
        IncomingRequest::Addresses { .. } => DisconnectSignal::new(),
    }
}

/// Takes the time that reading took off the deadline.
fn shorten(request: &mut Request, since: Instant) -> Result<(), Refused> {
    if let Some(deadline) = request.deadline {
        let left = deadline.checked_sub(since.elapsed());
        request.deadline = Some(left.filter(|d| !d.is_zero()).ok_or_else(parse::expired)?);
    }
    Ok(())
}

/// Returns whether the connection can be kept after this request.
fn keeps(head: &Head) -> bool {
    let close = head
        .http
        .header("connection")
        .is_some_and(|v| v.as_str().to_ascii_lowercase().contains("close"));
    // The library may have read beyond the last chunk, and drops what it read.
    !close && head.framing != Framing::Chunked
}
