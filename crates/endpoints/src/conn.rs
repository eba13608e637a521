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
        loop {
            let end = self.read_head(&mut buf).await?;
            let rest = buf.split_off(end);
            if buf.starts_with(b"HTTP/1.1 1") {
                buf = rest;
                continue;
            }
            return Reply::new(self, buf, rest, bodiless).await;
        }
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

fn find(buf: &[u8], pattern: &[u8]) -> Option<usize> {
    buf.windows(pattern.len()).position(|w| w == pattern)
}
