//! The reader through which the HTTP library reads a streamed body.

use {
    crate::{
        Piece,
        Reason,
        Refused, //
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

/// Reads pieces from a channel and returns each as one chunk.
#[derive(Debug)]
pub(crate) struct StreamBody {
    pieces: Receiver<Piece>,
    chunk: Vec<u8>,
    pos: usize,
    state: State,
    /// The body is a stream of server-sent events.
    is_event_stream: bool,
    /// Newlines at the end of the data so far, at most 2; 2 means between events.
    trailing_newlines: u8,
}

#[derive(Debug)]
enum State {
    Open,
    Failing,
    Ended,
}

impl StreamBody {
    pub(crate) fn new(pieces: Receiver<Piece>, is_event_stream: bool) -> StreamBody {
        StreamBody {
            pieces,
            chunk: Vec::new(),
            pos: 0,
            state: State::Open,
            is_event_stream,
            trailing_newlines: 2,
        }
    }

    pub(crate) fn into_http(self) -> http_types::Body {
        http_types::Body::from_reader(self, None)
    }

    fn apply(&mut self, piece: Option<Piece>) {
        match piece {
            Some(Piece::Data(bytes)) => {
                self.count_trailing_newlines(&bytes);
                self.chunk = bytes;
                self.pos = 0;
            }
            Some(Piece::End) => self.state = State::Ended,
            Some(Piece::Fail(refused)) => self.fail(&refused),
            // The handler's task panicked or did not send `End`. Ending the body normally would
            // present a truncated answer as complete, so only `End` ends a body.
            None => self.fail(&Refused::new(
                Reason::AnswerLost,
                "the answer was cut; ask again if the request may be repeated",
            )),
        }
    }

    fn fail(&mut self, refused: &Refused) {
        self.state = State::Failing;
        // Within an event the error would be parsed as a part of it, so none is sent there.
        if self.is_event_stream && self.trailing_newlines == 2 {
            let json = serde_json::to_string(refused).unwrap_or_default();
            self.chunk = format!("event: error\ndata: {json}\n\n").into_bytes();
            self.pos = 0;
        }
    }

    fn count_trailing_newlines(&mut self, bytes: &[u8]) {
        for b in bytes {
            match b {
                b'\n' => self.trailing_newlines = 2.min(self.trailing_newlines + 1),
                b'\r' => {}
                _ => self.trailing_newlines = 0,
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
                    this.apply(piece);
                }
                State::Failing => {
                    return Poll::Ready(Err(io::Error::other("the streamed body was aborted")));
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
