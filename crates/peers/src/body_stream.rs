//! A request body that is fed from a channel.

use {
    async_std::{
        channel::Receiver,
        task, //
    },
    futures_lite::{
        io::AsyncRead,
        Stream,
        StreamExt, //
    },
    std::{
        io,
        pin::Pin,
        task::{
            Context,
            Poll, //
        },
        time::Instant,
    },
};

/// A chunk of a body, and the earliest time to send it.
#[derive(Debug)]
pub(crate) struct Chunk {
    pub(crate) send_at: Instant,
    pub(crate) bytes: Vec<u8>,
}

/// Reads the chunks from a channel until all senders are closed.
pub(crate) struct BodyStream {
    chunks: Pin<Box<dyn Stream<Item = Vec<u8>> + Send + Sync>>,
    current: Vec<u8>,
    position: usize,
}

impl BodyStream {
    pub(crate) fn new(chunks: Receiver<Chunk>) -> BodyStream {
        let timed = chunks.then(|c| async move {
            let wait = c.send_at.saturating_duration_since(Instant::now());
            if !wait.is_zero() {
                task::sleep(wait).await;
            }
            c.bytes
        });
        BodyStream {
            chunks: Box::pin(timed),
            current: Vec::new(),
            position: 0,
        }
    }
}

impl AsyncRead for BodyStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.position == self.current.len() {
            match self.chunks.as_mut().poll_next(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(None) => return Poll::Ready(Ok(0)),
                Poll::Ready(Some(chunk)) => {
                    self.current = chunk;
                    self.position = 0;
                }
            }
        }
        let n = buf.len().min(self.current.len() - self.position);
        buf[..n].copy_from_slice(&self.current[self.position..self.position + n]);
        self.position += n;
        Poll::Ready(Ok(n))
    }
}
