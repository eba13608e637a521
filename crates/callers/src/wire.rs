//! A caller's connection: its socket and the bytes read from it but not used yet.

use {
    crate::{
        DisconnectSignal,
        Response, //
    },
    async_h1::server::Encoder,
    async_std::net::TcpStream,
    futures_lite::{
        io::{
            AsyncRead,
            AsyncReadExt,
            AsyncWrite,
            AsyncWriteExt, //
        },
        ready, //
    },
    http_types::Method,
    std::{
        convert::Infallible,
        future::{
            pending,
            poll_fn, //
        },
        io,
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
/// Most bytes kept of requests that were sent before the answer to the one before.
const AHEAD_BYTES: usize = 16 * 1024;
/// How long, and how many bytes, are read off after a refusal before the socket is closed.
const LINGER: Duration = Duration::from_secs(1);
const LINGER_BYTES: usize = 1024 * 1024;

/// The socket and the bytes read ahead.
///
/// The HTTP library makes a new buffered reader for each request and drops it with what it
/// holds. A caller that sends its next request early would lose it, and the rest would be
/// taken for a head. So the library reads through here, and gets the bytes of one request only.
#[derive(Debug, Clone)]
pub(crate) struct Wire {
    socket: TcpStream,
    ahead: Arc<Mutex<Ahead>>,
}

#[derive(Debug, Default)]
struct Ahead {
    bytes: Vec<u8>,
    /// How many bytes the library may still read.
    allowed: u64,
}

impl Wire {
    pub(crate) fn new(socket: TcpStream) -> Wire {
        Wire {
            socket,
            ahead: Arc::default(),
        }
    }

    fn ahead(&self) -> MutexGuard<'_, Ahead> {
        self.ahead.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns how many bytes are read ahead.
    pub(crate) fn held(&self) -> usize {
        self.ahead().bytes.len()
    }

    /// Lets the library read `n` bytes more, and no byte beyond.
    pub(crate) fn allow(&self, n: u64) {
        self.ahead().allowed = n;
    }

    /// Returns the length of the head, once it is here whole.
    pub(crate) fn head_len(&self) -> Option<usize> {
        let ahead = self.ahead();
        let end = ahead.bytes.windows(4).position(|w| w == b"\r\n\r\n")?;
        Some(end + 4)
    }

    /// Looks at the first bytes read ahead.
    pub(crate) fn look<T>(&self, len: usize, f: impl FnOnce(&[u8]) -> T) -> T {
        f(&self.ahead().bytes[..len])
    }

    /// Reads some bytes ahead. Returns how many, 0 at the end.
    pub(crate) async fn fill(&self) -> io::Result<usize> {
        // The buffer lives only while bytes are here, so that an idle connection holds none.
        poll_fn(|cx| {
            let mut buf = [0; READ_BYTES];
            let n = ready!(Pin::new(&mut &self.socket).poll_read(cx, &mut buf))?;
            self.ahead().bytes.extend_from_slice(&buf[..n]);
            Poll::Ready(Ok(n))
        })
        .await
    }

    /// Fires the signal when the caller hangs up. Never ends.
    pub(crate) async fn watch(&self, disconnect: &DisconnectSignal) -> Infallible {
        // Writing alone finds a hang-up only at the first answer bytes, which may be minutes
        // later. So the socket is read meanwhile; a caller may send its next request early,
        // and that is kept, up to a bound beyond which nothing is read or noticed.
        while self.held() < AHEAD_BYTES {
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

    /// Writes bytes, or fails where the caller does not read them in time.
    pub(crate) async fn write(&self, bytes: &[u8], stall: Duration) -> io::Result<()> {
        async_std::io::timeout(stall, (&self.socket).write_all(bytes)).await
    }

    /// Writes an answer to whatever the caller may ask, and closes.
    pub(crate) async fn turn_away(&self, response: Response) {
        let mut http = response.into_http(None);
        http.insert_header("connection", "close");
        let mut bytes = Vec::new();
        let encoded = Encoder::new(http, Method::Get)
            .read_to_end(&mut bytes)
            .await;
        if encoded.is_ok() && self.write(&bytes, LINGER).await.is_ok() {
            self.linger().await;
        }
    }

    /// Closes the connection so that the last answer arrives.
    pub(crate) async fn linger(&self) {
        // Closing a socket with unread bytes resets it, and the caller may lose the refusal
        // it was sent. So what the caller still sends is read off, within bounds.
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
        let _ = async_std::io::timeout(LINGER, drain).await;
    }
}

impl AsyncRead for Wire {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let mut ahead = self.ahead();
        let most = ahead.allowed.min(buf.len() as u64) as usize;
        let n = if most == 0 {
            0
        } else if ahead.bytes.is_empty() {
            ready!(Pin::new(&mut &self.socket).poll_read(cx, &mut buf[..most]))?
        } else {
            let n = most.min(ahead.bytes.len());
            buf[..n].copy_from_slice(&ahead.bytes[..n]);
            ahead.bytes.drain(..n);
            n
        };
        ahead.allowed -= n as u64;
        // The library's decoder of chunks loses its wake-up where the line end behind the last
        // chunk comes in pieces: it reads one and waits without having asked for the next. The
        // request would hang with its whole body here. This wake-up makes it ask again.
        cx.waker().wake_by_ref();
        Poll::Ready(Ok(n))
    }
}

impl AsyncWrite for Wire {
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
