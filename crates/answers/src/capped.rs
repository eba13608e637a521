//! A stream of which only so many bytes are read.

use {
    futures_lite::io::{
        AsyncRead,
        AsyncWrite, //
    },
    resources::Bytes,
    std::{
        io,
        pin::Pin,
        task::{
            Context,
            Poll, //
        },
    },
};

/// A stream that fails once more bytes than a limit were read from it.
///
/// The HTTP library has no limit on lines: it keeps what a server sends until a line ends.
///
/// # Examples
///
/// ```
/// use futures_lite::{future::block_on, io::{AsyncReadExt, Cursor}};
/// use answers::Capped;
/// use resources::Bytes;
///
/// let read = |max| {
///     let mut stream = Capped::new(Cursor::new(vec![7; 2_000]), Bytes::kib(max), "store");
///     block_on(stream.read_to_end(&mut Vec::new()))
/// };
/// assert_eq!(read(2).unwrap(), 2_000);
/// assert!(read(1).is_err());
/// ```
#[derive(Debug, Clone)]
pub struct Capped<S> {
    inner: S,
    max: Bytes,
    left: u64,
    from: &'static str,
}

impl<S> Capped<S> {
    /// Wraps a stream that sends at most `max` bytes; `from` says in metrics and logs who sends them.
    pub fn new(inner: S, max: Bytes, from: &'static str) -> Capped<S> {
        Capped {
            inner,
            max,
            left: max.0,
            from,
        }
    }

    fn fail(&self) -> io::Error {
        let Capped { max, from, .. } = self;
        metrics::counter!("chervilwind_answers_too_long", "from" => *from).increment(1);
        log::warn!("event=answer outcome=too-long from={from} max={max}");
        let text = format!("the answer of the {from} is longer than {max}");
        io::Error::new(io::ErrorKind::InvalidData, text)
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Capped<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = Pin::new(&mut self.inner).poll_read(cx, buf);
        let Poll::Ready(Ok(n)) = read else {
            return read;
        };
        match self.left.checked_sub(n as u64) {
            Some(left) => self.left = left,
            None => return Poll::Ready(Err(self.fail())),
        }
        Poll::Ready(Ok(n))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Capped<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}
