//! One request to one replica, up to the head of its answer.

use {
    crate::{
        http::{
            Body,
            Conn,
            Framing,
            Head,
            Headers,
            Line,
            ReadError, //
        },
        model::{
            Dialect,
            Replica,
            RouteKind, //
        },
        upstream::Pool,
    },
    futures_lite::{
        future::or,
        AsyncWriteExt, //
    },
    std::{
        io,
        net::SocketAddr,
        sync::atomic::{
            AtomicBool,
            Ordering, //
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
/// How long a connection may take to open: a hundred round trips between zones. Beyond it a
/// replica's queue of connections is full, or it can't be reached.
const CONNECT: Duration = Duration::from_millis(400);
/// Answers to other requests that are skipped before a connection is given up.
const EXTRA: usize = 2;
/// Longest such answer, in bytes.
const EXTRA_MAX: usize = 256 * 1024;
/// A request that may run at most once goes only over a connection that was used this
/// recently. One that the replica closes at the same moment, or that has gone silent, leaves it
/// open whether the request ran.
const FRESH: Duration = Duration::from_millis(400);
/// The same for a stream that can't go on elsewhere. It is lost then, but nothing is done twice
/// by a caller who asks again, and two in five of these would pay for a new connection.
const FRESH_STREAM: Duration = Duration::from_secs(2);

/// A request as it goes to replicas.
#[derive(Debug)]
pub(crate) struct Outgoing<'a> {
    pub(crate) id: &'a str,
    pub(crate) method: &'a str,
    pub(crate) target: &'a str,
    /// What the caller sent and may be passed on.
    pub(crate) headers: &'a Headers,
    /// The workspace that the caller's key stands for.
    pub(crate) workspace: Option<&'a str>,
    /// The last event that the caller has, where a stream goes on.
    pub(crate) last_event: Option<u64>,
    /// A replica that has parts of the prompt cached.
    pub(crate) source: Option<SocketAddr>,
    pub(crate) body: &'a [u8],
    pub(crate) until: Instant,
    /// What of it may be repeated.
    pub(crate) kind: RouteKind,
}

/// How far a request got, also where its call was dropped.
#[derive(Debug, Default)]
pub(crate) struct Sent(AtomicBool);

impl Sent {
    /// Tells whether a byte of it may have reached the replica.
    pub(crate) fn any(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    fn begin(&self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// An answer whose head was read and is that of this request.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) head: Head,
    pub(crate) body: Body,
    pub(crate) conn: Conn,
    /// The whole request was written.
    whole: bool,
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
    Nameless,
}

/// Sends a request to a replica and reads the head of its answer.
///
/// # Errors
///
/// `sent` tells whether the replica may have got it.
pub(crate) async fn call(
    pool: &Pool,
    dialect: &Dialect,
    replica: &Replica,
    out: &Outgoing<'_>,
    sent: &Sent,
) -> Result<Reply, CallError> {
    let most = match out.kind {
        RouteKind::Single => FRESH,
        RouteKind::Stream { resume: false } => FRESH_STREAM,
        RouteKind::Idempotent | RouteKind::Stream { resume: true } => Duration::MAX,
    };
    let mut conn = match pool.take(&replica.id, most).await {
        Some(conn) => conn,
        None => open(replica, out.until).await?,
    };
    let head = head(dialect, replica, out);
    sent.begin();
    let mut whole = false;
    let mut writer = conn.writer();
    let write = async {
        let written = async {
            writer.write_all(&head).await?;
            writer.write_all(out.body).await
        };
        // A replica that answers early may not read the rest. Its answer counts, so a write
        // that fails is left to the reading to notice.
        whole = written.await.is_ok();
        futures_lite::future::pending().await
    };
    let read = async { answer(&mut conn, dialect, out).await };
    let (head, body) = or(read, write).await?;
    Ok(Reply {
        head,
        body,
        conn,
        whole,
    })
}

async fn open(replica: &Replica, until: Instant) -> Result<Conn, CallError> {
    let left = until.saturating_duration_since(Instant::now());
    metrics::counter!("chervilwind_replica_connections").increment(1);
    let conn = Conn::open(replica.addr, CONNECT.min(left)).await;
    conn.map_err(|e| CallError::Connect(e.kind()))
}

fn head(dialect: &Dialect, replica: &Replica, out: &Outgoing<'_>) -> Vec<u8> {
    let mut headers = out.headers.clone();
    let left = out.until.saturating_duration_since(Instant::now());
    headers.push(dialect.deadline, left.as_millis());
    headers.push(dialect.expected_replica, &replica.id);
    if let Some(workspace) = out.workspace {
        headers.push(dialect.workspace, workspace);
    }
    if let Some(source) = out.source {
        headers.push(dialect.copy_from, source);
    }
    if let Some(last) = out.last_event {
        headers.remove(dialect.last_event);
        headers.push(dialect.last_event, last);
    }
    if !out.body.is_empty() || !matches!(out.method, "GET" | "HEAD" | "DELETE" | "OPTIONS") {
        headers.push("Content-Length", out.body.len());
    }
    Line::Request {
        method: out.method.to_owned(),
        target: out.target.to_owned(),
    }
    .head(&headers)
}

/// Reads heads until that of this request's answer.
///
/// An extra answer to an earlier request may stand before it on a kept connection. It shows
/// by its id; taken for this request's it would reach the wrong caller.
async fn answer(
    conn: &mut Conn,
    dialect: &Dialect,
    out: &Outgoing<'_>,
) -> Result<(Head, Body), CallError> {
    let mut extra = 0;
    loop {
        let head = conn.head(HEAD_MAX, Head::response).await?;
        if (100..200).contains(&head.status()) {
            continue;
        }
        let framing = Framing::response(&head, out.method).map_err(ReadError::from)?;
        let mut body = Body::new(framing);
        match head.headers.get(dialect.id) {
            Some(id) if id == out.id => return Ok((head, body)),
            None => return Err(CallError::Nameless),
            Some(_) if extra < EXTRA && framing != Framing::Close => {
                extra += 1;
                metrics::counter!("chervilwind_replica_extra_answers").increment(1);
                body.whole(conn, EXTRA_MAX).await?;
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
    /// Tells whether the replica says that it did not run the request.
    ///
    /// A request that was meant for another replica, at an address that was given to this one,
    /// is turned away as misdirected (421) and has not run either.
    pub(crate) fn not_run(&self, dialect: &Dialect) -> bool {
        self.head.status() == 421 || self.head.headers.get(dialect.not_run).is_some()
    }

    /// Tells whether the answer may be passed on: a success counts only with the replica's
    /// signature.
    pub(crate) fn signed(&self, dialect: &Dialect) -> bool {
        let good = (200..300).contains(&self.head.status());
        !good || self.head.headers.get(dialect.signature).is_some()
    }

    /// Keeps the connection for the next request, where nothing more is owed on it.
    pub(crate) fn recycle(self, pool: &Pool, replica: &Replica) {
        let clean = self.conn.held().is_empty();
        if !(self.whole && clean && self.head.keeps() && self.body.reusable()) {
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
