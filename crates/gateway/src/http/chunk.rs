//! Chunked bodies.

use super::{
    Conn,
    ReadError, //
};

/// Longest line that gives a chunk's length, its extensions included.
const LINE_MAX: usize = 256;
/// Most bytes of a trailer.
const TRAILER_MAX: usize = 4096;

/// Where in a chunked body the reading stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Chunks {
    /// Before a line with a length.
    Length,
    /// Inside a chunk with this many bytes left.
    Inside(u64),
    /// At the line end behind a chunk.
    Behind,
    /// In the trailer behind the last chunk.
    Trailer,
    Ended,
}

impl Chunks {
    /// Reads some bytes of the body; none at its end.
    pub(crate) async fn piece(&mut self, conn: &mut Conn) -> Result<Option<Vec<u8>>, ReadError> {
        loop {
            match *self {
                Chunks::Length => *self = length(conn).await?,
                Chunks::Inside(left) => {
                    let piece = conn.take(left).await?;
                    *self = match left - piece.len() as u64 {
                        0 => Chunks::Behind,
                        left => Chunks::Inside(left),
                    };
                    return Ok(Some(piece));
                }
                Chunks::Behind => {
                    while conn.held().len() < 2 {
                        conn.more().await?;
                    }
                    if !conn.held().starts_with(b"\r\n") {
                        return Err(ReadError::Body("a chunk is longer than it says"));
                    }
                    conn.used(2);
                    *self = Chunks::Length;
                }
                Chunks::Trailer => {
                    trailer(conn).await?;
                    *self = Chunks::Ended;
                }
                Chunks::Ended => return Ok(None),
            }
        }
    }
}

async fn length(conn: &mut Conn) -> Result<Chunks, ReadError> {
    loop {
        match httparse::parse_chunk_size(conn.held()) {
            Ok(httparse::Status::Complete((len, size))) => {
                conn.used(len);
                return Ok(match size {
                    0 => Chunks::Trailer,
                    size => Chunks::Inside(size),
                });
            }
            Ok(httparse::Status::Partial) if conn.held().len() < LINE_MAX => conn.more().await?,
            _ => return Err(ReadError::Body("a chunk's length can't be read")),
        }
    }
}

/// Reads the trailer, which is dropped.
async fn trailer(conn: &mut Conn) -> Result<(), ReadError> {
    let mut read = 0;
    loop {
        let end = conn.held().windows(2).position(|w| w == b"\r\n");
        match end {
            Some(0) => {
                conn.used(2);
                return Ok(());
            }
            Some(n) => {
                read += n;
                conn.used(n + 2);
            }
            None => conn.more().await?,
        }
        if read > TRAILER_MAX || conn.held().len() > TRAILER_MAX && end.is_none() {
            return Err(ReadError::Body("the trailer is too long"));
        }
    }
}
