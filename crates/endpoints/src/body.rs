//! An answer as it is read: its head, then its body piece by piece.

use {
    crate::{
        conn::Conn,
        names,
        CallError,
        Header, //
    },
    async_std::net::TcpStream,
    futures_lite::io::{
        AsyncRead as Read,
        AsyncReadExt,
        Cursor, //
    },
    std::{
        collections::HashSet,
        io,
        pin::Pin,
        task::{
            Context,
            Poll, //
        },
    },
};

/// Most bytes passed on at once.
const PIECE: usize = 16 * 1024;

/// Headers that frame a message or belong to one connection.
const FRAMING: [&str; 9] = [
    "connection",
    "content-length",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
];

/// An answer whose head was read.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) headers: Vec<Header>,
    pub(crate) length: Option<u64>,
    conn: Conn,
    frame: Frame,
    reader: Box<dyn ReadBody>,
    keep: bool,
}

/// How the end of a body is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Frame {
    Empty,
    Left(u64),
    Chunked,
    Close,
}

/// What a body is read from.
trait ReadBody: Read + Unpin + Send + Sync + std::fmt::Debug {}

impl<T: Read + Unpin + Send + Sync + std::fmt::Debug> ReadBody for T {}

/// Returns whether a header frames a message and is not to be passed on.
pub(crate) fn frames(name: &str) -> bool {
    FRAMING.contains(&name)
}

impl Reply {
    /// Takes the head, and the bytes of the body that came with it.
    pub(crate) async fn new(
        conn: Conn,
        head: Vec<u8>,
        rest: Vec<u8>,
        bodiless: bool,
    ) -> Result<Reply, CallError> {
        // The library panics on a header value that is not ASCII, which would end the
        // task without an outcome. Such a head never reaches it.
        if !head.is_ascii() {
            return Err(CallError::Malformed("its head is not ASCII".to_owned()));
        }
        let bad = |e: http_types::Error| CallError::Malformed(e.to_string());
        let mut parsed = async_h1::client::decode(Cursor::new(head.clone()))
            .await
            .map_err(bad)?;
        let status = u16::from(parsed.status());
        drop(parsed.take_body());
        let passed = headers(&head, &parsed);
        let frame = match () {
            _ if bodiless || status == 204 || status == 304 => Frame::Empty,
            _ if parsed.header("transfer-encoding").is_some() => Frame::Chunked,
            _ => match parsed.header("content-length") {
                Some(n) => Frame::Left(n.as_str().parse().unwrap_or(0)),
                None => Frame::Close,
            },
        };
        // What stands behind the end of the body answers no call of ours.
        let stray = match frame {
            Frame::Left(n) => rest.len() as u64 > n,
            Frame::Empty => !rest.is_empty(),
            Frame::Chunked | Frame::Close => false,
        };
        let source = Cursor::new(rest).chain(Eager(conn.stream.clone()));
        let reader: Box<dyn ReadBody> = match frame {
            Frame::Chunked => {
                let whole = Cursor::new(head).chain(source);
                Box::new(
                    async_h1::client::decode(whole)
                        .await
                        .map_err(bad)?
                        .take_body(),
                )
            }
            Frame::Empty | Frame::Left(_) | Frame::Close => Box::new(source),
        };
        let close = parsed
            .header("connection")
            .is_some_and(|v| v.as_str().eq_ignore_ascii_case("close"));
        Ok(Reply {
            status,
            headers: passed,
            length: match frame {
                Frame::Left(n) => Some(n),
                Frame::Empty => Some(0),
                Frame::Chunked | Frame::Close => None,
            },
            conn,
            frame,
            reader,
            keep: !close && !stray && frame != Frame::Close,
        })
    }

    /// Returns the value of a header.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|h| h.name == name)?;
        Some(&found.value)
    }

    /// Returns whether the endpoint says that it did not take the call.
    pub(crate) fn refused(&self) -> bool {
        let marked = self.header(names::LEAVING).is_some();
        let said = self.header(names::NOT_ADMITTED).is_some();
        self.status == 503 && (marked || said)
    }

    /// Returns whether the body is a stream of events.
    pub(crate) fn streams(&self) -> bool {
        let kind = self.header("content-type").unwrap_or("");
        self.status == 200 && kind.starts_with("text/event-stream")
    }

    /// Reads the next piece of the body as it comes; none at its whole end.
    pub(crate) async fn piece(&mut self) -> Result<Option<Vec<u8>>, CallError> {
        let most = match self.frame {
            Frame::Empty | Frame::Left(0) => return Ok(None),
            Frame::Left(n) => PIECE.min(n as usize),
            Frame::Chunked | Frame::Close => PIECE,
        };
        let mut buf = vec![0; most];
        let n = self
            .reader
            .read(&mut buf)
            .await
            .map_err(|_| CallError::Cut)?;
        buf.truncate(n);
        match (self.frame, n) {
            (Frame::Left(_), 0) => return Err(CallError::Cut),
            (_, 0) => return Ok(None),
            (Frame::Left(left), n) => self.frame = Frame::Left(left - n as u64),
            _ => {}
        }
        Ok(Some(buf))
    }

    /// Returns the connection if it may take another call; the body must be at its end.
    pub(crate) fn release(self) -> Option<Conn> {
        self.keep.then_some(self.conn)
    }
}

/// Returns the headers to pass on.
///
/// The library adds a `date` with a line end in it, which would end the head early, and a
/// `content-type` where the endpoint sent none. Only what stands in the head is taken.
fn headers(head: &[u8], parsed: &http_types::Response) -> Vec<Header> {
    let head = String::from_utf8_lossy(head).to_ascii_lowercase();
    let sent: HashSet<&str> = head.lines().filter_map(|l| l.split(':').next()).collect();
    let mut all = Vec::new();
    for (name, values) in parsed.iter() {
        if !sent.contains(name.as_str()) || frames(name.as_str()) {
            continue;
        }
        for value in values.iter() {
            all.push(Header::new(name.as_str(), value.as_str()));
        }
    }
    all
}

/// A stream that is polled once more after each piece.
///
/// The library's decoder loses its wake-up where the trailing line end of a chunked body
/// comes in two pieces: it reads the first and waits without having asked for the second.
/// The call would hang to its silence bound with its whole answer there. The extra
/// wake-up makes the decoder ask again.
#[derive(Debug)]
struct Eager(TcpStream);

impl Read for Eager {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = Pin::new(&mut self.0).poll_read(cx, buf);
        if read.is_ready() {
            cx.waker().wake_by_ref();
        }
        read
    }
}
