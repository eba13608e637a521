//! Serves the requests of one caller's connection.

use {
    crate::{
        caller_socket::CallerSocket,
        parse::{
            self,
            Framing,
            Parsed, //
        },
        server::Shared,
        Body,
        DisconnectSignal,
        IncomingRequest,
        Reason,
        Refused,
        Request,
        RequestId,
        Response, //
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
        AsyncRead,
        AsyncReadExt,
        FutureExt, //
    },
    http_types::Method,
    resources::{
        Account,
        Evicted,
        Phase,
        Segments, //
    },
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

const READ_BYTES: usize = 8 * 1024;
const WRITE_BYTES: usize = 8 * 1024;
/// Retry delay of requests whose connections were evicted.
const EVICTED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A connection of a caller.
pub(crate) struct Connection {
    pub(crate) shared: Arc<Shared>,
    pub(crate) socket: CallerSocket,
    pub(crate) account: Account,
    pub(crate) peer: SocketAddr,
    /// Closed when the server stops.
    pub(crate) stop: Receiver<()>,
    /// Method of the last request, as far as it decides whether a rejection has a body.
    pub(crate) method: Method,
}

/// A decoded request head; the body has not been read yet.
struct Head {
    http: http_types::Request,
    framing: Framing,
    started: Instant,
}

/// The reason for ending a connection.
enum ConnectionEnd {
    /// The caller closed the connection or was idle too long, or the server stops.
    Closed,
    /// The request is rejected, then the connection is closed.
    Refused(Refused),
}

impl From<Refused> for ConnectionEnd {
    fn from(refused: Refused) -> ConnectionEnd {
        ConnectionEnd::Refused(refused)
    }
}

impl Connection {
    /// Serves requests until the connection ends.
    pub(crate) async fn run(mut self) {
        loop {
            match self.serve_request().await {
                Ok(true) => {}
                Ok(false) => return self.socket.linger().await,
                Err(ConnectionEnd::Closed) => return,
                Err(ConnectionEnd::Refused(refused)) => return self.refuse(refused).await,
            }
        }
    }

    /// Serves one request. Returns whether the connection stays open.
    async fn serve_request(&mut self) -> Result<bool, ConnectionEnd> {
        self.account.set_phase(Phase::Idle);
        self.wait_for_request().await?;
        self.account.set_phase(Phase::Receiving);
        let started = Instant::now();
        let read = self.read_head().await;
        self.method = self.buffered_method();
        let len = read?;
        let head = self.decode_head(len, started).await?;
        let keep_alive = can_keep_alive(&head);
        let method = head.http.method();
        let (request, id) = self.read_request(head).await?;
        self.account.serve().map_err(|e| self.evicted(e))?;
        let mut body_charge = self.account.charge();
        body_charge.resize(body_length(&request));
        let disconnect = disconnect_signal_of(&request);
        let response = self.run_handler(request, &disconnect, id.as_ref()).await?;
        let sent = self
            .send(response, &disconnect, method, id, keep_alive)
            .await;
        if sent.is_err() {
            disconnect.fire();
        }
        sent
    }

    /// Waits for the first byte of the next request.
    async fn wait_for_request(&self) -> Result<(), ConnectionEnd> {
        if self.socket.buffered_len() > 0 {
            return Ok(());
        }
        let stopped = async {
            let _ = self.stop.recv().await;
            // A request that arrived before the stop is still served: the caller could not know.
            match poll_once(self.socket.fill()).await {
                Some(Ok(n)) => Ok(n),
                _ => Ok(0),
            }
        };
        let idle = self.shared.limits.idle_timeout;
        match timeout(idle, or(self.socket.fill(), stopped)).await {
            Ok(Ok(n)) if n > 0 => Ok(()),
            Ok(Err(e)) => match self.failed_read(&e) {
                // Its caller has to know that a request which has just come does not run.
                refused @ ConnectionEnd::Refused(_) if self.socket.has_received().await => {
                    Err(refused)
                }
                _ => Err(ConnectionEnd::Closed),
            },
            _ => Err(ConnectionEnd::Closed),
        }
    }

    /// Reads until the end of the head. Returns its length.
    async fn read_head(&self) -> Result<usize, ConnectionEnd> {
        let limits = &self.shared.limits;
        let read = async {
            loop {
                match self.socket.head_len() {
                    Some(len) if len <= limits.head_bytes => return Ok(len),
                    None if self.socket.buffered_len() < limits.head_bytes => {}
                    _ => return Err(head_too_large(limits.head_bytes).into()),
                }
                match self.socket.fill().await {
                    Ok(0) => return Err(ConnectionEnd::Closed),
                    Ok(_) => {}
                    Err(e) => return Err(self.failed_read(&e)),
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

    /// Returns the method at the start of the buffered head, as far as it decides whether the response
    /// has a body. A rejected head is not decoded.
    fn buffered_method(&self) -> Method {
        let len = self.socket.buffered_len();
        let is_head = |bytes: &[u8]| bytes.trim_ascii_start().starts_with(b"HEAD ");
        match self.socket.peek_buffered(len, is_head) {
            true => Method::Head,
            false => Method::Get,
        }
    }

    /// Decodes the head with the HTTP library.
    async fn decode_head(&self, len: usize, started: Instant) -> Result<Head, ConnectionEnd> {
        let limits = &self.shared.limits;
        self.socket
            .peek_buffered(len, |bytes| parse::check_head(bytes, limits))?;
        self.socket.set_read_limit(len as u64);
        let http = match async_h1::server::decode(self.socket.clone()).await {
            Ok(Some((http, _))) => http,
            Ok(None) => return Err(ConnectionEnd::Closed),
            Err(e) => {
                return Err(Refused::new(
                    Reason::BadRequest,
                    format!("this is no HTTP/1.1 request ({e}); check what is sent"),
                )
                .into())
            }
        };
        let framing = parse::framing(&http, limits)?;
        self.socket.set_read_limit(match framing {
            Framing::Empty => 0,
            Framing::Fixed(n) => n,
            Framing::Chunked => u64::MAX,
        });
        Ok(Head {
            http,
            framing,
            started,
        })
    }

    /// Checks the head and reads the body.
    async fn read_request(
        &self,
        mut head: Head,
    ) -> Result<(IncomingRequest, Option<RequestId>), ConnectionEnd> {
        let parsed = parse::parse(&head.http, self.peer)?;
        let deadline = match &parsed {
            Parsed::Request(request) => request.deadline,
            Parsed::Addresses(_) => None,
        };
        let body = self.read_body(&mut head, deadline).await?;
        match parsed {
            Parsed::Addresses(query) => {
                let peer = self.peer;
                Ok((IncomingRequest::Addresses { query, peer }, None))
            }
            Parsed::Request(mut request) => {
                request.body = body;
                subtract_elapsed(&mut request, head.started)?;
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

    async fn read_body(
        &self,
        head: &mut Head,
        deadline: Option<Duration>,
    ) -> Result<Vec<u8>, ConnectionEnd> {
        let limits = &self.shared.limits;
        let time = limits.body_timeout.min(deadline.unwrap_or(Duration::MAX));
        let limit = limits.body_bytes as u64;
        let expected = match head.framing {
            Framing::Fixed(len) => len as usize,
            Framing::Empty | Framing::Chunked => 0,
        };
        let mut body = Segments::new(self.account.charge(), expected);
        let mut reader = head.http.take_body().into_reader().take(limit + 1);
        // The library panics at a trailer that is not ASCII.
        let read_all = AssertUnwindSafe(read_to_end(&mut reader, &mut body)).catch_unwind();
        let read_all = async {
            read_all
                .await
                .unwrap_or(Err(io::ErrorKind::InvalidData.into()))
        };
        let read = timeout(time, read_all).await;
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
            (Ok(Err(e)), _) => Err(self.failed_read(&e)),
            (Ok(Ok(n)), _) if n as u64 > limit => Err(parse::body_too_large(limits).into()),
            // The library reports no error for a body that is shorter than its `content-length`.
            (Ok(Ok(n)), Framing::Fixed(len)) if (n as u64) < len => Err(ConnectionEnd::Closed),
            _ => Ok(body.into_vec()),
        }
    }

    /// Runs the handler, and fires its signal if the caller disconnects.
    async fn run_handler(
        &self,
        request: IncomingRequest,
        disconnect: &DisconnectSignal,
        id: Option<&RequestId>,
    ) -> Result<Response, ConnectionEnd> {
        let answer = AssertUnwindSafe((self.shared.handler)(request)).catch_unwind();
        let watch = async { match self.socket.watch_disconnect(disconnect).await {} };
        let response = or(answer, watch).await.unwrap_or_else(|_| {
            // A panic must not end the connection without a response.
            log::error!("callers: the handler of request {id:?} panicked");
            let fault = "a fault in the router; its log names this request";
            Refused::new(Reason::Internal, fault).into()
        });
        if disconnect.has_fired() {
            return Err(ConnectionEnd::Closed);
        }
        Ok(response)
    }

    /// Writes the response. Returns whether the connection stays open.
    async fn send(
        &self,
        response: Response,
        disconnect: &DisconnectSignal,
        method: Method,
        id: Option<RequestId>,
        keep_alive: bool,
    ) -> Result<bool, ConnectionEnd> {
        let keep_alive = keep_alive && !self.stop.is_closed();
        let complete = matches!(response.body, Body::Complete(_));
        let mut http = response.into_http(id.as_ref());
        if !keep_alive {
            http.insert_header("connection", "close");
        }
        let disconnected = async {
            let watch = async { match self.socket.watch_disconnect(disconnect).await {} };
            or(disconnect.wait(), watch).await;
            Err(io::ErrorKind::ConnectionAborted.into())
        };
        let write = self.write_encoded(Encoder::new(http, method), complete);
        match or(write, disconnected).await {
            Ok(()) => Ok(keep_alive),
            Err(e) => {
                log::debug!("callers: response {id:?} to {} was aborted: {e}", self.peer);
                Err(ConnectionEnd::Closed)
            }
        }
    }

    async fn write_encoded(&self, mut encoder: Encoder, complete: bool) -> io::Result<()> {
        let mut buf = vec![0; WRITE_BYTES];
        let mut len = 0;
        loop {
            let n = encoder.read(&mut buf[len..]).await?;
            len += n;
            // Streamed chunks are written at once, a complete body in as few writes as possible.
            if n == 0 || !complete || len == buf.len() {
                self.socket
                    .write(&buf[..len], self.shared.limits.stall_timeout)
                    .await?;
                len = 0;
            }
            if n == 0 {
                return Ok(());
            }
        }
    }

    fn failed_read(&self, error: &io::Error) -> ConnectionEnd {
        match Evicted::of(error) {
            Some(evicted) => self.evicted(evicted),
            None => ConnectionEnd::Closed,
        }
    }

    /// Rejects a request whose connection was evicted before it arrived completely.
    fn evicted(&self, evicted: Evicted) -> ConnectionEnd {
        self.shared.record_eviction(evicted);
        let (reason, text) = match evicted {
            Evicted::Memory => (
                Reason::ShortOfMemory,
                "this router is short of memory for requests; come back after retry_ms",
            ),
            Evicted::Place => (
                Reason::TooManyConnections,
                "too many connections; send a request in one go, and come back after retry_ms",
            ),
        };
        let refused = Refused::new(reason, text).retry_after(EVICTED_RETRY_AFTER);
        ConnectionEnd::Refused(refused)
    }

    /// Writes a rejection and closes the connection.
    async fn refuse(&self, refused: Refused) {
        self.socket.forget_buffered();
        self.account.refuse();
        log::debug!("callers: rejected {}: {refused}", self.peer);
        // Others wait for the place of this connection.
        let closes_at_once = refused.reason == Reason::TooManyConnections;
        let disconnect = DisconnectSignal::new();
        let sent = self.send(refused.into(), &disconnect, self.method, None, false);
        if sent.await.is_ok() && !closes_at_once {
            self.account.set_phase(Phase::Closing);
            self.socket.linger().await;
        }
    }
}

/// Reads a body into segments. Returns its length.
async fn read_to_end(
    reader: &mut (impl AsyncRead + Unpin),
    body: &mut Segments,
) -> io::Result<usize> {
    let mut part = vec![0; READ_BYTES];
    loop {
        match reader.read(&mut part).await? {
            0 => return Ok(body.len()),
            n => body.push(&part[..n]),
        }
    }
}

fn body_length(request: &IncomingRequest) -> usize {
    match request {
        IncomingRequest::Request { request, .. } => request.body.len(),
        IncomingRequest::Addresses { .. } => 0,
    }
}

fn head_too_large(max_bytes: usize) -> Refused {
    Refused::new(
        Reason::HeadTooLarge,
        format!("the head is too long; send at most {max_bytes} bytes"),
    )
}

fn disconnect_signal_of(request: &IncomingRequest) -> DisconnectSignal {
    match request {
        IncomingRequest::Request { disconnect, .. } => disconnect.clone(),
        IncomingRequest::Addresses { .. } => DisconnectSignal::new(),
    }
}

/// Subtracts the time since `started` from the deadline.
fn subtract_elapsed(request: &mut Request, started: Instant) -> Result<(), Refused> {
    if let Some(deadline) = request.deadline {
        let left = deadline.checked_sub(started.elapsed());
        request.deadline = Some(left.filter(|d| !d.is_zero()).ok_or_else(parse::expired)?);
    }
    Ok(())
}

/// Returns whether the connection can serve another request after this one.
fn can_keep_alive(head: &Head) -> bool {
    let close = head
        .http
        .header("connection")
        .is_some_and(|v| v.as_str().to_ascii_lowercase().contains("close"));
    // The library may read beyond the last chunk, and discards what it has read.
    !close && head.framing != Framing::Chunked
}
