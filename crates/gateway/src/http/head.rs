//! Heads of requests and responses.

use {
    std::{
        fmt,
        mem,
        ops::RangeInclusive,
        str, //
    },
    thiserror::Error, //
};

/// Maximum number of headers in a head.
const HEADERS_MAX: usize = 128;

/// Statuses of responses.
const STATUSES: RangeInclusive<u16> = 100..=599;

/// The status of a response after which the connection carries another protocol.
const SWITCHING_PROTOCOLS: u16 = 101;

/// Memory of a header beside its texts, in bytes: its entry, and the allocator's bookkeeping.
const HEADER_OVERHEAD: usize = mem::size_of::<Header>() + 32;

/// Hop-by-hop headers, which are never forwarded.
const HOP_BY_HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// A header as it was received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Header {
    /// Its name, in the sender's case.
    pub name: String,
    /// Its value, which may not be valid text.
    pub value: Vec<u8>,
}

/// The headers of a message, in order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Headers(pub Vec<Header>);

/// The first line of a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum StartLine {
    Request { method: String, target: String },
    Response { status: u16, reason: String },
}

/// A complete head.
#[derive(Debug, Clone)]
pub(crate) struct Head {
    pub(crate) line: StartLine,
    pub(crate) headers: Headers,
    /// Whether the version is HTTP/1.0, where connections are closed by default.
    pub(crate) http_1_0: bool,
}

/// Why a head is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub(crate) enum HeadError {
    #[error("invalid HTTP/1.1 message: {0}")]
    Malformed(httparse::Error),
    #[error("the status {0:03} is not one of an HTTP/1.1 answer")]
    Status(u16),
    #[error("the head has more than {HEADERS_MAX} headers; send fewer")]
    TooMany,
    #[error("the end of the body can be read in two ways; send one of `content-length` and `transfer-encoding: chunked`, once")]
    Ambiguous,
}

impl Headers {
    /// Returns the first value of a header, if it is valid text.
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.0.iter().find(|h| h.name.eq_ignore_ascii_case(name))?;
        str::from_utf8(&found.value).ok().map(str::trim)
    }

    /// Returns how many headers have this name.
    pub fn count(&self, name: &str) -> usize {
        let named = self.0.iter().filter(|h| h.name.eq_ignore_ascii_case(name));
        named.count()
    }

    /// Removes every header of this name.
    pub fn remove(&mut self, name: &str) {
        self.0.retain(|h| !h.name.eq_ignore_ascii_case(name));
    }

    /// Adds a header.
    pub fn push(&mut self, name: &str, value: impl fmt::Display) {
        self.0.push(Header {
            name: name.to_owned(),
            value: value.to_string().into_bytes(),
        });
    }

    /// Returns whether a list header such as `connection` contains a token.
    pub fn contains_token(&self, name: &str, token: &str) -> bool {
        let all = self.0.iter().filter(|h| h.name.eq_ignore_ascii_case(name));
        all.filter_map(|h| str::from_utf8(&h.value).ok())
            .flat_map(|v| v.split(','))
            .any(|part| part.trim().eq_ignore_ascii_case(token))
    }

    /// Removes hop-by-hop headers, and the length of the body.
    pub(crate) fn strip_hop_by_hop(&mut self) {
        let named: Vec<String> = self
            .get("connection")
            .map(|v| v.split(',').map(|w| w.trim().to_owned()).collect())
            .unwrap_or_default();
        self.0.retain(|h| {
            let hop_by_hop = HOP_BY_HOP.iter().any(|n| h.name.eq_ignore_ascii_case(n));
            let listed = named.iter().any(|n| h.name.eq_ignore_ascii_case(n));
            let framing = h.name.eq_ignore_ascii_case("content-length");
            !hop_by_hop && !listed && !framing
        });
    }
}

impl Head {
    /// Parses the head of a request at the start of `bytes`, and returns it with its length; none
    /// if it is incomplete.
    pub(crate) fn request(bytes: &[u8]) -> Result<Option<(Head, usize)>, HeadError> {
        let mut slots = [httparse::EMPTY_HEADER; HEADERS_MAX];
        let mut parsed = httparse::Request::new(&mut slots);
        let len = match parsed.parse(bytes) {
            Ok(httparse::Status::Complete(len)) => len,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(e) => return Err(e.into()),
        };
        let line = StartLine::Request {
            method: parsed.method.unwrap_or_default().to_owned(),
            target: parsed.path.unwrap_or_default().to_owned(),
        };
        let http_1_0 = parsed.version == Some(0);
        Ok(Some((Head::new(line, parsed.headers, http_1_0), len)))
    }

    /// Parses the head of a response, as [`request`](Head::request) does.
    ///
    /// # Errors
    ///
    /// Also if its status is none that HTTP defines for a client that asks for no other protocol.
    pub(crate) fn response(bytes: &[u8]) -> Result<Option<(Head, usize)>, HeadError> {
        let mut slots = [httparse::EMPTY_HEADER; HEADERS_MAX];
        let mut parsed = httparse::Response::new(&mut slots);
        let len = match parsed.parse(bytes) {
            Ok(httparse::Status::Complete(len)) => len,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(e) => return Err(e.into()),
        };
        let status = parsed.code.unwrap_or_default();
        if !STATUSES.contains(&status) || status == SWITCHING_PROTOCOLS {
            return Err(HeadError::Status(status));
        }
        let line = StartLine::Response {
            status,
            reason: parsed.reason.unwrap_or_default().to_owned(),
        };
        let http_1_0 = parsed.version == Some(0);
        Ok(Some((Head::new(line, parsed.headers, http_1_0), len)))
    }

    fn new(line: StartLine, headers: &[httparse::Header<'_>], http_1_0: bool) -> Head {
        let headers = headers.iter().map(|h| Header {
            name: h.name.to_owned(),
            value: h.value.to_vec(),
        });
        Head {
            line,
            headers: Headers(headers.collect()),
            http_1_0,
        }
    }

    /// Returns about how much memory the head takes, in bytes.
    pub(crate) fn memory(&self) -> usize {
        let line = match &self.line {
            StartLine::Request { method, target } => method.capacity() + target.capacity(),
            StartLine::Response { reason, .. } => reason.capacity(),
        };
        let headers = self.headers.0.iter();
        let texts = headers.map(|h| h.name.capacity() + h.value.capacity() + HEADER_OVERHEAD);
        line + texts.sum::<usize>()
    }

    /// Returns the status of a response, 0 for a request.
    pub(crate) fn status(&self) -> u16 {
        match self.line {
            StartLine::Response { status, .. } => status,
            StartLine::Request { .. } => 0,
        }
    }

    /// Returns whether another response to the same request follows.
    pub(crate) fn is_interim(&self) -> bool {
        (100..200).contains(&self.status())
    }

    /// Returns the method of a request, empty for a response.
    pub(crate) fn method(&self) -> &str {
        match &self.line {
            StartLine::Request { method, .. } => method,
            StartLine::Response { .. } => "",
        }
    }

    /// Returns whether the sender keeps the connection open after this message.
    pub(crate) fn keeps_alive(&self) -> bool {
        match self.http_1_0 {
            true => self.headers.contains_token("connection", "keep-alive"),
            false => !self.headers.contains_token("connection", "close"),
        }
    }

    /// Returns the content length, if the head has one, and whether the body is chunked.
    ///
    /// # Errors
    ///
    /// If two readers could disagree on where the body ends. The rest could then be taken for
    /// another request, which nobody sent (request smuggling).
    pub(crate) fn framing(&self) -> Result<(Option<u64>, bool), HeadError> {
        let lengths = self.headers.count("content-length");
        let codings = self.headers.count("transfer-encoding");
        if lengths > 1 || codings > 1 || (lengths == 1 && codings == 1) {
            return Err(HeadError::Ambiguous);
        }
        if codings == 1 {
            let coding = self.headers.get("transfer-encoding").unwrap_or_default();
            let chunked = coding.eq_ignore_ascii_case("chunked");
            return match chunked {
                true => Ok((None, true)),
                false => Err(HeadError::Ambiguous),
            };
        }
        if lengths == 0 {
            return Ok((None, false));
        }
        let text = self.headers.get("content-length").unwrap_or_default();
        let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
        match text.parse() {
            Ok(n) if digits => Ok((Some(n), false)),
            _ => Err(HeadError::Ambiguous),
        }
    }
}

impl From<httparse::Error> for HeadError {
    fn from(e: httparse::Error) -> HeadError {
        match e {
            httparse::Error::TooManyHeaders => HeadError::TooMany,
            other => HeadError::Malformed(other),
        }
    }
}
