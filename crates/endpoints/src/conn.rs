//! One connection to an endpoint.

use {
    crate::{
        body::Reply,
        CallError, //
    },
    async_std::{
        future::timeout,
        io::{
            ReadExt,
            WriteExt, //
        },
        net::TcpStream, //
    },
    futures_lite::future::poll_once,
    std::{
        future::Future,
        io,
        net::SocketAddr,
        time::Instant, //
    },
};

/// Longest head of an answer, in bytes.
const HEAD_MAX_BYTES: usize = 8 * 1024;

/// Maximum number of headers in a head, the same as that of the library.
const HEADERS_MAX: usize = 128;

/// Interim (1xx) responses that are skipped. An endpoint that works on a call may send a few.
const INTERIM_MAX: usize = 16;

/// A connection to an endpoint, without a call in progress.
#[derive(Debug)]
pub(crate) struct Conn {
    pub(crate) addr: SocketAddr,
    pub(crate) stream: TcpStream,
}

/// Awaits `work` until a deadline; none if it passes first.
pub(crate) async fn with_deadline<T>(
    deadline: Instant,
    work: impl Future<Output = T>,
) -> Option<T> {
    let remaining = deadline.saturating_duration_since(Instant::now());
    timeout(remaining, work).await.ok()
}

impl Conn {
    /// Opens a connection before the deadline.
    pub(crate) async fn open(addr: SocketAddr, deadline: Instant) -> Result<Conn, CallError> {
        let stream = with_deadline(deadline, TcpStream::connect(addr))
            .await
            .ok_or(CallError::Connect(io::ErrorKind::TimedOut))?
            .map_err(|e| CallError::Connect(e.kind()))?;
        stream
            .set_nodelay(true)
            .map_err(|e| CallError::Connect(e.kind()))?;
        Ok(Conn { addr, stream })
    }

    /// Returns whether the connection is open with nothing to read.
    ///
    /// An idle connection with bytes to read holds a late answer to an earlier call, which
    /// the next call on the connection would read as its own.
    pub(crate) async fn is_idle(&self) -> bool {
        let mut buf = [0; 1];
        poll_once(self.stream.peek(&mut buf)).await.is_none()
    }

    /// Writes a part of `bytes`, and returns how many.
    pub(crate) async fn write(&mut self, bytes: &[u8]) -> Result<usize, CallError> {
        match self.stream.write(bytes).await {
            Ok(0) => Err(CallError::Broken(io::ErrorKind::WriteZero)),
            Ok(n) => Ok(n),
            Err(e) => Err(CallError::Broken(e.kind())),
        }
    }

    pub(crate) async fn write_all(&mut self, bytes: &[u8]) -> Result<(), CallError> {
        let written = self.stream.write_all(bytes).await;
        written.map_err(|e| CallError::Broken(e.kind()))
    }

    /// Reads the head of the answer and skips interim (1xx) responses.
    pub(crate) async fn read_reply(mut self, bodiless: bool) -> Result<Reply, CallError> {
        let mut buf = Vec::new();
        for _ in 0..=INTERIM_MAX {
            let end = self.read_head(&mut buf).await?;
            let rest = buf.split_off(end);
            if !is_interim(&buf)? {
                return Reply::new(self, buf, rest, bodiless).await;
            }
            buf = rest;
        }
        Err(CallError::Malformed(format!(
            "more than {INTERIM_MAX} interim responses"
        )))
    }

    /// Reads until `buf` holds a complete head, and returns its length.
    async fn read_head(&mut self, buf: &mut Vec<u8>) -> Result<usize, CallError> {
        let mut chunk = [0; 4096];
        loop {
            if let Some(end) = find(buf, b"\r\n\r\n") {
                return Ok(end + 4);
            }
            if buf.len() > HEAD_MAX_BYTES {
                return Err(CallError::Malformed("its head is too long".to_owned()));
            }
            let n = match self.stream.read(&mut chunk).await {
                Ok(0) => return Err(CallError::Broken(io::ErrorKind::UnexpectedEof)),
                Ok(n) => n,
                Err(e) => return Err(CallError::Broken(e.kind())),
            };
            buf.extend_from_slice(&chunk[..n]);
        }
    }
}

/// Returns whether a head is that of an interim (1xx) response.
fn is_interim(head: &[u8]) -> Result<bool, CallError> {
    let malformed = |cause: String| Err(CallError::Malformed(cause));
    let mut slots = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut parsed = httparse::Response::new(&mut slots);
    match parsed.parse(head) {
        Ok(httparse::Status::Complete(_)) => {}
        Ok(httparse::Status::Partial) => return malformed("its head is incomplete".to_owned()),
        Err(e) => return malformed(e.to_string()),
    }
    match parsed.code {
        Some(101) => malformed("it switches to another protocol".to_owned()),
        code => Ok(code.is_some_and(|code| (100..200).contains(&code))),
    }
}

fn find(buf: &[u8], pattern: &[u8]) -> Option<usize> {
    buf.windows(pattern.len()).position(|w| w == pattern)
}
