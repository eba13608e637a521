//! A small server for questions without a body: readiness, addresses, documents, metrics.

use {
    crate::http::{
        Body,
        Conn,
        Framing,
        Head,
        Headers,
        Line,
        ReadError, //
    },
    async_std::{
        future::timeout,
        net::{
            TcpListener,
            TcpStream, //
        },
        task, //
    },
    std::{
        sync::Arc,
        time::Duration, //
    },
};

/// Longest head of a question, in bytes.
const HEAD_MAX: usize = 8 * 1024;
/// Longest body of a question, which is read and dropped.
const BODY_MAX: usize = 64 * 1024;
/// How long a connection may be idle, and an answer may take to be read.
const IDLE: Duration = Duration::from_secs(20);
/// Pause after an accept that failed, for instance for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// An answer to a small question.
#[derive(Debug)]
pub(crate) struct SimpleResponse {
    status: u16,
    kind: &'static str,
    body: Vec<u8>,
}

impl SimpleResponse {
    pub(crate) fn status(status: u16) -> SimpleResponse {
        SimpleResponse {
            status,
            kind: "text/plain",
            body: Vec::new(),
        }
    }

    pub(crate) fn body(kind: &'static str, body: Vec<u8>) -> SimpleResponse {
        SimpleResponse {
            status: 200,
            kind,
            body,
        }
    }
}

/// Answers questions by method and target, for as long as the process runs.
pub(crate) async fn serve_simple<F>(listener: TcpListener, handler: F)
where
    F: Fn(&str, &str) -> SimpleResponse + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
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

async fn serve<F>(stream: TcpStream, handler: &F) -> Result<(), ReadError>
where
    F: Fn(&str, &str) -> SimpleResponse,
{
    let broken = |e: std::io::Error| ReadError::Broken(e.kind());
    let mut conn = Conn::new(stream).map_err(broken)?;
    loop {
        let read = timeout(IDLE, conn.head(HEAD_MAX, Head::request)).await;
        let head = read.map_err(|_| ReadError::Closed)??;
        let mut body = Body::new(Framing::request(&head)?);
        body.whole(&mut conn, BODY_MAX).await?;
        let Line::Request { method, target } = &head.line else {
            return Ok(());
        };
        let answer = handler(method, target);
        let mut headers = Headers::default();
        headers.push("Content-Type", answer.kind);
        headers.push("Content-Length", answer.body.len());
        let line = Line::Response {
            status: answer.status,
            reason: super::answer::reason(answer.status).to_owned(),
        };
        let mut bytes = line.head(&headers);
        bytes.extend_from_slice(&answer.body);
        let written = timeout(IDLE, conn.write(&bytes)).await;
        written.map_err(|_| ReadError::Closed)?.map_err(broken)?;
        if !head.keeps() {
            return Ok(());
        }
    }
}
