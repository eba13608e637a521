//! A simple HTTP client for requests of the gateway itself.

use {
    super::{
        Body,
        Conn,
        Framing,
        Headers,
        ReadError,
        StartLine, //
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
/// Time limit for opening a connection: a hundred round trips between zones.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A request of the gateway itself, to the store or to a peer.
#[derive(Debug, Clone)]
pub struct ClientRequest {
    /// Address of the server.
    pub addr: SocketAddr,
    /// The method.
    pub method: &'static str,
    /// Path and query, in visible ASCII characters.
    pub target: String,
    /// Content type and body, if there is a body.
    pub body: Option<(&'static str, Vec<u8>)>,
    /// Time limit for the complete exchange.
    pub within: Duration,
    /// Longest body of the answer, in bytes.
    pub max_body_bytes: usize,
}

/// A complete answer.
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
    /// The target can't be sent, as it would end in the middle of the request line.
    #[error("the target {0:?} holds other than visible ASCII characters; encode it")]
    Target(String),
    /// No connection could be opened, so the request was not run.
    #[error("{0} can't be reached: {1}")]
    Connect(SocketAddr, io::ErrorKind),
    /// The request may have been run.
    #[error("the answer of {0} was lost: {1}")]
    Lost(SocketAddr, String),
}

/// Sends a request over the connection in `kept`, or over a new one, and reads the answer.
///
/// The connection is put back into `kept` if it can be reused. After a failure it is not, so that a
/// silent connection is used at most once.
///
/// # Errors
///
/// If the target can't be sent, or no complete answer arrives in time.
pub async fn exchange(
    kept: &mut Option<IdleConnection>,
    request: &ClientRequest,
) -> Result<Answer, ExchangeError> {
    if !request.target.bytes().all(|b| b.is_ascii_graphic()) {
        return Err(ExchangeError::Target(request.target.clone()));
    }
    let mut conn = match reuse(kept).await {
        Some(conn) => conn,
        None => open(request).await?,
    };
    let lost = |e: String| ExchangeError::Lost(request.addr, e);
    let answer = timeout(request.within, send(&mut conn, request)).await;
    let (answer, keep) = answer
        .map_err(|_| lost(format!("no answer within {:?}", request.within)))?
        .map_err(|e| lost(e.to_string()))?;
    if keep {
        *kept = Some(IdleConnection(conn));
    }
    Ok(answer)
}

/// A connection kept for the next request.
#[derive(Debug)]
pub struct IdleConnection(Conn);

async fn reuse(kept: &mut Option<IdleConnection>) -> Option<Conn> {
    let mut conn = kept.take()?.0;
    conn.is_idle().await.then_some(conn)
}

async fn open(request: &ClientRequest) -> Result<Conn, ExchangeError> {
    let failed = |kind| ExchangeError::Connect(request.addr, kind);
    let conn = Conn::open(request.addr, CONNECT_TIMEOUT.min(request.within)).await;
    conn.map_err(|e| failed(e.kind()))
}

async fn send(conn: &mut Conn, request: &ClientRequest) -> Result<(Answer, bool), ReadError> {
    let mut headers = Headers::default();
    headers.push("Host", request.addr);
    let mut body: &[u8] = &[];
    if let Some((kind, bytes)) = &request.body {
        headers.push("Content-Type", kind);
        headers.push("Content-Length", bytes.len());
        body = bytes;
    } else if request.method != "GET" {
        headers.push("Content-Length", 0);
    }
    let line = StartLine::Request {
        method: request.method.to_owned(),
        target: request.target.clone(),
    };
    let mut bytes = line.encode_head(&headers);
    bytes.extend_from_slice(body);
    conn.write(&bytes)
        .await
        .map_err(|e| ReadError::Broken(e.kind()))?;
    let head = conn.read_response_head(HEAD_MAX, |_| {}).await?;
    let mut body = Body::new(Framing::response(&head, request.method)?);
    let content = body.read_all(conn, request.max_body_bytes).await?;
    let keep = head.keeps_alive() && body.reusable();
    let answer = Answer {
        status: head.status(),
        headers: head.headers,
        body: content,
    };
    Ok((answer, keep))
}

#[cfg(test)]
mod tests;
