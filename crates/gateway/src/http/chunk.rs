//! Decoding of chunked bodies.

use super::{
    Conn,
    ReadError, //
};

/// Longest chunk-size line, with its extensions, in bytes.
const LINE_MAX: usize = 256;
/// Longest trailer, in bytes.
const TRAILER_MAX: usize = 4096;

/// Position of the decoder in a chunked body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ChunkDecoder {
    /// Before a chunk-size line.
    Length,
    /// Inside a chunk, with this many bytes left.
    Inside(u64),
    /// Before the line end that closes a chunk.
    LineEnd,
    /// In the trailer after the last chunk.
    Trailer,
    Ended,
}

impl ChunkDecoder {
    /// Reads the next part of the body; none at its end.
    pub(crate) async fn read_part(
        &mut self,
        conn: &mut Conn,
    ) -> Result<Option<Vec<u8>>, ReadError> {
        loop {
            match *self {
                ChunkDecoder::Length => *self = read_length(conn).await?,
                ChunkDecoder::Inside(left) => {
                    let part = conn.read_some(left).await?;
                    *self = match left - part.len() as u64 {
                        0 => ChunkDecoder::LineEnd,
                        left => ChunkDecoder::Inside(left),
                    };
                    return Ok(Some(part));
                }
                ChunkDecoder::LineEnd => {
                    while conn.buffered().len() < 2 {
                        conn.read_more().await?;
                    }
                    if !conn.buffered().starts_with(b"\r\n") {
                        return Err(ReadError::Body("a chunk is longer than its stated size"));
                    }
                    conn.consume(2);
                    *self = ChunkDecoder::Length;
                }
                ChunkDecoder::Trailer => {
                    read_trailer(conn).await?;
                    *self = ChunkDecoder::Ended;
                }
                ChunkDecoder::Ended => return Ok(None),
            }
        }
    }
}

async fn read_length(conn: &mut Conn) -> Result<ChunkDecoder, ReadError> {
    loop {
        match httparse::parse_chunk_size(conn.buffered()) {
            Ok(httparse::Status::Complete((len, size))) => {
                conn.consume(len);
                return Ok(match size {
                    0 => ChunkDecoder::Trailer,
                    size => ChunkDecoder::Inside(size),
                });
            }
            Ok(httparse::Status::Partial) if conn.buffered().len() < LINE_MAX => {
                conn.read_more().await?
            }
            _ => return Err(ReadError::Body("invalid chunk size")),
        }
    }
}

/// Reads the trailer and discards it.
async fn read_trailer(conn: &mut Conn) -> Result<(), ReadError> {
    let mut read = 0;
    loop {
        let end = conn.buffered().windows(2).position(|w| w == b"\r\n");
        match end {
            Some(0) => {
                conn.consume(2);
                return Ok(());
            }
            Some(n) => {
                read += n;
                conn.consume(n + 2);
            }
            None => conn.read_more().await?,
        }
        if read > TRAILER_MAX || conn.buffered().len() > TRAILER_MAX && end.is_none() {
            return Err(ReadError::Body("the trailer is too long"));
        }
    }
}
