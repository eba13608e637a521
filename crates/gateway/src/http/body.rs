//! Message bodies, read in parts.

use {
    super::{
        chunk::{
            ChunkDecoder,
            Decoded, //
        },
        response::has_body,
        Conn,
        Head,
        HeadError,
        ReadError, //
    },
    resources::Segments,
};

/// How the end of a body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Framing {
    Empty,
    Length(u64),
    Chunked,
    /// The body ends when the connection is closed.
    Close,
}

/// Reads a body from a connection.
#[derive(Debug)]
pub(crate) struct Body {
    framing: Framing,
    left: u64,
    chunks: ChunkDecoder,
    ended: bool,
}

impl Framing {
    /// Returns the framing of a request's body.
    pub(crate) fn request(head: &Head) -> Result<Framing, HeadError> {
        Ok(match head.framing()? {
            (_, true) => Framing::Chunked,
            (Some(n), _) if n > 0 => Framing::Length(n),
            _ => Framing::Empty,
        })
    }

    /// Returns the framing of the body of a response to a request with this method.
    pub(crate) fn response(head: &Head, method: &str) -> Result<Framing, HeadError> {
        if !has_body(method, head.status()) {
            return Ok(Framing::Empty);
        }
        Ok(match head.framing()? {
            (_, true) => Framing::Chunked,
            (Some(0), _) => Framing::Empty,
            (Some(n), _) => Framing::Length(n),
            (None, _) => Framing::Close,
        })
    }
}

impl Body {
    pub(crate) fn new(framing: Framing) -> Body {
        Body {
            framing,
            left: match framing {
                Framing::Length(n) => n,
                _ => 0,
            },
            chunks: ChunkDecoder::Length,
            ended: framing == Framing::Empty,
        }
    }

    /// Returns whether the connection can carry another message after this body.
    pub(crate) fn reusable(&self) -> bool {
        self.ended && self.framing != Framing::Close
    }

    /// Returns whether only the end of the connection marks the end of the body.
    pub(crate) fn ends_with_connection(&self) -> bool {
        self.framing == Framing::Close
    }

    /// Reads the next part; none at the end of the body.
    ///
    /// Cancel safe: if the future is dropped, no bytes are lost.
    pub(crate) async fn read_part(
        &mut self,
        conn: &mut Conn,
    ) -> Result<Option<Vec<u8>>, ReadError> {
        let n = self.buffer_part(conn).await?;
        Ok(n.map(|n| conn.take_buffered(n)))
    }

    /// Reads until the next part is buffered, and returns its length; none at the end of the body. The
    /// part is to be consumed before anything else is read.
    async fn buffer_part(&mut self, conn: &mut Conn) -> Result<Option<usize>, ReadError> {
        if self.ended {
            return Ok(None);
        }
        let part = match self.framing {
            Framing::Empty => None,
            Framing::Chunked => self.chunks.read_part(conn).await?,
            Framing::Length(_) => Some(self.buffer_sized(conn).await?),
            Framing::Close => buffer_until_close(conn).await?,
        };
        self.ended |= part.is_none();
        Ok(part)
    }

    /// Returns the next part of a chunked body that is buffered already; none if there is none, or if
    /// the body has ended.
    pub(crate) fn buffered_part(&mut self, conn: &mut Conn) -> Result<Option<Vec<u8>>, ReadError> {
        if self.ended || self.framing != Framing::Chunked {
            return Ok(None);
        }
        match self.chunks.decode(conn)? {
            Decoded::Part(n) => Ok(Some(conn.take_buffered(n))),
            Decoded::Incomplete => Ok(None),
            Decoded::Ended => {
                self.ended = true;
                Ok(None)
            }
        }
    }

    /// Returns whether the body was read to its end.
    pub(crate) fn ended(&self) -> bool {
        self.ended
    }

    async fn buffer_sized(&mut self, conn: &mut Conn) -> Result<usize, ReadError> {
        conn.read_some().await?;
        let n = conn.buffered_up_to(self.left);
        self.left -= n as u64;
        self.ended = self.left == 0;
        Ok(n)
    }

    /// Reads the complete body.
    ///
    /// # Errors
    ///
    /// Also if it is longer than `max` bytes.
    pub(crate) async fn read_all(
        &mut self,
        conn: &mut Conn,
        max: usize,
    ) -> Result<Vec<u8>, ReadError> {
        let mut all = Vec::new();
        while let Some(part) = self.read_part(conn).await? {
            if all.len() + part.len() > max {
                return Err(ReadError::TooLong(max));
            }
            all.extend_from_slice(&part);
        }
        Ok(all)
    }

    /// Reads the complete body into segments.
    ///
    /// # Errors
    ///
    /// Also if it is longer than `max` bytes.
    pub(crate) async fn read_into(
        &mut self,
        conn: &mut Conn,
        all: &mut Segments,
        max: usize,
    ) -> Result<(), ReadError> {
        while let Some(n) = self.buffer_part(conn).await? {
            if all.len() + n > max {
                return Err(ReadError::TooLong(max));
            }
            all.push(&conn.buffered()[..n]);
            conn.consume(n);
        }
        Ok(())
    }

    /// Reads the complete body and keeps nothing of it.
    ///
    /// # Errors
    ///
    /// Also if it is longer than `max` bytes.
    pub(crate) async fn discard(&mut self, conn: &mut Conn, max: usize) -> Result<(), ReadError> {
        let mut length = 0;
        while let Some(n) = self.buffer_part(conn).await? {
            length += n;
            if length > max {
                return Err(ReadError::TooLong(max));
            }
            conn.consume(n);
        }
        Ok(())
    }
}

/// Reads until something is buffered; none if the connection is closed. A reset is an error, as the
/// body may be truncated.
async fn buffer_until_close(conn: &mut Conn) -> Result<Option<usize>, ReadError> {
    match conn.read_some().await {
        Ok(()) => Ok(Some(conn.buffered().len())),
        Err(ReadError::Closed) => Ok(None),
        Err(e) => Err(e),
    }
}

#[cfg(test)]
mod tests;
