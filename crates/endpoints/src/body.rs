//! Reads an answer: its head, then its body incrementally.

use {
    crate::{
        conn::Conn,
        header_names,
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

/// Most bytes read from a body at once.
const READ_MAX_BYTES: usize = 16 * 1024;

/// What the library decodes before a chunked body.
const CHUNKED_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/// Statuses that tell a caller that its call was not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Headers that frame a message or apply to a single connection.
const FRAMING_HEADERS: [&str; 9] = [
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

/// An answer whose head has been read.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) headers: Vec<Header>,
    pub(crate) length: Option<u64>,
    conn: Conn,
    framing: Framing,
    reader: Box<dyn ReadBody>,
    reusable: bool,
}

/// How the end of a body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    Empty,
    Remaining(u64),
    Chunked,
    UntilClose,
}

/// A source that a body is read from.
trait ReadBody: Read + Unpin + Send + Sync + std::fmt::Debug {}

impl<T: Read + Unpin + Send + Sync + std::fmt::Debug> ReadBody for T {}

/// Returns whether a header frames a message and must not be forwarded.
pub(crate) fn is_framing_header(name: &str) -> bool {
    FRAMING_HEADERS.contains(&name)
}

impl Framing {
    /// Returns the framing that a head states for a body.
    fn of(parsed: &http_types::Response) -> Result<Framing, CallError> {
        let ambiguous = || CallError::Malformed("the end of its body is ambiguous".to_owned());
        let coding = single_value(parsed, "transfer-encoding").ok_or_else(ambiguous)?;
        let length = single_value(parsed, "content-length").ok_or_else(ambiguous)?;
        match (coding, length) {
            (None, None) => Ok(Framing::UntilClose),
            (Some(coding), None) if coding.eq_ignore_ascii_case("chunked") => Ok(Framing::Chunked),
            (None, Some(n)) if n.bytes().all(|b| b.is_ascii_digit()) => {
                let n = n.parse().map_err(|_| ambiguous())?;
                Ok(Framing::Remaining(n))
            }
            _ => Err(ambiguous()),
        }
    }
}

/// Returns the value of a header, if there is one; none if there are several.
fn single_value<'a>(parsed: &'a http_types::Response, name: &str) -> Option<Option<&'a str>> {
    let Some(values) = parsed.header(name) else {
        return Some(None);
    };
    let mut values = values.iter();
    let first = values.next().map(|v| v.as_str().trim_ascii());
    values.next().is_none().then_some(first)
}

impl Reply {
    /// Parses the head; `rest` holds the bytes of the body that were read with it.
    pub(crate) async fn new(
        conn: Conn,
        head: Vec<u8>,
        rest: Vec<u8>,
        bodiless: bool,
    ) -> Result<Reply, CallError> {
        // The library panics on a header value that is not ASCII, which would end the
        // task without an outcome, so such a head is rejected first.
        if !head.is_ascii() {
            return Err(CallError::Malformed("its head is not ASCII".to_owned()));
        }
        let malformed = |e: http_types::Error| CallError::Malformed(e.to_string());
        let mut parsed = async_h1::client::decode(Cursor::new(head.clone()))
            .await
            .map_err(malformed)?;
        let status = u16::from(parsed.status());
        drop(parsed.take_body());
        let forwarded = forwarded_headers(&head, &parsed);
        let framing = match bodiless || status == 204 || status == 304 {
            true => Framing::Empty,
            false => Framing::of(&parsed)?,
        };
        // Bytes behind the end of the body belong to no call of this client.
        let stray = match framing {
            Framing::Remaining(n) => rest.len() as u64 > n,
            Framing::Empty => !rest.is_empty(),
            Framing::Chunked | Framing::UntilClose => false,
        };
        let source = Cursor::new(rest).chain(RepolledStream(conn.stream.clone()));
        let reader: Box<dyn ReadBody> = match framing {
            Framing::Chunked => {
                let message = Cursor::new(CHUNKED_HEAD).chain(source);
                Box::new(
                    async_h1::client::decode(message)
                        .await
                        .map_err(malformed)?
                        .take_body(),
                )
            }
            Framing::Empty | Framing::Remaining(_) | Framing::UntilClose => Box::new(source),
        };
        let close = parsed
            .header("connection")
            .is_some_and(|v| v.as_str().eq_ignore_ascii_case("close"));
        Ok(Reply {
            status,
            headers: forwarded,
            length: match framing {
                Framing::Remaining(n) => Some(n),
                Framing::Empty => Some(0),
                Framing::Chunked | Framing::UntilClose => None,
            },
            conn,
            framing,
            reader,
            reusable: !close && !stray && framing != Framing::UntilClose,
        })
    }

    /// Returns the value of a header.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|h| h.name == name)?;
        Some(&found.value)
    }

    /// Returns whether the endpoint rejected the call without running it.
    pub(crate) fn is_rejection(&self) -> bool {
        let leaving = self.header(header_names::LEAVING).is_some();
        let not_admitted = self.header(header_names::NOT_ADMITTED).is_some();
        self.status == 503 && (leaving || not_admitted)
    }

    /// Returns whether its status would tell a caller that the call was not run.
    pub(crate) fn claims_not_run(&self) -> bool {
        NOT_RUN_STATUSES.contains(&self.status)
    }

    /// Returns whether the body is a stream of events.
    pub(crate) fn is_event_stream(&self) -> bool {
        let content_type = self.header("content-type").unwrap_or("");
        self.status == 200 && content_type.starts_with("text/event-stream")
    }

    /// Reads the next bytes of the body as they arrive; none after its complete end.
    pub(crate) async fn read_next(&mut self) -> Result<Option<Vec<u8>>, CallError> {
        let limit = match self.framing {
            Framing::Empty | Framing::Remaining(0) => return Ok(None),
            Framing::Remaining(n) => READ_MAX_BYTES.min(n as usize),
            Framing::Chunked | Framing::UntilClose => READ_MAX_BYTES,
        };
        let mut buf = vec![0; limit];
        let n = self
            .reader
            .read(&mut buf)
            .await
            .map_err(|_| CallError::Truncated)?;
        buf.truncate(n);
        match (self.framing, n) {
            (Framing::Remaining(_), 0) => return Err(CallError::Truncated),
            (_, 0) => return Ok(None),
            (Framing::Remaining(left), n) => self.framing = Framing::Remaining(left - n as u64),
            _ => {}
        }
        Ok(Some(buf))
    }

    /// Returns the connection if it can be reused; the body must have been read to its end.
    pub(crate) fn into_reusable(self) -> Option<Conn> {
        self.reusable.then_some(self.conn)
    }
}

/// Returns the headers to forward.
///
/// The library adds a `date` with a line end in it, which would end the head early, and a
/// `content-type` where the endpoint sent none. Only headers that the head contains are
/// forwarded.
fn forwarded_headers(head: &[u8], parsed: &http_types::Response) -> Vec<Header> {
    let head = String::from_utf8_lossy(head).to_ascii_lowercase();
    let sent: HashSet<&str> = head.lines().filter_map(|l| l.split(':').next()).collect();
    let mut all = Vec::new();
    for (name, values) in parsed.iter() {
        if !sent.contains(name.as_str()) || is_framing_header(name.as_str()) {
            continue;
        }
        for value in values.iter() {
            all.push(Header::new(name.as_str(), value.as_str()));
        }
    }
    all
}

/// A stream that is polled once more after each read.
///
/// The library's decoder loses its wake-up if the trailing line end of a chunked body
/// arrives in two parts: it reads the first and waits without polling for the second. The
/// call would hang until its silence timeout although its answer is complete. The extra
/// wake-up makes the decoder poll again.
#[derive(Debug)]
struct RepolledStream(TcpStream);

impl Read for RepolledStream {
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
