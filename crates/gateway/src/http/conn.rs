//! A connection with a read buffer.

use {
    super::{
        Head,
        HeadError,
        Socket,
        Writer, //
    },
    async_io::Async,
    async_std::future::timeout,
    futures_lite::{
        future::poll_fn,
        ready, //
    },
    resources::{
        Account,
        Evicted,
        Phase, //
    },
    socket2::{
        SockRef,
        TcpKeepalive, //
    },
    std::{
        io,
        mem,
        net::{
            Shutdown,
            SocketAddr,
            TcpStream, //
        },
        task::{
            Context,
            Poll, //
        },
        time::Duration, //
    },
    thiserror::Error, //
};

/// Bytes per read.
const READ_SIZE: usize = 16 * 1024;
/// Bytes per read of a client's connection while memory is short.
const READ_SIZE_WHEN_FULL: usize = 2 * 1024;
/// An empty buffer with a larger capacity is freed, so that idle connections take no memory.
const BUFFER_KEEP_BYTES: usize = 1024;
/// Idle time before the first keepalive probe, and the interval between probes.
const KEEPALIVE_TIME: Duration = Duration::from_secs(5);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// How long the peer may take to read the last answer and to close.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
/// Bytes that are discarded meanwhile.
const LINGER_BYTES: usize = 8 << 20;
/// Reads in a row after which a connection that always has data lets other tasks run.
const READS_IN_A_ROW: u32 = 16;
/// Bytes that are read ahead while a request is being served. More stay unread.
const READ_AHEAD: usize = 4 * 1024;
/// Interim responses (1xx) that are skipped. A server that works on a request may send a few.
const INTERIM_MAX: usize = 16;
/// How long sent data may stay unacknowledged before the connection is considered dead.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(4);

/// A connection, and bytes read from it that were not consumed yet.
#[derive(Debug)]
pub(crate) struct Conn {
    socket: Socket,
    buf: Vec<u8>,
    at: usize,
    /// What a client's connection holds.
    account: Option<Account>,
    /// Bytes that were read and not recorded in the account yet.
    received: usize,
    /// Reads since the socket had nothing to read.
    reads: u32,
}

/// Parses a head at the start of a buffer, and returns it with its length; none if it is
/// incomplete.
type Parse = fn(&[u8]) -> Result<Option<(Head, usize)>, HeadError>;

/// Why reading failed.
#[derive(Debug, Error)]
pub(crate) enum ReadError {
    #[error("the connection was closed")]
    Closed,
    #[error("the connection broke: {0}")]
    Broken(io::ErrorKind),
    #[error("{0}")]
    Head(#[from] HeadError),
    #[error("more than {INTERIM_MAX} interim answers")]
    Interim,
    #[error("the message is longer than {0} bytes")]
    TooLong(usize),
    #[error("the body is malformed: {0}")]
    Body(&'static str),
    #[error("{0}")]
    Evicted(#[from] Evicted),
}

impl ReadError {
    /// Returns the label for metrics.
    pub(crate) fn label(&self) -> &'static str {
        match self {
            ReadError::Closed => "closed",
            ReadError::Broken(_) => "broken",
            ReadError::Head(_) => "head",
            ReadError::Interim => "interim",
            ReadError::TooLong(_) => "too-long",
            ReadError::Body(_) => "body",
            ReadError::Evicted(_) => "evicted",
        }
    }
}

impl From<io::Error> for ReadError {
    fn from(e: io::Error) -> ReadError {
        match Evicted::of(&e) {
            Some(evicted) => ReadError::Evicted(evicted),
            None => ReadError::Broken(e.kind()),
        }
    }
}

impl Conn {
    /// Wraps a connection, and sets its socket options.
    ///
    /// The peer may disappear without closing, for example if a middlebox drops the connection's
    /// state. The connection would then be silent forever, so keepalive probes are enabled to end
    /// it.
    pub(crate) fn new(stream: Async<TcpStream>) -> io::Result<Conn> {
        stream.get_ref().set_nodelay(true)?;
        let probes = TcpKeepalive::new()
            .with_time(KEEPALIVE_TIME)
            .with_interval(KEEPALIVE_INTERVAL);
        let socket = SockRef::from(stream.get_ref());
        socket.set_tcp_keepalive(&probes)?;
        socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT))?;
        Ok(Conn {
            socket: Socket::new(stream),
            buf: Vec::new(),
            at: 0,
            account: None,
            received: 0,
            reads: 0,
        })
    }

    /// Wraps a client's connection.
    pub(crate) fn accepted(stream: Async<TcpStream>, account: Account) -> io::Result<Conn> {
        let mut conn = Conn::new(stream)?;
        conn.account = Some(account);
        Ok(conn)
    }

    /// Opens a connection within a time limit.
    pub(crate) async fn open(addr: SocketAddr, limit: Duration) -> io::Result<Conn> {
        let stream = timeout(limit, Async::<TcpStream>::connect(addr)).await;
        Conn::new(stream.map_err(|_| io::ErrorKind::TimedOut)??)
    }

    /// Returns the bytes that were read but not consumed yet.
    pub(crate) fn buffered(&self) -> &[u8] {
        &self.buf[self.at..]
    }

    /// Removes consumed bytes from the buffer.
    pub(crate) fn consume(&mut self, n: usize) {
        self.at += n;
        if self.at == self.buf.len() {
            self.buf.clear();
            self.at = 0;
            if self.buf.capacity() > BUFFER_KEEP_BYTES {
                self.buf = Vec::new();
            }
        }
    }

    /// Reads more bytes, and returns how many; 0 at the end of the stream.
    ///
    /// Cancel safe: if the future is dropped, no bytes are lost.
    pub(crate) async fn fill(&mut self) -> io::Result<usize> {
        poll_fn(|cx| self.poll_fill(cx)).await
    }

    fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        // On the stack, so that a waiting connection doesn't hold a buffer.
        let mut part = [0; READ_SIZE];
        let n = ready!(self.poll_read(cx, &mut part))?;
        if self.at > 0 {
            self.buf.drain(..self.at);
            self.at = 0;
        }
        self.buf.extend_from_slice(&part[..n]);
        Poll::Ready(Ok(n))
    }

    /// Reads when a client's connection has room for more.
    fn poll_read(&mut self, cx: &mut Context<'_>, part: &mut [u8]) -> Poll<io::Result<usize>> {
        if self.reads >= READS_IN_A_ROW {
            self.reads = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let read = match self.poll_room(cx) {
            Poll::Ready(Ok(most)) => {
                let most = most.min(part.len());
                self.socket.poll_read(cx, &mut part[..most])
            }
            Poll::Ready(Err(e)) => return Poll::Ready(Err(e)),
            Poll::Pending => Poll::Pending,
        };
        let Poll::Ready(read) = read else {
            self.reads = 0;
            return Poll::Pending;
        };
        self.reads += 1;
        self.received += *read.as_ref().unwrap_or(&0);
        Poll::Ready(read)
    }

    /// Waits until a client's connection may hold more. Returns how many bytes to read at most.
    fn poll_room(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let Some(account) = &self.account else {
            return Poll::Ready(Ok(READ_SIZE));
        };
        let received = mem::take(&mut self.received);
        account.update(cx, self.buf.capacity(), received)?;
        if !account.limiter().is_full() {
            return Poll::Ready(Ok(READ_SIZE));
        }
        // Nothing is evicted for a connection that has nothing to read.
        self.socket.expect_nothing();
        ready!(self.socket.poll_ready(cx))?;
        ready!(account.poll_room(cx))?;
        Poll::Ready(Ok(READ_SIZE_WHEN_FULL))
    }

    /// Reads more bytes; the end of the stream is an error.
    pub(crate) async fn read_more(&mut self) -> Result<(), ReadError> {
        match self.fill().await {
            Ok(0) => Err(ReadError::Closed),
            Ok(_) => Ok(()),
            Err(e) => Err(e.into()),
        }
    }

    /// Reads until some bytes are buffered.
    pub(crate) async fn read_some(&mut self) -> Result<(), ReadError> {
        match self.buffered().is_empty() {
            true => self.read_more().await,
            false => Ok(()),
        }
    }

    /// Returns how many bytes are buffered, at most `max`.
    pub(crate) fn buffered_up_to(&self, max: u64) -> usize {
        let max = usize::try_from(max).unwrap_or(usize::MAX);
        self.buffered().len().min(max)
    }

    /// Takes the first `n` buffered bytes.
    pub(crate) fn take_buffered(&mut self, n: usize) -> Vec<u8> {
        let bytes = self.buffered()[..n].to_vec();
        self.consume(n);
        bytes
    }

    /// Reads a head with `parse`, of at most `max` bytes.
    pub(crate) async fn read_head(&mut self, max: usize, parse: Parse) -> Result<Head, ReadError> {
        loop {
            if let Some((head, len)) = parse(self.buffered())? {
                if len > max {
                    return Err(ReadError::TooLong(max));
                }
                self.consume(len);
                return Ok(head);
            }
            if self.buffered().len() > max {
                return Err(ReadError::TooLong(max));
            }
            self.read_more().await?;
        }
    }

    /// Reads the head of a response of at most `max` bytes, and skips interim ones. `on_head` gets all
    /// of them.
    pub(crate) async fn read_response_head(
        &mut self,
        max: usize,
        on_head: impl Fn(&Head),
    ) -> Result<Head, ReadError> {
        for _ in 0..=INTERIM_MAX {
            let head = self.read_head(max, Head::response).await?;
            on_head(&head);
            if !head.is_interim() {
                return Ok(head);
            }
        }
        Err(ReadError::Interim)
    }

    pub(crate) async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.socket.writer().write_all(bytes).await
    }

    /// Closes the connection after the last answer.
    ///
    /// Closing a socket with unread bytes resets the connection, and sent bytes that are still in
    /// transit are lost. So incoming bytes are discarded until the peer closes, up to a time limit.
    pub(crate) async fn close(mut self) {
        if self.socket.get_ref().shutdown(Shutdown::Write).is_err() {
            return;
        }
        self.clear();
        if let Some(account) = &self.account {
            account.set_phase(Phase::Closing);
        }
        let discard = async {
            let mut left = LINGER_BYTES;
            while let Ok(n @ 1..) = self.discard().await {
                left = left.saturating_sub(n);
                if left == 0 {
                    break;
                }
            }
        };
        let _ = timeout(LINGER_TIMEOUT, discard).await;
    }

    /// Reads bytes that are not needed, and returns how many; 0 at the end of the stream.
    async fn discard(&mut self) -> io::Result<usize> {
        poll_fn(|cx| {
            let mut part = [0; READ_SIZE];
            self.poll_read(cx, &mut part)
        })
        .await
    }

    /// Forgets the buffered bytes.
    pub(crate) fn clear(&mut self) {
        self.buf = Vec::new();
        self.at = 0;
    }

    /// Returns a second handle for writing, so that reading and writing can overlap.
    pub(crate) fn writer(&self) -> Writer {
        self.socket.writer()
    }

    /// Waits until the peer closes the connection; bytes received meanwhile stay buffered.
    ///
    /// If the buffer fills up first, the future never completes, and closing is noticed only when
    /// the answer is written.
    pub(crate) async fn wait_closed(&mut self) {
        while self.buffered().len() < READ_AHEAD {
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        futures_lite::future::pending::<()>().await;
    }

    /// Makes the next read ask the operating system at once.
    fn recheck(&mut self) {
        self.socket.recheck();
        self.reads = 0;
    }

    /// Returns whether the peer has closed the connection; bytes received before stay buffered.
    pub(crate) async fn is_closed(&mut self) -> bool {
        self.recheck();
        futures_lite::future::poll_once(self.wait_closed())
            .await
            .is_some()
    }

    /// Returns whether the connection is open with nothing to read.
    ///
    /// Bytes on an idle connection belong to no pending request; the next request would take them
    /// for its answer.
    pub(crate) async fn is_idle(&mut self) -> bool {
        self.recheck();
        self.buffered().is_empty() && futures_lite::future::poll_once(self.fill()).await.is_none()
    }
}

#[cfg(test)]
mod tests;
