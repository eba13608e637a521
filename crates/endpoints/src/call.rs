//! A call to an endpoint and its id.

use {
    http_types::Method,
    std::{
        fmt,
        net::SocketAddr,
        str::FromStr,
        sync::Arc,
        time::{
            Duration,
            Instant, //
        },
    },
    thiserror::Error, //
};

/// Longest id, in bytes.
const ID_MAX_BYTES: usize = 128;

/// The id of one call, unique in the fleet; the answer must echo it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct CallId(Arc<str>);

/// The text is not a valid call id.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("`{0}` is no id of a call; use 1 to {ID_MAX_BYTES} letters, digits or any of `-_.:`")]
pub struct CallIdError(String);

/// How an endpoint answers a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// With one response.
    Plain,
    /// With a stream of server-sent events, which can be resumed and cancelled.
    Stream,
}

/// A header field of a request or an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Header {
    /// Its name, in lower case.
    pub name: String,
    /// Its value.
    pub value: String,
}

/// One call to one endpoint.
#[derive(Debug, Clone)]
pub struct Call {
    /// Its id.
    pub id: CallId,
    /// The endpoint that is to run it.
    pub replica: SocketAddr,
    /// The method.
    pub method: Method,
    /// The path and query, from `/` on.
    pub path: String,
    /// Headers to forward; the client sets those that frame the message.
    pub headers: Vec<Header>,
    /// The complete body.
    pub body: Arc<[u8]>,
    /// How it is answered.
    pub kind: Kind,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// When the caller stops waiting for the answer.
    pub deadline: Instant,
    /// The shortest time without a byte after which the endpoint counts as silent.
    pub silence_timeout: Duration,
}

impl CallId {
    /// Returns the id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for CallId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

impl FromStr for CallId {
    type Err = CallIdError;

    fn from_str(s: &str) -> Result<CallId, CallIdError> {
        let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
        if s.is_empty() || s.len() > ID_MAX_BYTES || !s.chars().all(allowed) {
            return Err(CallIdError(s.to_owned()));
        }
        Ok(CallId(Arc::from(s)))
    }
}

impl Header {
    /// Creates a header field with a lower-case name.
    ///
    /// # Examples
    ///
    /// ```
    /// let h = endpoints::Header::new("Accept", "text/plain");
    /// assert_eq!(h.name, "accept");
    /// ```
    pub fn new(name: &str, value: &str) -> Header {
        Header {
            name: name.to_ascii_lowercase(),
            value: value.to_owned(),
        }
    }
}
