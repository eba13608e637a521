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
const HEAD_MAX: usize = 8 * 1024;

/// One connection to an endpoint, with no call under way.
#[derive(Debug)]
pub(crate) struct Conn {
    pub(crate) addr: SocketAddr,
    pub(crate) stream: TcpStream,
}

/// Waits for something until a moment at most.
pub(crate) async fn until<T>(at: Instant, work: impl Future<Output = T>) -> Option<T> {
    let left = at.saturating_duration_since(Instant::now());
    timeout(left, work).await.ok()
}

impl Conn {
    /// Opens a connection.
    pub(crate) async fn open(addr: SocketAddr, at: Instant) -> Result<Conn, CallError> {
        let stream = until(at, TcpStream::connect(addr))
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
    /// A kept connection that has bytes to read holds a late answer to an earlier call.
    /// Taken again, the next call would read it as its own.
    pub(crate) async fn quiet(&self) -> bool {
        let mut buf = [0; 1];
        poll_once(self.stream.peek(&mut buf)).await.is_none()
    }

    /// Writes some bytes, and returns how many.
    pub(crate) async fn write(&mut self, bytes: &[u8]) -> Result<usize, CallError> {
        match self.stream.write(bytes).await {
            Ok(0) => Err(CallError::Broken(io::ErrorKind::WriteZero)),
            Ok(n) => Ok(n),
            Err(e) => Err(CallError::Broken(e.kind())),
        }
    }

    /// Writes all bytes.
    pub(crate) async fn write_all(&mut self, bytes: &[u8]) -> Result<(), CallError> {
        let written = self.stream.write_all(bytes).await;
        written.map_err(|e| CallError::Broken(e.kind()))
    }

    /// Reads the head of the answer, past any interim ones.
    pub(crate) async fn reply(mut self, bodiless: bool) -> Result<Reply, CallError> {
        let mut buf = Vec::new();
        loop {
            let end = self.head(&mut buf).await?;
            let rest = buf.split_off(end);
            if buf.starts_with(b"HTTP/1.1 1") {
                buf = rest;
                continue;
            }
            return Reply::new(self, buf, rest, bodiless).await;
        }
    }

    /// Reads until `buf` holds a whole head, and returns its length.
    async fn head(&mut self, buf: &mut Vec<u8>) -> Result<usize, CallError> {
        let mut part = [0; 4096];
        loop {
            if let Some(end) = find(buf, b"\r\n\r\n") {
                return Ok(end + 4);
            }
            if buf.len() > HEAD_MAX {
                return Err(CallError::Malformed("its head is too long".to_owned()));
            }
            let n = match self.stream.read(&mut part).await {
                Ok(0) => return Err(CallError::Broken(io::ErrorKind::UnexpectedEof)),
                Ok(n) => n,
                Err(e) => return Err(CallError::Broken(e.kind())),
            };
            buf.extend_from_slice(&part[..n]);
        }
    }
}

fn find(buf: &[u8], what: &[u8]) -> Option<usize> {
    buf.windows(what.len()).position(|w| w == what)
}
