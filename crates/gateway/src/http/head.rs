//! Heads of requests and responses.

use {
    std::{
        fmt,
        str, //
    },
    thiserror::Error, //
};

/// Most headers in a head.
const HEADERS_MAX: usize = 128;

/// Headers that concern one connection only and are never passed on.
const ONE_CONNECTION: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// One header, as it came.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Header {
    /// Its name, in the sender's case.
    pub name: String,
    /// Its value, which need not be text.
    pub value: Vec<u8>,
}

/// The headers of a message, in order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Headers(pub Vec<Header>);

/// The first line of a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Line {
    Request { method: String, target: String },
    Response { status: u16, reason: String },
}

/// A head that was read whole.
#[derive(Debug, Clone)]
pub(crate) struct Head {
    pub(crate) line: Line,
    pub(crate) headers: Headers,
    /// HTTP/1.0, which closes by default.
    pub(crate) old: bool,
}

/// Why bytes are no head.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub(crate) enum HeadError {
    #[error("this is no HTTP/1.1 message ({0}); check what is sent")]
    Malformed(httparse::Error),
    #[error("the head has more than {HEADERS_MAX} headers; send fewer")]
    TooMany,
    #[error("the end of the body can be read in two ways; send one of `content-length` and `transfer-encoding: chunked`, once")]
    Ambiguous,
}

impl Headers {
    /// Returns the first value of a header, where it is text.
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.0.iter().find(|h| h.name.eq_ignore_ascii_case(name))?;
        str::from_utf8(&found.value).ok().map(str::trim)
    }

    /// Returns how often a header stands there.
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

    /// Tells whether a list such as `connection` names a word.
    pub fn lists(&self, name: &str, word: &str) -> bool {
        let all = self.0.iter().filter(|h| h.name.eq_ignore_ascii_case(name));
        all.filter_map(|h| str::from_utf8(&h.value).ok())
            .flat_map(|v| v.split(','))
            .any(|part| part.trim().eq_ignore_ascii_case(word))
    }

    /// Removes what concerns one connection only, and what frames the body.
    pub(crate) fn strip(&mut self) {
        let named: Vec<String> = self
            .get("connection")
            .map(|v| v.split(',').map(|w| w.trim().to_owned()).collect())
            .unwrap_or_default();
        self.0.retain(|h| {
            let one = ONE_CONNECTION
                .iter()
                .any(|n| h.name.eq_ignore_ascii_case(n));
            let listed = named.iter().any(|n| h.name.eq_ignore_ascii_case(n));
            let framing = h.name.eq_ignore_ascii_case("content-length");
            !one && !listed && !framing
        });
    }
}

impl Head {
    /// Reads the head of a request that starts `bytes`, and tells its length; none where more
    /// bytes are needed.
    pub(crate) fn request(bytes: &[u8]) -> Result<Option<(Head, usize)>, HeadError> {
        let mut slots = [httparse::EMPTY_HEADER; HEADERS_MAX];
        let mut parsed = httparse::Request::new(&mut slots);
        let len = match parsed.parse(bytes) {
            Ok(httparse::Status::Complete(len)) => len,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(e) => return Err(e.into()),
        };
        let line = Line::Request {
            method: parsed.method.unwrap_or_default().to_owned(),
            target: parsed.path.unwrap_or_default().to_owned(),
        };
        let old = parsed.version == Some(0);
        Ok(Some((Head::new(line, parsed.headers, old), len)))
    }

    /// Reads the head of a response, as [`request`](Head::request) does.
    pub(crate) fn response(bytes: &[u8]) -> Result<Option<(Head, usize)>, HeadError> {
        let mut slots = [httparse::EMPTY_HEADER; HEADERS_MAX];
        let mut parsed = httparse::Response::new(&mut slots);
        let len = match parsed.parse(bytes) {
            Ok(httparse::Status::Complete(len)) => len,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(e) => return Err(e.into()),
        };
        let line = Line::Response {
            status: parsed.code.unwrap_or_default(),
            reason: parsed.reason.unwrap_or_default().to_owned(),
        };
        let old = parsed.version == Some(0);
        Ok(Some((Head::new(line, parsed.headers, old), len)))
    }

    fn new(line: Line, headers: &[httparse::Header<'_>], old: bool) -> Head {
        let headers = headers.iter().map(|h| Header {
            name: h.name.to_owned(),
            value: h.value.to_vec(),
        });
        Head {
            line,
            headers: Headers(headers.collect()),
            old,
        }
    }

    /// Returns the status of a response, 0 of a request.
    pub(crate) fn status(&self) -> u16 {
        match self.line {
            Line::Response { status, .. } => status,
            Line::Request { .. } => 0,
        }
    }

    /// Tells whether the sender keeps the connection open after this message.
    pub(crate) fn keeps(&self) -> bool {
        match self.old {
            true => self.headers.lists("connection", "keep-alive"),
            false => !self.headers.lists("connection", "close"),
        }
    }

    /// Returns the length that the head gives the body, and whether it comes in chunks.
    ///
    /// # Errors
    ///
    /// Where two readers could take the body to end at different places. The rest would be
    /// read as a request of its own, that nobody sent.
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
