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
    /// In the trailer after the last chunk, of which this many bytes were read.
    Trailer(usize),
    Ended,
}

/// What the buffered bytes hold of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Decoded {
    /// This many bytes at the start of the buffer belong to the body. They are to be consumed before
    /// anything else is decoded.
    Part(usize),
    /// Nothing without more bytes.
    Incomplete,
    /// The end of the body.
    Ended,
}

impl ChunkDecoder {
    /// Reads until the next part of the body is buffered, and returns its length; none at its end.
    pub(crate) async fn read_part(&mut self, conn: &mut Conn) -> Result<Option<usize>, ReadError> {
        loop {
            match self.decode(conn)? {
                Decoded::Part(n) => return Ok(Some(n)),
                Decoded::Incomplete => conn.read_more().await?,
                Decoded::Ended => return Ok(None),
            }
        }
    }

    /// Decodes the next part of the body from the buffered bytes.
    pub(crate) fn decode(&mut self, conn: &mut Conn) -> Result<Decoded, ReadError> {
        loop {
            let next = match *self {
                ChunkDecoder::Length => decode_length(conn)?,
                ChunkDecoder::Inside(_) if conn.buffered().is_empty() => None,
                ChunkDecoder::Inside(left) => {
                    let n = conn.buffered_up_to(left);
                    *self = match left - n as u64 {
                        0 => ChunkDecoder::LineEnd,
                        left => ChunkDecoder::Inside(left),
                    };
                    return Ok(Decoded::Part(n));
                }
                ChunkDecoder::LineEnd => decode_line_end(conn)?,
                ChunkDecoder::Trailer(read) => decode_trailer(conn, read)?,
                ChunkDecoder::Ended => return Ok(Decoded::Ended),
            };
            match next {
                Some(next) => *self = next,
                None => return Ok(Decoded::Incomplete),
            }
        }
    }
}

fn decode_length(conn: &mut Conn) -> Result<Option<ChunkDecoder>, ReadError> {
    match httparse::parse_chunk_size(conn.buffered()) {
        Ok(httparse::Status::Complete((len, size))) => {
            conn.consume(len);
            Ok(Some(match size {
                0 => ChunkDecoder::Trailer(0),
                size => ChunkDecoder::Inside(size),
            }))
        }
        Ok(httparse::Status::Partial) if conn.buffered().len() < LINE_MAX => Ok(None),
        _ => Err(ReadError::Body("invalid chunk size")),
    }
}

fn decode_line_end(conn: &mut Conn) -> Result<Option<ChunkDecoder>, ReadError> {
    if conn.buffered().len() < 2 {
        return Ok(None);
    }
    if !conn.buffered().starts_with(b"\r\n") {
        return Err(ReadError::Body("a chunk is longer than its stated size"));
    }
    conn.consume(2);
    Ok(Some(ChunkDecoder::Length))
}

/// Discards a line of the trailer, of which `read` bytes came before.
fn decode_trailer(conn: &mut Conn, read: usize) -> Result<Option<ChunkDecoder>, ReadError> {
    let end = conn.buffered().windows(2).position(|w| w == b"\r\n");
    let read = read + end.unwrap_or(conn.buffered().len());
    if read > TRAILER_MAX {
        return Err(ReadError::Body("the trailer is too long"));
    }
    let Some(n) = end else {
        return Ok(None);
    };
    conn.consume(n + 2);
    Ok(Some(match n {
        0 => ChunkDecoder::Ended,
        _ => ChunkDecoder::Trailer(read),
    }))
}
