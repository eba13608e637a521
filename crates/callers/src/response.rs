//! What a router answers.

use {
    crate::{
        headers::{
            passes,
            AT_END,
            OUTCOME,
            REQUEST_ID,
            RETRY_AFTER,
            RETRY_MS, //
        },
        stream_body::StreamBody,
        AddressList, //
        Refused,
        RequestId,
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

/// An answer to a caller.
#[derive(Debug)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// How the request ended. A streamed answer's end tells it instead: give none there.
    pub outcome: Option<Outcome>,
    /// When a refused request may be sent again.
    pub retry: Option<Duration>,
    /// Headers besides the router's own. Those of one connection, such as `connection`, and
    /// names beginning with `chervilwind-` are left out.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Body,
}

/// The body of an answer.
#[derive(Debug)]
pub enum Body {
    /// The whole body.
    Complete(Vec<u8>),
    /// The body as it comes. Give the channel a small bound: it is all that is buffered.
    Stream(Receiver<Piece>),
}

/// One piece of a streamed body.
#[derive(Debug)]
pub enum Piece {
    /// The next bytes, passed on at once as one chunk.
    Data(Vec<u8>),
    /// The body is whole. A channel that closes without it counts as cut.
    End,
    /// The body is cut here. The caller sees the connection end without the last chunk.
    Fail(Refused),
}

impl Response {
    /// Makes an answer with a whole body.
    pub fn complete(status: u16, outcome: Outcome, body: Vec<u8>) -> Response {
        Response {
            status,
            outcome: Some(outcome),
            retry: None,
            headers: Vec::new(),
            body: Body::Complete(body),
        }
    }

    /// Makes an answer whose body follows in pieces.
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
        // These types hold nothing that JSON can't.
        let body = serde_json::to_vec(value).unwrap_or_default();
        Response {
            status,
            outcome: None,
            retry: None,
            headers: vec![("content-type".to_owned(), "application/json".to_owned())],
            body: Body::Complete(body),
        }
    }

    /// Turns the answer into the HTTP library's form.
    pub(crate) fn into_http(self, id: Option<&RequestId>) -> http_types::Response {
        let mut http = http_types::Response::new(known_status(self.status));
        let events = self
            .headers
            .iter()
            .any(|(n, v)| n == "content-type" && v.starts_with("text/event-stream"));
        http.set_body(match self.body {
            Body::Complete(bytes) => http_types::Body::from_bytes(bytes),
            Body::Stream(pieces) => StreamBody::new(pieces, events).into_http(),
        });
        let streamed = http.len().is_none();
        http.remove_header("content-type");
        for (name, value) in self.headers {
            if passes(&name) {
                append(&mut http, &name, value);
            }
        }
        match self.outcome {
            _ if streamed => append(&mut http, OUTCOME, AT_END.to_owned()),
            Some(outcome) => append(&mut http, OUTCOME, outcome.to_string()),
            None => {}
        }
        if let Some(retry) = self.retry {
            let ms = retry.as_millis() as u64;
            append(&mut http, RETRY_AFTER, ms.div_ceil(1_000).to_string());
            append(&mut http, RETRY_MS, ms.to_string());
        }
        if let Some(id) = id {
            append(&mut http, REQUEST_ID, id.to_string());
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

/// Returns the status, or the plain one of its class where the HTTP library knows no such code.
fn known_status(status: u16) -> StatusCode {
    StatusCode::try_from(status)
        .or_else(|_| StatusCode::try_from(status / 100 * 100))
        .unwrap_or(StatusCode::BadGateway)
}

/// Adds a header, or leaves it out where it can't be written.
fn append(http: &mut http_types::Response, name: &str, value: String) {
    // An endpoint's header may hold a line break or bytes that are not ASCII. The library
    // would panic at the one and write the other, which would split the answer in two.
    let clean = !value.contains(['\r', '\n', '\0']) && !name.contains(['\r', '\n', ' ', ':']);
    let pair = (
        HeaderName::from_bytes(name.as_bytes().to_vec()),
        HeaderValue::from_bytes(value.into_bytes()),
    );
    match pair {
        (Ok(name), Ok(value)) if clean => http.append_header(name, value),
        _ => log::debug!("callers: header `{name}` of an answer can't be written, left out"),
    }
}
