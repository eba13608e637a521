//! A request body that is fed by a channel.

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

/// A piece of a body, and when it may go out.
#[derive(Debug)]
pub(crate) struct Piece {
    pub(crate) due: Instant,
    pub(crate) bytes: Vec<u8>,
}

/// Reads the pieces that come over a channel, until every sender is gone.
pub(crate) struct Source {
    pieces: Pin<Box<dyn Stream<Item = Vec<u8>> + Send + Sync>>,
    rest: Vec<u8>,
    at: usize,
}

impl Source {
    pub(crate) fn new(pieces: Receiver<Piece>) -> Source {
        let timed = pieces.then(|p| async move {
            let wait = p.due.saturating_duration_since(Instant::now());
            if !wait.is_zero() {
                task::sleep(wait).await;
            }
            p.bytes
        });
        Source {
            pieces: Box::pin(timed),
            rest: Vec::new(),
            at: 0,
        }
    }
}

impl AsyncRead for Source {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.at == self.rest.len() {
            match self.pieces.as_mut().poll_next(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(None) => return Poll::Ready(Ok(0)),
                Poll::Ready(Some(piece)) => {
                    self.rest = piece;
                    self.at = 0;
                }
            }
        }
        let n = buf.len().min(self.rest.len() - self.at);
        buf[..n].copy_from_slice(&self.rest[self.at..self.at + n]);
        self.at += n;
        Poll::Ready(Ok(n))
    }
}
