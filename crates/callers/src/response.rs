//! Responses to callers.

use {
    crate::{
        headers::{
            is_forwarded,
            AT_END,
            OUTCOME,
            REQUEST_ID,
            RETRY_AFTER,
            RETRY_MS, //
        },
        stream_body::StreamBody,
        AddressList,
        Refused,
        RequestId, //
    },
    async_std::channel::Receiver,
    http_types::{
        headers::{
            HeaderName,
            HeaderValue, //
        },
        StatusCode, //
    },
    policy::Outcome,
    serde::Serialize,
    std::time::Duration, //
};

/// A response to a caller.
#[derive(Debug)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// How the request ended. `None` for a streamed response, whose end determines the outcome.
    pub outcome: Option<Outcome>,
    /// Delay after which a rejected request may be retried.
    pub retry: Option<Duration>,
    /// Additional headers. Hop-by-hop headers such as `connection` and names that start with
    /// `chervilwind-` are not sent.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Body,
}

/// The body of a response.
#[derive(Debug)]
pub enum Body {
    /// The complete body.
    Complete(Vec<u8>),
    /// A streamed body. The capacity of the channel bounds the buffer, so it should be small.
    Stream(Receiver<Piece>),
}

/// One piece of a streamed body.
#[derive(Debug)]
pub enum Piece {
    /// The next bytes, sent at once as one chunk.
    Data(Vec<u8>),
    /// The body is complete. If the channel closes without it, the body counts as aborted.
    End,
    /// The body is aborted. The connection is closed without sending the last chunk.
    Fail(Refused),
}

impl Response {
    /// Creates a response with a complete body.
    pub fn complete(status: u16, outcome: Outcome, body: Vec<u8>) -> Response {
        Response {
            status,
            outcome: Some(outcome),
            retry: None,
            headers: Vec::new(),
            body: Body::Complete(body),
        }
    }

    /// Creates a response with a streamed body.
    pub fn stream(status: u16, pieces: Receiver<Piece>) -> Response {
        Response {
            status,
            outcome: None,
            retry: None,
            headers: Vec::new(),
            body: Body::Stream(pieces),
        }
    }

    /// Adds a header.
    pub fn header(mut self, name: &str, value: impl Into<String>) -> Response {
        self.headers.push((name.to_ascii_lowercase(), value.into()));
        self
    }

    fn json(status: u16, value: &impl Serialize) -> Response {
        // These types contain only values that JSON can represent.
        let body = serde_json::to_vec(value).unwrap_or_default();
        Response {
            status,
            outcome: None,
            retry: None,
            headers: vec![("content-type".to_owned(), "application/json".to_owned())],
            body: Body::Complete(body),
        }
    }

    /// Converts the response to the HTTP library's type.
    pub(crate) fn into_http(self, id: Option<&RequestId>) -> http_types::Response {
        let mut http = http_types::Response::new(supported_status(self.status));
        let is_event_stream = self
            .headers
            .iter()
            .any(|(n, v)| n == "content-type" && v.starts_with("text/event-stream"));
        http.set_body(match self.body {
            Body::Complete(bytes) => http_types::Body::from_bytes(bytes),
            Body::Stream(pieces) => StreamBody::new(pieces, is_event_stream).into_http(),
        });
        let streamed = http.len().is_none();
        http.remove_header("content-type");
        for (name, value) in self.headers {
            if is_forwarded(&name) {
                add_header(&mut http, &name, value);
            }
        }
        match self.outcome {
            _ if streamed => add_header(&mut http, OUTCOME, AT_END.to_owned()),
            Some(outcome) => add_header(&mut http, OUTCOME, outcome.to_string()),
            None => {}
        }
        if let Some(retry) = self.retry {
            let ms = retry.as_millis() as u64;
            add_header(&mut http, RETRY_AFTER, ms.div_ceil(1_000).to_string());
            add_header(&mut http, RETRY_MS, ms.to_string());
        }
        if let Some(id) = id {
            add_header(&mut http, REQUEST_ID, id.to_string());
        }
        http
    }
}

impl From<Refused> for Response {
    fn from(refused: Refused) -> Response {
        let mut response = Response::json(refused.reason.status(), &refused);
        response.outcome = Some(refused.outcome);
        response.retry = refused.retry_ms.map(Duration::from_millis);
        response
    }
}

impl From<&AddressList> for Response {
    fn from(answer: &AddressList) -> Response {
        Response::json(200, answer).header("cache-control", "no-store")
    }
}

/// Returns the status, or the x00 code of its class if the HTTP library does not support it.
fn supported_status(status: u16) -> StatusCode {
    StatusCode::try_from(status)
        .or_else(|_| StatusCode::try_from(status / 100 * 100))
        .unwrap_or(StatusCode::BadGateway)
}

/// Appends a header, or drops it if it can't be encoded.
fn add_header(http: &mut http_types::Response, name: &str, value: String) {
    // An endpoint's header may contain line breaks or bytes that are not ASCII. The library
    // panics at one and writes the other unchecked, which would allow response splitting.
    let is_valid = !value.contains(['\r', '\n', '\0']) && !name.contains(['\r', '\n', ' ', ':']);
    let pair = (
        HeaderName::from_bytes(name.as_bytes().to_vec()),
        HeaderValue::from_bytes(value.into_bytes()),
    );
    match pair {
        (Ok(name), Ok(value)) if is_valid => http.append_header(name, value),
        _ => log::debug!("callers: header `{name}` of a response can't be encoded, dropped"),
    }
}
