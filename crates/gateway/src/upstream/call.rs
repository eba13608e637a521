//! One request to one replica, up to the head of its answer.

use {
    crate::{
        http::{
            Body,
            Conn,
            Framing,
            Head,
            Headers,
            ReadError,
            StartLine, //
        },
        model::{
            Dialect,
            Replica,
            RouteKind, //
        },
        upstream::{
            upload::Upload,
            Pool, //
        },
    },
    resources::Segments,
    std::{
        io,
        net::SocketAddr,
        sync::{
            atomic::{
                AtomicBool,
                Ordering, //
            },
            Arc,
        },
        time::{
            Duration,
            Instant, //
        },
    },
    thiserror::Error, //
};

/// Longest head of an answer, in bytes.
const HEAD_MAX: usize = 32 * 1024;
/// Time limit for opening a connection: a hundred round trips between zones. If that is not enough,
/// the replica's accept queue is full, or the replica is unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Answers to other requests that are skipped before the connection is closed.
const EXTRA_ANSWERS_MAX: usize = 2;
/// Longest answer to another request that is skipped, in bytes.
const EXTRA_ANSWER_MAX_BYTES: usize = 256 * 1024;
/// Statuses that tell a caller that its request was not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// Longest idle time of a connection that is reused for a request which must not run twice. If the
/// replica closes an older connection at the same moment, or the connection is dead, it is unknown
/// whether the request ran.
const SINGLE_IDLE_MAX: Duration = Duration::from_millis(400);
/// The same for a stream that can't be resumed. If it is lost, the caller can retry without running
/// anything twice, and with the shorter limit two in five of these requests would need a new
/// connection.
const STREAM_IDLE_MAX: Duration = Duration::from_secs(2);

/// A request as it is sent to a replica.
#[derive(Debug)]
pub(crate) struct UpstreamRequest<'a> {
    pub(crate) id: &'a str,
    pub(crate) method: &'a str,
    pub(crate) target: &'a str,
    /// The caller's headers, without those that are not forwarded.
    pub(crate) headers: &'a Headers,
    /// The workspace that the caller's key belongs to.
    pub(crate) workspace: Option<&'a str>,
    /// The last event that the caller has received, if a stream is resumed.
    pub(crate) last_event: Option<u64>,
    /// Address of a replica that has parts of the prompt cached.
    pub(crate) cache_source: Option<SocketAddr>,
    pub(crate) body: &'a Arc<Segments>,
    pub(crate) until: Instant,
    /// Kind of the route, which tells whether the request may run twice.
    pub(crate) kind: RouteKind,
}

/// Whether anything was sent of a request; also valid after its call was cancelled.
#[derive(Debug, Default)]
pub(crate) struct SendMarker(AtomicBool);

impl SendMarker {
    /// Returns whether a byte may have reached the replica.
    pub(crate) fn started(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    fn mark_started(&self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// An answer to this request whose head was read.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) head: Head,
    pub(crate) body: Body,
    pub(crate) conn: Conn,
    upload: Upload,
}

/// Why there is no answer.
#[derive(Debug, Error)]
pub(crate) enum CallError {
    #[error("no connection: {0}")]
    Connect(io::ErrorKind),
    #[error("{0}")]
    Read(#[from] ReadError),
    #[error("the answer belongs to another request")]
    Foreign,
    #[error("an answer without the request's id")]
    MissingId,
    #[error("the replica takes no more requests since it was chosen")]
    Withdrawn,
}

/// Why an answer can't be forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(crate) enum InvalidReply {
    #[error("the answer is not signed")]
    Unsigned,
    #[error("a success with the mark of a request that was not run")]
    SuccessNotRun,
    #[error("status {0} without the mark of a request that was not run")]
    Unmarked(u16),
}

impl CallError {
    /// Returns the label for metrics.
    pub(crate) fn label(&self) -> &'static str {
        match self {
            CallError::Connect(_) => "connect",
            CallError::Read(e) => e.label(),
            CallError::Foreign => "foreign",
            CallError::MissingId => "missing-id",
            CallError::Withdrawn => "withdrawn",
        }
    }
}

impl InvalidReply {
    /// Returns the label for metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            InvalidReply::Unsigned => "unsigned",
            InvalidReply::SuccessNotRun => "success-not-run",
            InvalidReply::Unmarked(_) => "unmarked",
        }
    }
}

/// What the caller of [`call`] decides and observes during it.
pub(crate) struct CallHooks<'a> {
    /// Whether the request may still be sent, asked when there is a connection.
    pub(crate) may_send: &'a (dyn Fn() -> bool + Sync),
    /// Called with each head that the replica sends, also of extra answers to earlier requests.
    pub(crate) on_head: &'a (dyn Fn(&Head) + Sync),
}

/// Sends a request to a replica and reads the head of its answer.
///
/// # Errors
///
/// If there is no answer; `sent` tells whether the replica may have received the request.
pub(crate) async fn call(
    pool: &Pool,
    dialect: &Dialect,
    replica: &Replica,
    request: &UpstreamRequest<'_>,
    sent: &SendMarker,
    hooks: &CallHooks<'_>,
) -> Result<Reply, CallError> {
    let mut conn = open(pool, replica, request, hooks).await?;
    let head = request_head(dialect, replica, request);
    let mut upload = Upload::new(conn.writer(), head, request.body);
    sent.mark_started();
    let read = read_answer(&mut conn, dialect, request, hooks);
    let (head, body) = upload.during(read).await?;
    Ok(Reply {
        head,
        body,
        conn,
        upload,
    })
}

/// Takes or opens a connection for a request that may still be sent.
async fn open(
    pool: &Pool,
    replica: &Replica,
    request: &UpstreamRequest<'_>,
    hooks: &CallHooks<'_>,
) -> Result<Conn, CallError> {
    let max_idle = match request.kind {
        RouteKind::Single => SINGLE_IDLE_MAX,
        RouteKind::Stream { resume: false } => STREAM_IDLE_MAX,
        RouteKind::Idempotent | RouteKind::Stream { resume: true } => Duration::MAX,
    };
    let conn = match pool.take(&replica.id, max_idle).await {
        Some(conn) => conn,
        None => connect(replica, request.until).await?,
    };
    match (hooks.may_send)() {
        true => Ok(conn),
        false => Err(CallError::Withdrawn),
    }
}

async fn connect(replica: &Replica, until: Instant) -> Result<Conn, CallError> {
    let left = until.saturating_duration_since(Instant::now());
    metrics::counter!("chervilwind_replica_connections").increment(1);
    let conn = Conn::open(replica.addr, CONNECT_TIMEOUT.min(left)).await;
    conn.map_err(|e| CallError::Connect(e.kind()))
}

fn request_head(dialect: &Dialect, replica: &Replica, request: &UpstreamRequest<'_>) -> Vec<u8> {
    let mut headers = request.headers.clone();
    let left = request.until.saturating_duration_since(Instant::now());
    headers.push(dialect.deadline, left.as_millis());
    headers.push(dialect.expected_replica, &replica.id);
    if let Some(workspace) = request.workspace {
        headers.push(dialect.workspace, workspace);
    }
    if let Some(cache_source) = request.cache_source {
        headers.push(dialect.copy_from, cache_source);
    }
    if let Some(last) = request.last_event {
        headers.remove(dialect.last_event);
        headers.push(dialect.last_event, last);
    }
    if !request.body.is_empty() || !matches!(request.method, "GET" | "HEAD" | "DELETE" | "OPTIONS")
    {
        headers.push("Content-Length", request.body.len());
    }
    StartLine::Request {
        method: request.method.to_owned(),
        target: request.target.to_owned(),
    }
    .encode_head(&headers)
}

/// Reads heads up to that of this request's answer.
///
/// On a reused connection, an extra answer to an earlier request may come first. Without the check
/// of the id it would go to the wrong caller.
async fn read_answer(
    conn: &mut Conn,
    dialect: &Dialect,
    request: &UpstreamRequest<'_>,
    hooks: &CallHooks<'_>,
) -> Result<(Head, Body), CallError> {
    let mut extra = 0;
    loop {
        let head = conn.read_response_head(HEAD_MAX, hooks.on_head).await?;
        let framing = Framing::response(&head, request.method).map_err(ReadError::from)?;
        let mut body = Body::new(framing);
        match head.headers.get(dialect.id) {
            Some(id) if id == request.id => return Ok((head, body)),
            None => return Err(CallError::MissingId),
            Some(_) if extra < EXTRA_ANSWERS_MAX && framing != Framing::Close => {
                extra += 1;
                metrics::counter!("chervilwind_replica_extra_answers").increment(1);
                body.discard(conn, EXTRA_ANSWER_MAX_BYTES).await?;
            }
            Some(_) => return Err(CallError::Foreign),
        }
    }
}

impl AsRef<Reply> for Reply {
    fn as_ref(&self) -> &Reply {
        self
    }
}

impl Reply {
    /// Reads the next part of the body, and writes what is left of the request meanwhile; none at the
    /// end of the body.
    pub(crate) async fn read_part(&mut self) -> Result<Option<Vec<u8>>, ReadError> {
        let read = self.body.read_part(&mut self.conn);
        self.upload.during(read).await
    }

    /// Returns whether the replica reports that it did not run the request.
    ///
    /// If the replica's address was reassigned to another replica, that one rejects the request as
    /// misdirected (421), without running it.
    pub(crate) fn reports_not_run(&self, dialect: &Dialect) -> bool {
        let marked = self.head.headers.get(dialect.not_run).is_some();
        self.head.status() == 421 || marked && !self.is_success()
    }

    /// Checks that an answer to a request which may have run can be forwarded.
    ///
    /// # Errors
    ///
    /// It is a success without the replica's signature or with the mark of a request that was not run,
    /// or a status that tells the caller, without this mark, that the request was not run.
    pub(crate) fn check(&self, dialect: &Dialect) -> Result<(), InvalidReply> {
        let status = self.head.status();
        if NOT_RUN_STATUSES.contains(&status) {
            return Err(InvalidReply::Unmarked(status));
        }
        if !self.is_success() {
            return Ok(());
        }
        if self.head.headers.get(dialect.not_run).is_some() {
            return Err(InvalidReply::SuccessNotRun);
        }
        match self.head.headers.get(dialect.signature) {
            Some(_) => Ok(()),
            None => Err(InvalidReply::Unsigned),
        }
    }

    fn is_success(&self) -> bool {
        (200..300).contains(&self.head.status())
    }

    /// Keeps the connection for reuse if neither side has anything left to send on it.
    pub(crate) fn recycle(self, pool: &Pool, replica: &Replica) {
        let clean = self.conn.buffered().is_empty();
        if !(self.upload.is_complete() && clean && self.head.keeps_alive() && self.body.reusable())
        {
            return;
        }
        let keep = self.head.headers.get("keep-alive").and_then(|v| {
            let part = v
                .split(',')
                .find_map(|p| p.trim().strip_prefix("timeout="))?;
            part.parse().ok().map(Duration::from_secs)
        });
        pool.put(&replica.id, self.conn, keep);
    }
}

#[cfg(test)]
mod tests;
