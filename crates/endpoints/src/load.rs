//! Fetches load reports and cancels streams, on separate short-lived connections.

use {
    crate::{
        conn::{
            with_deadline,
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
const REPORT_MAX_BYTES: usize = 64 * 1024;

const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// The load that an endpoint reported; it may be out of date.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Load {
    /// Requests that are running.
    pub running: u32,
    /// Admitted requests that are waiting.
    pub waiting: u32,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Requests that can run concurrently at full speed, if reported.
    pub capacity: Option<u32>,
}

/// Fetches a load report before the deadline.
pub(crate) async fn fetch_report(addr: SocketAddr, deadline: Instant) -> Result<Load, CallError> {
    let call = control_call(addr, Method::Get, "/load".to_owned(), load_id(), deadline);
    let body = exchange(&call).await?;
    serde_json::from_slice(&body).map_err(|e| CallError::InvalidReport(e.to_string()))
}

/// Notifies an endpoint that a stream is no longer needed.
pub(crate) async fn cancel(addr: SocketAddr, id: CallId) {
    let path = format!("/v1/cancel/{id}");
    let call = control_call(
        addr,
        Method::Post,
        path,
        id,
        Instant::now() + CANCEL_TIMEOUT,
    );
    if let Err(e) = exchange(&call).await {
        log::debug!("endpoints: cancel of {} at {addr} failed: {e}", call.id);
    }
}

fn load_id() -> CallId {
    "load".parse().expect("a valid id")
}

fn control_call(
    addr: SocketAddr,
    method: Method,
    path: String,
    id: CallId,
    deadline: Instant,
) -> Call {
    Call {
        id,
        replica: addr,
        method,
        path,
        headers: Vec::new(),
        body: Arc::from([]),
        kind: Kind::Plain,
        idempotent: true,
        deadline,
        silence_timeout: CANCEL_TIMEOUT,
    }
}

async fn exchange(call: &Call) -> Result<Vec<u8>, CallError> {
    let started = Instant::now();
    let timed_out = || CallError::Silent(Span::from(started.elapsed()));
    with_deadline(call.deadline, async {
        let mut conn = Conn::open(call.replica, call.deadline).await?;
        let bytes = request::encode(call, None).await?;
        conn.write_all(&bytes).await?;
        let mut reply = conn.read_reply(false).await?;
        let mut body = Vec::new();
        while let Some(part) = reply.read_next().await? {
            body.extend_from_slice(&part);
            if body.len() > REPORT_MAX_BYTES {
                return Err(CallError::InvalidReport("it is too long".to_owned()));
            }
        }
        match reply.status {
            200..=299 => Ok(body),
            status => Err(CallError::Status(status)),
        }
    })
    .await
    .ok_or_else(timed_out)?
}
