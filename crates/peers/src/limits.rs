//! Limits on the connections of peers.

use {
    futures_lite::{
        io::{
            AsyncBufRead,
            AsyncRead,
            AsyncWrite,
            Cursor, //
        },
        ready,
    },
    http_types::Body,
    resources::{
        unread_per_connection,
        Account,
        Bytes,
        Charge,
        Segments, //
    },
    std::{
        future::poll_fn,
        io,
        pin::Pin,
        task::{
            Context,
            Poll, //
        },
    },
};

const READ_BYTES: usize = 8 * 1024;
/// Bytes that all connections may send before they are read are the memory for them divided by this.
const UNREAD_DIVISOR: u64 = 2;

/// Limits on what connections of peers may take.
#[derive(Debug, Clone, Copy)]
pub struct PeerLimits {
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Memory that frames and questions of all connections may take, and answers until they are read.
    pub memory: Bytes,
}

impl PeerLimits {
    /// Returns about how much each connection may send before it is read, for
    /// [`listen`](resources::listen).
    pub fn unread_per_connection(&self) -> Bytes {
        unread_per_connection(Bytes(self.memory.0 / UNREAD_DIVISOR), self.max_connections)
    }
}

impl Default for PeerLimits {
    fn default() -> PeerLimits {
        PeerLimits {
            max_connections: 1_024,
            memory: Bytes::mib(32),
        }
    }
}

/// A stream whose reads and writes fail once its connection is evicted.
#[derive(Debug, Clone)]
pub(crate) struct LimitedStream<S> {
    inner: S,
    account: Account,
}

impl<S> LimitedStream<S> {
    pub(crate) fn new(inner: S, account: Account) -> LimitedStream<S> {
        LimitedStream { inner, account }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for LimitedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        self.account.update(cx, 0, 0)?;
        ready!(self.account.poll_room(cx))?;
        let n = ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        self.account.update(cx, 0, n)?;
        Poll::Ready(Ok(n))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for LimitedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.account.update(cx, 0, 0)?;
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}

/// Reads to the end, and counts the bytes toward the connection's account. `expected` is their
/// number, 0 if that is not known.
pub(crate) async fn read_counted<R>(
    r: &mut R,
    expected: usize,
    account: &Account,
) -> io::Result<Segments>
where
    R: AsyncRead + Unpin,
{
    let mut bytes = Segments::new(account.charge(), expected);
    loop {
        // The buffer is on the stack of one poll, so a stream that waits holds none.
        let read = poll_fn(|cx| {
            let mut buf = [0; READ_BYTES];
            let n = ready!(Pin::new(&mut *r).poll_read(cx, &mut buf))?;
            bytes.push(&buf[..n]);
            Poll::Ready(io::Result::Ok(n))
        });
        if read.await? == 0 {
            return Ok(bytes);
        }
    }
}

/// Returns a body that counts toward the connection's account until it was sent.
pub(crate) fn counted_body(bytes: Vec<u8>, account: &Account) -> Body {
    let len = bytes.len();
    let mut charge = account.charge();
    charge.resize(len);
    let body = CountedBody {
        bytes: Cursor::new(bytes),
        _charge: charge,
    };
    Body::from_reader(body, Some(len))
}

struct CountedBody {
    bytes: Cursor<Vec<u8>>,
    _charge: Charge,
}

impl AsyncRead for CountedBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.bytes).poll_read(cx, buf)
    }
}

impl AsyncBufRead for CountedBody {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        Pin::new(&mut self.get_mut().bytes).poll_fill_buf(cx)
    }

    fn consume(mut self: Pin<&mut Self>, n: usize) {
        Pin::new(&mut self.bytes).consume(n);
    }
}
