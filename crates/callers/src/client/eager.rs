//! A socket as the HTTP library's decoder needs it.

use {
    async_std::net::TcpStream,
    futures_lite::io::AsyncRead,
    std::{
        io,
        pin::Pin,
        task::{
            Context,
            Poll, //
        },
    },
};

/// A socket whose reader is polled once more after each read.
///
/// The decoder of chunks loses its wake-up where the last line end of a body comes in pieces:
/// it reads one and waits without having asked for the next. The call would hang with its
/// whole answer here. The extra wake-up makes it ask again.
#[derive(Debug)]
pub(crate) struct Eager(pub(crate) TcpStream);

impl AsyncRead for Eager {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = Pin::new(&mut self.0).poll_read(cx, buf);
        if read.is_ready() {
            cx.waker().wake_by_ref();
        }
        read
    }
}
