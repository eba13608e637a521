//! A TCP connection that is read only when there is something to read.

use {
    async_io::Async,
    futures_lite::{
        future::poll_fn,
        ready, //
    },
    std::{
        io::{
            self,
            IoSlice,
            Read,
            Write, //
        },
        net::TcpStream,
        sync::{
            Arc,
            OnceLock, //
        },
        task::{
            Context,
            Poll, //
        },
    },
};

/// Slices that are written at once.
const SLICES_PER_WRITE: usize = 64;

/// A connection, as both of its sides use it.
#[derive(Debug)]
struct SharedStream {
    stream: Async<TcpStream>,
    /// How the connection broke, if the operating system reported that to a write.
    broken: OnceLock<io::ErrorKind>,
}

/// The reading side of a connection.
///
/// A read that finds nothing costs as much as one that finds data. So after a read that emptied the
/// socket, the next one waits until the operating system reports more.
#[derive(Debug)]
pub(crate) struct Socket {
    shared: Arc<SharedStream>,
    /// The last read may have left data behind.
    may_have_more: bool,
}

/// The writing side of a connection, usable beside the reading side.
#[derive(Debug, Clone)]
pub(crate) struct Writer(Arc<SharedStream>);

impl Socket {
    pub(crate) fn new(stream: Async<TcpStream>) -> Socket {
        Socket {
            shared: Arc::new(SharedStream {
                stream,
                broken: OnceLock::new(),
            }),
            may_have_more: true,
        }
    }

    pub(crate) fn get_ref(&self) -> &TcpStream {
        self.shared.stream.get_ref()
    }

    pub(crate) fn writer(&self) -> Writer {
        Writer(self.shared.clone())
    }

    /// Makes the next read ask the operating system, whatever it has reported so far.
    pub(crate) fn recheck(&mut self) {
        self.may_have_more = true;
    }

    /// Waits until the operating system reports something to read, unless the last read may have left
    /// data behind.
    pub(crate) fn poll_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.may_have_more {
            true => Poll::Ready(Ok(())),
            false => self.shared.stream.poll_readable(cx),
        }
    }

    /// Makes the next read wait for a report of the operating system.
    pub(crate) fn expect_nothing(&mut self) {
        self.may_have_more = false;
    }

    /// Reads into a buffer; 0 bytes mean that the peer has ended the stream.
    ///
    /// The operating system reports once that a connection broke. If a write got the report, a read
    /// finds an end like that of a complete stream.
    pub(crate) fn poll_read(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.poll_ready(cx))?;
            match self.get_ref().read(buf) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.may_have_more = false,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Ok(0) if !buf.is_empty() => {
                    return Poll::Ready(match self.shared.broken.get() {
                        Some(kind) => Err((*kind).into()),
                        None => Ok(0),
                    });
                }
                Ok(n) => {
                    self.may_have_more = n == buf.len();
                    return Poll::Ready(Ok(n));
                }
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl Writer {
    /// Writes all bytes.
    pub(crate) async fn write_all(&self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            let n = self.write(bytes).await?;
            bytes = &bytes[n..];
        }
        Ok(())
    }

    /// Writes some bytes, and returns how many.
    ///
    /// Cancel safe: if the future is dropped, nothing was written.
    pub(crate) async fn write(&self, bytes: &[u8]) -> io::Result<usize> {
        poll_fn(|cx| self.poll_write_with(cx, |mut stream| stream.write(bytes))).await
    }

    /// Writes some bytes of several slices, as [`write`](Self::write) does.
    pub(crate) async fn write_vectored(&self, slices: &[IoSlice<'_>]) -> io::Result<usize> {
        let slices = &slices[..slices.len().min(SLICES_PER_WRITE)];
        poll_fn(|cx| self.poll_write_with(cx, |mut stream| stream.write_vectored(slices))).await
    }

    /// Writes all bytes of several slices.
    pub(crate) async fn write_all_vectored(&self, slices: &mut [IoSlice<'_>]) -> io::Result<()> {
        let mut left = slices;
        while !left.is_empty() {
            let n = self.write_vectored(left).await?;
            IoSlice::advance_slices(&mut left, n);
        }
        Ok(())
    }

    fn poll_write_with(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            match write(self.0.stream.get_ref()) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Ok(0) => return Poll::Ready(Err(io::ErrorKind::WriteZero.into())),
                Ok(n) => return Poll::Ready(Ok(n)),
                Err(e) => {
                    // A broken pipe says that no more can be written: the peer had ended its stream
                    // before, or the break was reported already.
                    if e.kind() != io::ErrorKind::BrokenPipe {
                        self.0.broken.get_or_init(|| e.kind());
                    }
                    return Poll::Ready(Err(e));
                }
            }
            ready!(self.0.stream.poll_writable(cx))?;
        }
    }
}
