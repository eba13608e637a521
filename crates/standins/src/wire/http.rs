//! One connection of a stand-in: reads requests by library, writes answers by hand.

use {
    super::Fault,
    async_std::{
        future::pending,
        io::ReadExt,
        io::WriteExt,
        net::TcpStream, //
    },
    http_types::Method,
    socket2::SockRef,
    std::{
        io,
        time::Duration, //
    },
};

/// A request as a stand-in sees it.
#[derive(Debug)]
pub(crate) struct Ask {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) id: String,
    pub(crate) resume: Option<u32>,
    pub(crate) body: Vec<u8>,
}

/// A connection that a caller opened.
#[derive(Debug, Clone)]
pub(crate) struct Conn {
    pub(crate) stream: TcpStream,
}

impl Conn {
    /// Waits for the first bytes of the next request without taking them.
    ///
    /// Returns whether they ask for work, rather than for a report or an order of a
    /// test, or `None` where the caller closed.
    pub(crate) async fn arrival(&self) -> Option<bool> {
        let mut buf = [0; 16];
        let n = self.stream.peek(&mut buf).await.ok()?;
        if n == 0 {
            return None;
        }
        let head = String::from_utf8_lossy(&buf[..n]);
        let path = head.split(' ').nth(1).unwrap_or("");
        let control = ["/admin", "/load", "/v1/cancel"]
            .iter()
            .any(|c| path.starts_with(c) || c.starts_with(path));
        Some(path.len() < 2 || !control)
    }

    /// Reads one request.
    pub(crate) async fn ask(&self) -> Option<Ask> {
        let (req, mut body) = async_h1::server::decode(self.stream.clone()).await.ok()??;
        let mut buf = Vec::new();
        body.read_to_end(&mut buf).await.ok()?;
        let text = |name: &str| req.header(name).map(|v| v.as_str().to_owned());
        let path = match req.url().query() {
            Some(query) => format!("{}?{query}", req.url().path()),
            None => req.url().path().to_owned(),
        };
        Some(Ask {
            method: req.method(),
            path,
            id: text("x-request-id").unwrap_or_default(),
            resume: text("x-resume-from").and_then(|n| n.parse().ok()),
            body: buf,
        })
    }

    /// Writes bytes.
    pub(crate) async fn send(&self, bytes: &[u8]) -> io::Result<()> {
        (&self.stream).write_all(bytes).await
    }

    /// Writes one chunk of a chunked body; an empty one ends it.
    pub(crate) async fn chunk(&self, bytes: &[u8]) -> io::Result<()> {
        let mut buf = format!("{:x}\r\n", bytes.len()).into_bytes();
        buf.extend_from_slice(bytes);
        buf.extend_from_slice(b"\r\n");
        self.send(&buf).await
    }

    /// Writes a whole answer.
    pub(crate) async fn answer(
        &self,
        status: u16,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        self.send(&whole(status, headers, body)).await
    }

    /// Answers that a request was not taken.
    pub(crate) async fn refuse(&self, id: &str) -> io::Result<()> {
        let headers = [("x-request-id", id), ("x-not-admitted", "1")];
        self.answer(503, &headers, b"not admitted\n").await
    }

    /// Writes the head of a chunked answer.
    pub(crate) async fn start(&self, status: u16, headers: &[(&str, &str)]) -> io::Result<()> {
        let mut buf = head(status, headers);
        buf.extend_from_slice(b"transfer-encoding: chunked\r\n\r\n");
        self.send(&buf).await
    }

    /// Makes the close of this connection a reset.
    pub(crate) fn reset(&self) {
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    /// Returns once the caller has closed the connection.
    pub(crate) async fn gone(&self) {
        let mut buf = [0; 1];
        if let Ok(1) = self.stream.peek(&mut buf).await {
            pending::<()>().await;
        }
    }
}

/// Returns whether a fault strikes before a request is read.
pub(crate) fn unread(fault: Option<Fault>) -> bool {
    fault == Some(Fault::ResetUnread)
}

/// Returns the bytes of a whole answer.
pub(crate) fn whole(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut buf = head(status, headers);
    buf.extend_from_slice(format!("content-length: {}\r\n\r\n", body.len()).as_bytes());
    buf.extend_from_slice(body);
    buf
}

/// Returns the first line and headers of an answer, without the empty line.
pub(crate) fn head(status: u16, headers: &[(&str, &str)]) -> Vec<u8> {
    let mut buf = format!("HTTP/1.1 {status} Status\r\n");
    for (name, value) in headers {
        buf.push_str(&format!("{name}: {value}\r\n"));
    }
    buf.into_bytes()
}
