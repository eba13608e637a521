//! Counts the bytes sent and received over connections.

use {
    futures_lite::io::{
        AsyncRead,
        AsyncWrite, //
    },
    std::{
        io,
        pin::Pin,
        sync::{
            atomic::{
                AtomicU64,
                Ordering, //
            },
            Arc, //
        },
        task::{
            Context,
            Poll, //
        },
    },
};

/// Bytes sent and received over connections between routers, including HTTP heads.
#[derive(Debug, Default)]
pub struct Traffic {
    sent: AtomicU64,
    received: AtomicU64,
}

impl Traffic {
    /// Returns the number of bytes sent so far.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes received so far.
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }
}

/// A stream whose bytes are counted.
#[derive(Debug, Clone)]
pub(crate) struct CountedStream<S> {
    inner: S,
    traffic: Arc<Traffic>,
}

impl<S> CountedStream<S> {
    pub(crate) fn new(inner: S, traffic: Arc<Traffic>) -> CountedStream<S> {
        CountedStream { inner, traffic }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CountedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let res = Pin::new(&mut self.inner).poll_read(cx, buf);
        if let Poll::Ready(Ok(n)) = res {
            self.traffic.received.fetch_add(n as u64, Ordering::Relaxed);
        }
        res
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let res = Pin::new(&mut self.inner).poll_write(cx, buf);
        if let Poll::Ready(Ok(n)) = res {
            self.traffic.sent.fetch_add(n as u64, Ordering::Relaxed);
        }
        res
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}
