//! A caller's socket with a read-ahead buffer.

use {
    crate::{
        DisconnectSignal,
        Response, //
    },
    async_h1::server::Encoder,
    async_std::net::TcpStream,
    futures_lite::{
        future::poll_once,
        io::{
            AsyncRead,
            AsyncReadExt,
            AsyncWrite,
            AsyncWriteExt, //
        },
        ready, //
    },
    http_types::Method,
    resources::Account,
    std::{
        convert::Infallible,
        future::{
            pending,
            poll_fn, //
        },
        io,
        mem,
        net::Shutdown,
        pin::Pin,
        sync::{
            Arc,
            Mutex,
            MutexGuard,
            PoisonError, //
        },
        task::{
            Context,
            Poll, //
        },
        time::Duration, //
    },
};

const READ_BYTES: usize = 8 * 1024;
/// Limit on buffered bytes of pipelined requests.
const READ_AHEAD_BYTES: usize = 16 * 1024;
/// Limits on the time and the bytes spent draining a socket after a rejection, before closing it.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
const LINGER_BYTES: usize = 1024 * 1024;

/// Bytes of a request that are read first while memory is short.
const FIRST_READ_BYTES: usize = 512;

/// A socket and the bytes read ahead of the HTTP library.
///
/// The HTTP library creates a buffered reader for each request and drops it together with its
/// buffer. That would lose the start of a pipelined request, and the remainder would be parsed
/// as a head. The library therefore reads through this type, which gives it the bytes of one
/// request only.
#[derive(Debug, Clone)]
pub(crate) struct CallerSocket {
    socket: TcpStream,
    ahead: Arc<Mutex<ReadAhead>>,
    /// What the connection holds, unless it is rejected at once.
    account: Option<Account>,
}

#[derive(Debug, Default)]
struct ReadAhead {
    bytes: Vec<u8>,
    /// Number of bytes that the library may still read.
    read_limit: u64,
    /// Number of bytes that were read and not recorded in the account yet.
    received: usize,
}

impl CallerSocket {
    pub(crate) fn new(socket: TcpStream) -> CallerSocket {
        CallerSocket {
            socket,
            ahead: Arc::default(),
            account: None,
        }
    }

    /// Wraps a connection that was admitted.
    pub(crate) fn accepted(socket: TcpStream, account: Account) -> CallerSocket {
        CallerSocket {
            account: Some(account),
            ..CallerSocket::new(socket)
        }
    }

    fn ahead(&self) -> MutexGuard<'_, ReadAhead> {
        self.ahead.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of bytes read ahead.
    pub(crate) fn buffered_len(&self) -> usize {
        self.ahead().bytes.len()
    }

    /// Forgets the bytes read ahead.
    pub(crate) fn forget_buffered(&self) {
        self.ahead().bytes = Vec::new();
    }

    /// Allows the library to read `n` more bytes.
    pub(crate) fn set_read_limit(&self, n: u64) {
        self.ahead().read_limit = n;
    }

    /// Returns the length of the head if it has arrived completely.
    pub(crate) fn head_len(&self) -> Option<usize> {
        let ahead = self.ahead();
        let end = ahead.bytes.windows(4).position(|w| w == b"\r\n\r\n")?;
        Some(end + 4)
    }

    /// Passes the first `len` bytes read ahead to `f` without consuming them.
    pub(crate) fn peek_buffered<T>(&self, len: usize, f: impl FnOnce(&[u8]) -> T) -> T {
        f(&self.ahead().bytes[..len])
    }

    /// Reads bytes into the buffer. Returns their number, 0 at the end of the stream.
    pub(crate) async fn fill(&self) -> io::Result<usize> {
        // The buffer is on the stack of one poll, so an idle connection allocates none.
        poll_fn(|cx| {
            let mut buf = [0; READ_BYTES];
            let mut ahead = self.ahead();
            // Whether a request has begun to arrive shows only by reading.
            let n = match ahead.bytes.is_empty() && self.is_full() {
                true => {
                    self.update_account(cx, &mut ahead)?;
                    let first = &mut buf[..FIRST_READ_BYTES];
                    ready!(self.poll_received(cx, &mut ahead, first))?
                }
                false => ready!(self.poll_socket(cx, &mut ahead, &mut buf))?,
            };
            ahead.bytes.extend_from_slice(&buf[..n]);
            Poll::Ready(Ok(n))
        })
        .await
    }

    /// Reads a byte, also if the connection is evicted. Returns whether there was one already.
    pub(crate) async fn has_received(&self) -> bool {
        let (mut socket, mut byte) = (&self.socket, [0; 1]);
        matches!(poll_once(socket.read(&mut byte)).await, Some(Ok(1)))
    }

    fn is_full(&self) -> bool {
        let account = self.account.as_ref();
        account.is_some_and(|account| account.limiter().is_full())
    }

    /// Reads from the socket when the connection may hold more.
    fn poll_socket(
        &self,
        cx: &mut Context<'_>,
        ahead: &mut ReadAhead,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        self.update_account(cx, ahead)?;
        if let Some(account) = self.account.as_ref().filter(|_| self.is_full()) {
            ready!(account.poll_room(cx))?;
        }
        self.poll_received(cx, ahead, buf)
    }

    /// Records what was read. Fails if the connection is evicted, and lets its task be woken for that.
    fn update_account(&self, cx: &mut Context<'_>, ahead: &mut ReadAhead) -> io::Result<()> {
        if let Some(account) = &self.account {
            let received = mem::take(&mut ahead.received);
            account.update(cx, ahead.bytes.capacity(), received)?;
        }
        Ok(())
    }

    fn poll_received(
        &self,
        cx: &mut Context<'_>,
        ahead: &mut ReadAhead,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let n = ready!(Pin::new(&mut &self.socket).poll_read(cx, buf))?;
        ahead.received += n;
        Poll::Ready(Ok(n))
    }

    /// Fires the signal when the caller disconnects. Never returns.
    pub(crate) async fn watch_disconnect(&self, disconnect: &DisconnectSignal) -> Infallible {
        // A write detects a disconnect only at the first response bytes, which may be minutes
        // later, so the socket is read meanwhile. Pipelined requests are buffered up to a limit;
        // beyond it nothing is read and a disconnect is not detected.
        while self.buffered_len() < READ_AHEAD_BYTES {
            match self.fill().await {
                Ok(0) | Err(_) => {
                    disconnect.fire();
                    break;
                }
                Ok(_) => {}
            }
        }
        pending().await
    }

    /// Writes bytes; fails if the caller does not read them within `stall_timeout`.
    pub(crate) async fn write(&self, bytes: &[u8], stall_timeout: Duration) -> io::Result<()> {
        async_std::io::timeout(stall_timeout, (&self.socket).write_all(bytes)).await
    }

    /// Writes a response without reading a request, and closes the connection.
    pub(crate) async fn reject(&self, response: Response) {
        let mut http = response.into_http(None);
        http.insert_header("connection", "close");
        let mut bytes = Vec::new();
        let encoded = Encoder::new(http, Method::Get)
            .read_to_end(&mut bytes)
            .await;
        if encoded.is_ok() && self.write(&bytes, LINGER_TIMEOUT).await.is_ok() {
            self.linger().await;
        }
    }

    /// Closes the connection in a way that lets the last response arrive.
    pub(crate) async fn linger(&self) {
        // Closing a socket with unread bytes resets the connection, and the caller may lose the
        // response. So incoming bytes are drained first, within limits.
        let _ = self.socket.shutdown(Shutdown::Write);
        let drain = async {
            let mut left = LINGER_BYTES;
            while let Ok(n @ 1..) = self.fill().await {
                self.ahead().bytes.clear();
                match left.checked_sub(n) {
                    Some(less) => left = less,
                    None => break,
                }
            }
            Ok(())
        };
        let _ = async_std::io::timeout(LINGER_TIMEOUT, drain).await;
    }
}

impl AsyncRead for CallerSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let mut ahead = self.ahead();
        let limit = ahead.read_limit.min(buf.len() as u64) as usize;
        let n = if limit == 0 {
            0
        } else if ahead.bytes.is_empty() {
            ready!(self.poll_socket(cx, &mut ahead, &mut buf[..limit]))?
        } else {
            let n = limit.min(ahead.bytes.len());
            buf[..n].copy_from_slice(&ahead.bytes[..n]);
            ahead.bytes.drain(..n);
            n
        };
        ahead.read_limit -= n as u64;
        // The library's chunk decoder returns Pending without registering a waker if the line
        // end after the last chunk arrives in several reads. The request would hang although
        // its body has arrived. This wake-up polls the decoder again.
        cx.waker().wake_by_ref();
        Poll::Ready(Ok(n))
    }
}

impl AsyncWrite for CallerSocket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut &self.socket).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &self.socket).poll_flush(cx)
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &self.socket).poll_close(cx)
    }
}
