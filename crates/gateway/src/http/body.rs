//! Bodies, read piece by piece.

use super::{
    chunk::Chunks,
    Conn,
    Head,
    HeadError,
    ReadError, //
};

/// How the end of a body is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Framing {
    Empty,
    Length(u64),
    Chunked,
    /// It ends with the connection.
    Close,
}

/// A body that is being read.
#[derive(Debug)]
pub(crate) struct Body {
    framing: Framing,
    left: u64,
    chunks: Chunks,
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

    /// Returns the framing of a response's body to a request by this method.
    pub(crate) fn response(head: &Head, method: &str) -> Result<Framing, HeadError> {
        let status = head.status();
        if method == "HEAD" || status == 204 || status == 304 || status < 200 {
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
            chunks: Chunks::Length,
            ended: framing == Framing::Empty,
        }
    }

    /// Tells whether the connection can carry another message after this body.
    pub(crate) fn reusable(&self) -> bool {
        self.ended && self.framing != Framing::Close
    }

    /// Reads some bytes; none at the end.
    pub(crate) async fn piece(&mut self, conn: &mut Conn) -> Result<Option<Vec<u8>>, ReadError> {
        if self.ended {
            return Ok(None);
        }
        let piece = match self.framing {
            Framing::Empty => None,
            Framing::Chunked => self.chunks.piece(conn).await?,
            Framing::Length(_) => self.sized(conn).await?,
            Framing::Close => until_end(conn).await?,
        };
        self.ended |= piece.is_none();
        Ok(piece)
    }

    async fn sized(&mut self, conn: &mut Conn) -> Result<Option<Vec<u8>>, ReadError> {
        let piece = conn.take(self.left).await?;
        self.left -= piece.len() as u64;
        self.ended = self.left == 0;
        Ok(Some(piece))
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// Also where it is longer than `max` bytes.
    pub(crate) async fn whole(
        &mut self,
        conn: &mut Conn,
        max: usize,
    ) -> Result<Vec<u8>, ReadError> {
        let mut all = Vec::new();
        while let Some(piece) = self.piece(conn).await? {
            if all.len() + piece.len() > max {
                return Err(ReadError::TooLong(max));
            }
            all.extend_from_slice(&piece);
        }
        Ok(all)
    }
}

/// Reads what comes until the connection ends. A reset is an error: the body may be cut.
async fn until_end(conn: &mut Conn) -> Result<Option<Vec<u8>>, ReadError> {
    match conn.take(u64::MAX).await {
        Ok(piece) => Ok(Some(piece)),
        Err(ReadError::Closed) => Ok(None),
        Err(e) => Err(e),
    }
}
