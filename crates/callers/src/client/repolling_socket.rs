//! A workaround for a missing wake-up in the HTTP library's decoder.

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

/// A socket that wakes its reader again after each read.
///
/// The library's chunk decoder returns Pending without registering a waker if the last line end
/// of a body arrives in several reads. The call would hang although its answer has arrived. The
/// extra wake-up polls the decoder again.
#[derive(Debug)]
pub(crate) struct RepollingSocket(pub(crate) TcpStream);

impl AsyncRead for RepollingSocket {
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
