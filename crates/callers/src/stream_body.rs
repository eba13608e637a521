//! A streamed body, as the HTTP library reads it.

use {
    crate::{
        Piece,
        Reason, //
        Refused,
    },
    async_std::channel::Receiver,
    futures_lite::{
        io::{
            AsyncBufRead,
            AsyncRead, //
        },
        ready,
        Stream, //
    },
    std::{
        io,
        pin::Pin,
        task::{
            Context,
            Poll, //
        },
    },
};

/// Reads pieces from a channel, one chunk for each.
#[derive(Debug)]
pub(crate) struct StreamBody {
    pieces: Receiver<Piece>,
    chunk: Vec<u8>,
    pos: usize,
    state: State,
    /// The body is a stream of server-sent events.
    events: bool,
    /// Line breaks at the end of what was passed on, 2 between events.
    breaks: u8,
}

#[derive(Debug)]
enum State {
    Open,
    Failing,
    Ended,
}

impl StreamBody {
    pub(crate) fn new(pieces: Receiver<Piece>, events: bool) -> StreamBody {
        StreamBody {
            pieces,
            chunk: Vec::new(),
            pos: 0,
            state: State::Open,
            events,
            breaks: 2,
        }
    }

    pub(crate) fn into_http(self) -> http_types::Body {
        http_types::Body::from_reader(self, None)
    }

    fn take(&mut self, piece: Option<Piece>) {
        match piece {
            Some(Piece::Data(bytes)) => {
                self.count_breaks(&bytes);
                self.chunk = bytes;
                self.pos = 0;
            }
            Some(Piece::End) => self.state = State::Ended,
            Some(Piece::Fail(refused)) => self.fail(&refused),
            // The handler's task died, or forgot the end. Taking this for the end would show a
            // cut answer as whole, so only `End` ends a body.
            None => self.fail(&Refused::new(
                Reason::AnswerLost,
                "the answer was cut; ask again if the request may be repeated",
            )),
        }
    }

    fn fail(&mut self, refused: &Refused) {
        self.state = State::Failing;
        // In the middle of an event the error would read as a part of it: cut without a word.
        if self.events && self.breaks == 2 {
            let json = serde_json::to_string(refused).unwrap_or_default();
            self.chunk = format!("event: error\ndata: {json}\n\n").into_bytes();
            self.pos = 0;
        }
    }

    fn count_breaks(&mut self, bytes: &[u8]) {
        for b in bytes {
            match b {
                b'\n' => self.breaks = 2.min(self.breaks + 1),
                b'\r' => {}
                _ => self.breaks = 0,
            }
        }
    }
}

impl AsyncBufRead for StreamBody {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        while this.pos == this.chunk.len() {
            match this.state {
                State::Open => {
                    let piece = ready!(Pin::new(&mut this.pieces).poll_next(cx));
                    this.take(piece);
                }
                State::Failing => {
                    return Poll::Ready(Err(io::Error::other("the answer was cut")));
                }
                State::Ended => return Poll::Ready(Ok(&[])),
            }
        }
        Poll::Ready(Ok(&this.chunk[this.pos..]))
    }

    fn consume(self: Pin<&mut Self>, n: usize) {
        self.get_mut().pos += n;
    }
}

impl AsyncRead for StreamBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let chunk = ready!(self.as_mut().poll_fill_buf(cx))?;
        let n = chunk.len().min(buf.len());
        buf[..n].copy_from_slice(&chunk[..n]);
        self.consume(n);
        Poll::Ready(Ok(n))
    }
}
