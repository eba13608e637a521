//! A small HTTP server for requests without a body: readiness, addresses, documents, metrics.

use {
    crate::{
        http::{
            Body,
            Conn,
            Framing,
            Head,
            Headers,
            Listener,
            ReadError,
            ResponseEncoder,
            StartLine, //
        },
        state::Shared,
    },
    async_io::Async,
    async_std::{
        future::timeout,
        task, //
    },
    futures_lite::future::or,
    resources::{
        Account,
        Limiter,
        ListenerId,
        Phase, //
    },
    std::{
        net::TcpStream,
        sync::Arc,
        time::Duration, //
    },
};

/// Longest head of a request, in bytes.
const HEAD_MAX: usize = 8 * 1024;
/// Longest body of a request, in bytes; bodies are discarded.
const BODY_MAX: usize = 64 * 1024;
/// How long a connection may be idle, and how long writing a response may take.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause after a failed accept, for example when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Reads a request and discards its body.
async fn read_request(conn: &mut Conn) -> Result<Head, ReadError> {
    let head = conn.read_head(HEAD_MAX, Head::request).await?;
    let mut body = Body::new(Framing::request(&head)?);
    body.discard(conn, BODY_MAX).await?;
    Ok(head)
}

/// A complete response.
pub(crate) struct SimpleResponse {
    status: u16,
    content_type: &'static str,
    body: Vec<u8>,
    /// Dropped when the response was written.
    held: Option<Box<dyn Send>>,
}

impl SimpleResponse {
    pub(crate) fn status(status: u16) -> SimpleResponse {
        SimpleResponse {
            status,
            content_type: "text/plain",
            body: Vec::new(),
            held: None,
        }
    }

    pub(crate) fn body(content_type: &'static str, body: Vec<u8>) -> SimpleResponse {
        SimpleResponse {
            status: 200,
            content_type,
            body,
            held: None,
        }
    }

    /// Holds a value until the response was written.
    pub(crate) fn holding<T: Send + 'static>(mut self, value: Option<T>) -> SimpleResponse {
        self.held = value.map(|v| Box::new(v) as Box<dyn Send>);
        self
    }
}

/// Answers requests by method and target until the process ends, over at most `connections` at once.
pub(crate) async fn serve_simple<F>(
    gw: Arc<Shared>,
    listener: Listener,
    connections: usize,
    handler: F,
) where
    F: Fn(&str, &str) -> SimpleResponse + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    let id = gw.limiter.add_listener(connections);
    loop {
        let Some((stream, account)) = accept_client(&gw.limiter, &listener, id).await else {
            metrics::counter!("chervilwind_clients_turned_away").increment(1);
            continue;
        };
        let handler = handler.clone();
        task::spawn(async move {
            if let Err(e) = serve(stream, account, &*handler).await {
                log::debug!("event=small outcome=ended cause={e:?}");
            }
        });
    }
}

/// Accepts a connection and opens its account; none if the listener has no place for it.
pub(super) async fn accept_client(
    limiter: &Limiter,
    listener: &Listener,
    id: ListenerId,
) -> Option<(Async<TcpStream>, Account)> {
    loop {
        match listener.accept().await {
            Ok(stream) => return Some((stream, limiter.open(id).await?)),
            Err(e) => {
                log::warn!("event=accept outcome=failed cause={e:?}");
                task::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve<F>(stream: Async<TcpStream>, account: Account, handler: &F) -> Result<(), ReadError>
where
    F: Fn(&str, &str) -> SimpleResponse,
{
    let mut conn = Conn::accepted(stream, account.clone())?;
    loop {
        account.set_phase(Phase::Receiving);
        let read = timeout(IDLE_TIMEOUT, read_request(&mut conn)).await;
        let head = read.map_err(|_| ReadError::Closed)??;
        let StartLine::Request { method, target } = &head.line else {
            return Ok(());
        };
        let answer = handler(method, target);
        let mut headers = Headers::default();
        headers.push("Content-Type", answer.content_type);
        let line = StartLine::Response {
            status: answer.status,
            reason: super::local_answer::reason_phrase(answer.status).to_owned(),
        };
        let length = answer.body.len().to_string();
        let encoder = ResponseEncoder::new(method, answer.status);
        let bytes = encoder.encode(&line, headers, &answer.body, Some(&length));
        drop(answer.body);
        // A client that doesn't read its answer is evicted like one that sends none of its request.
        let mut charge = account.charge();
        charge.resize(bytes.len());
        let evicted = async { Err(account.wait_evicted().await.into()) };
        let write = async { conn.write(&bytes).await.map_err(ReadError::from) };
        let written = timeout(IDLE_TIMEOUT, or(write, evicted)).await;
        written.map_err(|_| ReadError::Closed)??;
        drop(answer.held);
        account.serve()?;
        if !head.keeps_alive() {
            return Ok(());
        }
    }
}
