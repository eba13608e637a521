//! Load reports of endpoints, and cancels: short exchanges beside the calls.

use {
    crate::{
        conn::{
            until,
            Conn, //
        },
        request,
        Call,
        CallError,
        CallId,
        Kind, //
    },
    http_types::Method,
    policy::Span,
    serde::{
        Deserialize,
        Serialize, //
    },
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{
            Duration,
            Instant, //
        },
    },
};

/// Longest load report accepted, in bytes.
const REPORT_MAX: usize = 64 * 1024;

/// How long a cancel may take.
const CANCEL: Duration = Duration::from_secs(2);

/// What an endpoint says of its load, some time after it was true.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests taken in that wait.
    pub waiting: u32,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Requests that run at full speed together, where it says so.
    pub capacity: Option<u32>,
}

/// Asks for a load report.
pub(crate) async fn ask(addr: SocketAddr, at: Instant) -> Result<Load, CallError> {
    let call = short(addr, Method::Get, "/load".to_owned(), load_id(), at);
    let body = exchange(&call).await?;
    serde_json::from_slice(&body).map_err(|e| CallError::Report(e.to_string()))
}

/// Tells an endpoint that nobody waits for a stream any more.
pub(crate) async fn cancel(addr: SocketAddr, id: CallId) {
    let path = format!("/v1/cancel/{id}");
    let call = short(addr, Method::Post, path, id, Instant::now() + CANCEL);
    if let Err(e) = exchange(&call).await {
        log::debug!("endpoints: cancel of {} at {addr} failed: {e}", call.id);
    }
}

fn load_id() -> CallId {
    "load".parse().expect("a valid id")
}

fn short(addr: SocketAddr, method: Method, path: String, id: CallId, at: Instant) -> Call {
    Call {
        id,
        replica: addr,
        method,
        path,
        headers: Vec::new(),
        body: Arc::from([]),
        kind: Kind::Plain,
        idempotent: true,
        deadline: at,
        silence_timeout: CANCEL,
    }
}

async fn exchange(call: &Call) -> Result<Vec<u8>, CallError> {
    let started = Instant::now();
    let late = || CallError::Silent(Span::from(started.elapsed()));
    until(call.deadline, async {
        let mut conn = Conn::open(call.replica, call.deadline).await?;
        let bytes = request::bytes(call, None).await?;
        conn.write_all(&bytes).await?;
        let mut reply = conn.reply(false).await?;
        let mut body = Vec::new();
        while let Some(piece) = reply.piece().await? {
            body.extend_from_slice(&piece);
            if body.len() > REPORT_MAX {
                return Err(CallError::Report("it is too long".to_owned()));
            }
        }
        match reply.status {
            200..=299 => Ok(body),
            status => Err(CallError::Status(status)),
        }
    })
    .await
    .ok_or_else(late)?
}
