//! A connection with the bytes that were read ahead.

use {
    super::{
        Head,
        HeadError, //
    },
    async_std::{
        future::timeout,
        net::TcpStream, //
    },
    futures_lite::{
        future::poll_fn,
        ready,
        AsyncRead,
        AsyncWriteExt, //
    },
    socket2::{
        SockRef,
        TcpKeepalive, //
    },
    std::{
        io,
        net::{
            Shutdown,
            SocketAddr, //
        },
        pin::Pin,
        task::{
            Context,
            Poll, //
        },
        time::Duration, //
    },
    thiserror::Error, //
};

/// Bytes read at once.
const READ: usize = 16 * 1024;
/// An empty buffer that is larger is given back, so that idle connections take no memory.
const KEPT: usize = 1024;
/// When a silent connection is first probed, and how often then.
const PROBE_AFTER: Duration = Duration::from_secs(5);
const PROBE_EVERY: Duration = Duration::from_secs(2);
/// How long the other end may take to read the last answer and to close.
const LINGER: Duration = Duration::from_secs(2);
/// How long what was sent may stay unacknowledged before the connection counts as dead.
const UNACKNOWLEDGED: Duration = Duration::from_secs(4);

/// A connection, and what was read from it ahead.
#[derive(Debug)]
pub(crate) struct Conn {
    stream: TcpStream,
    buf: Vec<u8>,
    at: usize,
}

/// Reads a head that starts some bytes, with its length; none where more are needed.
type Parse = fn(&[u8]) -> Result<Option<(Head, usize)>, HeadError>;

/// Why nothing more could be read.
#[derive(Debug, Error)]
pub(crate) enum ReadError {
    #[error("the connection was closed")]
    Closed,
    #[error("the connection broke: {0}")]
    Broken(io::ErrorKind),
    #[error("{0}")]
    Head(#[from] HeadError),
    #[error("it is longer than {0} bytes")]
    TooLong(usize),
    #[error("the body is malformed: {0}")]
    Body(&'static str),
}

impl Conn {
    /// Takes over a connection.
    ///
    /// The other end may be gone without a word, as when something between the two has lost
    /// track of the connection. It shows as silence for good, so probes are set that end it.
    pub(crate) fn new(stream: TcpStream) -> io::Result<Conn> {
        stream.set_nodelay(true)?;
        let probes = TcpKeepalive::new()
            .with_time(PROBE_AFTER)
            .with_interval(PROBE_EVERY);
        let socket = SockRef::from(&stream);
        socket.set_tcp_keepalive(&probes)?;
        socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
        Ok(Conn {
            stream,
            buf: Vec::new(),
            at: 0,
        })
    }

    /// Opens a connection, which may take so long at the most.
    pub(crate) async fn open(addr: SocketAddr, within: Duration) -> io::Result<Conn> {
        let stream = timeout(within, TcpStream::connect(addr)).await;
        Conn::new(stream.map_err(|_| io::ErrorKind::TimedOut)??)
    }

    /// Returns the bytes that were read and not used yet.
    pub(crate) fn held(&self) -> &[u8] {
        &self.buf[self.at..]
    }

    /// Uses up bytes that were read.
    pub(crate) fn used(&mut self, n: usize) {
        self.at += n;
        if self.at == self.buf.len() {
            self.buf.clear();
            self.at = 0;
            if self.buf.capacity() > KEPT {
                self.buf = Vec::new();
            }
        }
    }

    /// Reads more bytes, and returns how many; 0 at the end.
    ///
    /// Dropped while it waits, it has read nothing.
    pub(crate) async fn fill(&mut self) -> io::Result<usize> {
        poll_fn(|cx| self.poll_fill(cx)).await
    }

    fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        // On the stack of this call, so that a waiting connection holds no such buffer.
        let mut part = [0; READ];
        let n = ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        if self.at > 0 {
            self.buf.drain(..self.at);
            self.at = 0;
        }
        self.buf.extend_from_slice(&part[..n]);
        Poll::Ready(Ok(n))
    }

    /// Reads more bytes; an end is an error.
    pub(crate) async fn more(&mut self) -> Result<(), ReadError> {
        match self.fill().await {
            Ok(0) => Err(ReadError::Closed),
            Ok(_) => Ok(()),
            Err(e) => Err(ReadError::Broken(e.kind())),
        }
    }

    /// Returns bytes that were read, at most so many; reads some where there are none.
    pub(crate) async fn take(&mut self, most: u64) -> Result<Vec<u8>, ReadError> {
        if self.held().is_empty() {
            self.more().await?;
        }
        let most = usize::try_from(most).unwrap_or(usize::MAX);
        let n = self.held().len().min(most);
        let piece = self.held()[..n].to_vec();
        self.used(n);
        Ok(piece)
    }

    /// Reads a head by `parse`, of at most `max` bytes.
    pub(crate) async fn head(&mut self, max: usize, parse: Parse) -> Result<Head, ReadError> {
        loop {
            if let Some((head, len)) = parse(self.held())? {
                if len > max {
                    return Err(ReadError::TooLong(max));
                }
                self.used(len);
                return Ok(head);
            }
            if self.held().len() > max {
                return Err(ReadError::TooLong(max));
            }
            self.more().await?;
        }
    }

    pub(crate) async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Closes the connection behind the last answer, after which nothing is read from it.
    ///
    /// A socket that is closed with bytes unread is reset, and what was written and is still on its
    /// way is lost. So what comes is dropped until the other end closes, for a while.
    pub(crate) async fn close(mut self) {
        if self.stream.shutdown(Shutdown::Write).is_err() {
            return;
        }
        let drained = async {
            while let Ok(1..) = self.fill().await {
                self.used(self.held().len());
            }
        };
        let _ = timeout(LINGER, drained).await;
    }

    /// Returns another handle for writing, so that both ways can go on at once.
    pub(crate) fn writer(&self) -> TcpStream {
        self.stream.clone()
    }

    /// Waits until the other end hangs up; keeps what it sends meanwhile.
    ///
    /// One that sends much before its answer is left alone until the answer is written.
    pub(crate) async fn hung_up(&mut self) {
        while self.held().len() < READ {
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        futures_lite::future::pending::<()>().await;
    }

    /// Tells whether the other end has hung up by now; keeps what it sent before.
    pub(crate) async fn is_gone(&mut self) -> bool {
        futures_lite::future::poll_once(self.hung_up())
            .await
            .is_some()
    }

    /// Tells whether the connection is open with nothing to read.
    ///
    /// A kept connection that has bytes to read holds something that answers no request of
    /// ours; the next request on it would take that for its answer.
    pub(crate) async fn quiet(&mut self) -> bool {
        self.held().is_empty() && futures_lite::future::poll_once(self.fill()).await.is_none()
    }
}

#[cfg(test)]
mod tests;
