//! A small HTTP server for requests without a body: readiness, addresses, documents, metrics.

use {
    crate::http::{
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
    async_io::Async,
    async_std::{
        future::timeout,
        task, //
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

/// Answers requests by method and target until the process ends.
pub(crate) async fn serve_simple<F>(listener: Listener, handler: F)
where
    F: Fn(&str, &str) -> SimpleResponse + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    loop {
        match listener.accept().await {
            Ok(stream) => {
                let handler = handler.clone();
                task::spawn(async move {
                    if let Err(e) = serve(stream, &*handler).await {
                        log::debug!("event=small outcome=ended cause={e:?}");
                    }
                });
            }
            Err(e) => {
                log::warn!("event=accept outcome=failed cause={e:?}");
                task::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve<F>(stream: Async<TcpStream>, handler: &F) -> Result<(), ReadError>
where
    F: Fn(&str, &str) -> SimpleResponse,
{
    let io_error = |e: std::io::Error| ReadError::Broken(e.kind());
    let mut conn = Conn::new(stream).map_err(io_error)?;
    loop {
        let read = timeout(IDLE_TIMEOUT, conn.read_head(HEAD_MAX, Head::request)).await;
        let head = read.map_err(|_| ReadError::Closed)??;
        let mut body = Body::new(Framing::request(&head)?);
        body.read_all(&mut conn, BODY_MAX).await?;
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
        let written = timeout(IDLE_TIMEOUT, conn.write(&bytes)).await;
        written.map_err(|_| ReadError::Closed)?.map_err(io_error)?;
        drop(answer.held);
        if !head.keeps_alive() {
            return Ok(());
        }
    }
}
