//! One request and its whole answer, for calls of our own.

use {
    super::{
        Body,
        Conn,
        Framing,
        Head,
        Headers,
        Line,
        ReadError, //
    },
    async_std::future::timeout,
    std::{
        io,
        net::SocketAddr,
        time::Duration, //
    },
    thiserror::Error, //
};

/// Longest head of an answer, in bytes.
const HEAD_MAX: usize = 16 * 1024;
/// How long a connection may take to open: a hundred times a round trip between zones.
const CONNECT: Duration = Duration::from_millis(500);

/// A request of our own.
#[derive(Debug, Clone)]
pub struct ClientRequest {
    /// Who is asked.
    pub addr: SocketAddr,
    /// The method.
    pub method: &'static str,
    /// Path and query.
    pub target: String,
    /// The body, with its type; none for a request without.
    pub body: Option<(&'static str, Vec<u8>)>,
    /// How long all of it may take.
    pub within: Duration,
    /// Longest body of the answer, in bytes.
    pub max_body_bytes: usize,
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Its status.
    pub status: u16,
    /// Its headers.
    pub headers: Headers,
    /// Its body.
    pub body: Vec<u8>,
}

/// Why there is no answer.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// Nobody could be reached, so nothing was done.
    #[error("{0} can't be reached: {1}")]
    Connect(SocketAddr, io::ErrorKind),
    /// The request may have been done.
    #[error("the answer of {0} was lost: {1}")]
    Lost(SocketAddr, String),
}

/// Sends a request over `kept`, or over a new connection, and reads the answer.
///
/// The connection is put into `kept` where it can be used again. One that fails is not, so
/// that a silent connection is used once at most.
///
/// # Errors
///
/// Where no whole answer came in time.
pub async fn exchange(
    kept: &mut Option<IdleConnection>,
    ask: &ClientRequest,
) -> Result<Answer, ExchangeError> {
    let mut conn = match reuse(kept).await {
        Some(conn) => conn,
        None => open(ask).await?,
    };
    let lost = |e: String| ExchangeError::Lost(ask.addr, e);
    let answer = timeout(ask.within, send(&mut conn, ask)).await;
    let (answer, keep) = answer
        .map_err(|_| lost(format!("nothing within {:?}", ask.within)))?
        .map_err(|e| lost(e.to_string()))?;
    if keep {
        *kept = Some(IdleConnection(conn));
    }
    Ok(answer)
}

/// A connection that is kept between requests of our own.
#[derive(Debug)]
pub struct IdleConnection(Conn);

async fn reuse(kept: &mut Option<IdleConnection>) -> Option<Conn> {
    let mut conn = kept.take()?.0;
    conn.quiet().await.then_some(conn)
}

async fn open(ask: &ClientRequest) -> Result<Conn, ExchangeError> {
    let failed = |kind| ExchangeError::Connect(ask.addr, kind);
    let conn = Conn::open(ask.addr, CONNECT.min(ask.within)).await;
    conn.map_err(|e| failed(e.kind()))
}

async fn send(conn: &mut Conn, ask: &ClientRequest) -> Result<(Answer, bool), ReadError> {
    let mut headers = Headers::default();
    headers.push("Host", ask.addr);
    let mut body: &[u8] = &[];
    if let Some((kind, bytes)) = &ask.body {
        headers.push("Content-Type", kind);
        headers.push("Content-Length", bytes.len());
        body = bytes;
    } else if ask.method != "GET" {
        headers.push("Content-Length", 0);
    }
    let line = Line::Request {
        method: ask.method.to_owned(),
        target: ask.target.clone(),
    };
    let mut bytes = line.head(&headers);
    bytes.extend_from_slice(body);
    conn.write(&bytes)
        .await
        .map_err(|e| ReadError::Broken(e.kind()))?;
    let head = conn.head(HEAD_MAX, Head::response).await?;
    let mut body = Body::new(Framing::response(&head, ask.method)?);
    let whole = body.whole(conn, ask.max_body_bytes).await?;
    let keep = head.keeps() && body.reusable();
    let answer = Answer {
        status: head.status(),
        headers: head.headers,
        body: whole,
    };
    Ok((answer, keep))
}
