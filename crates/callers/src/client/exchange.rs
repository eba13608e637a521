//! One attempt: writes a request to one router and reads the answer.

use {
    super::{
        pool::Pool,
        repolling_socket::RepollingSocket,
        Answer,
        Call, //
    },
    crate::{
        headers::{
            DEADLINE_MS,
            OUTCOME,
            PROFILE,
            REQUEST_ID,
            SERVICE,
            TICKET,
            WORKSPACE, //
        },
        Refused, //
    },
    answers::check_framing,
    async_h1::client::{
        decode,
        Encoder, //
    },
    futures_lite::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    http_types::{
        headers::{
            HeaderName,
            HeaderValue, //
        },
        Method,
        Url, //
    },
    policy::Outcome,
    std::{
        io,
        net::SocketAddr,
        time::Instant, //
    },
};

/// Callback that receives the chunks of a streamed body.
pub(crate) type OnChunk<'a> = Option<&'a mut (dyn FnMut(&[u8]) + Send)>;

const READ_BYTES: usize = 16 * 1024;

/// The result of one attempt.
pub(crate) enum AttemptResult {
    /// A complete answer, or a rejection.
    Complete(Answer),
    /// The body was aborted after a part of it was passed on, or its last event gives the reason.
    Aborted(Answer),
    /// The request was not sent, so it did not run.
    Unsent,
    /// The request may have been sent, and no complete answer was received.
    Lost,
}

/// The parameters of one attempt.
pub(crate) struct Exchange<'a> {
    pub(crate) pool: &'a Pool,
    pub(crate) router: SocketAddr,
    /// Longest time without progress on the connection.
    pub(crate) idle_timeout: std::time::Duration,
    pub(crate) ends_at: Instant,
}

impl Exchange<'_> {
    pub(crate) async fn run(
        self,
        http: http_types::Request,
        on_chunk: &mut OnChunk<'_>,
    ) -> AttemptResult {
        let method = http.method();
        let Ok(mut socket) = self.pool.get(self.router).await else {
            return AttemptResult::Unsent;
        };
        let mut bytes = Vec::new();
        // A clone of the library's request has no body, so the request itself is encoded.
        let encoded = Encoder::new(http).read_to_end(&mut bytes).await;
        if encoded.is_err() {
            return AttemptResult::Unsent;
        }
        if self.with_timeout(socket.write_all(&bytes)).await.is_err() {
            return AttemptResult::Lost;
        }
        let read = async {
            decode(RepollingSocket(socket.clone()))
                .await
                .map_err(io::Error::other)
        };
        let Ok(mut http) = self.with_timeout(read).await else {
            return AttemptResult::Lost;
        };
        if let Err(e) = check_framing(&http, method) {
            log::debug!("callers: the answer of {} is invalid: {e}", self.router);
            return AttemptResult::Lost;
        }
        let mut answer = parse_head(&http, self.router);
        let streaming = on_chunk.is_some() && http.len().is_none();
        let complete = self.read_body(&mut http, &mut answer, on_chunk).await;
        let close = answer.header("connection") == Some("close");
        if complete && !close {
            self.pool.put(self.router, socket);
        }
        match classify(answer, complete) {
            AttemptResult::Aborted(a)
                if a.refused.is_none() && (a.body.is_empty() || !streaming) =>
            {
                AttemptResult::Lost
            }
            result => result,
        }
    }

    async fn read_body(
        &self,
        http: &mut http_types::Response,
        answer: &mut Answer,
        on_chunk: &mut OnChunk<'_>,
    ) -> bool {
        let streamed = http.len().is_none();
        let mut buf = vec![0; READ_BYTES];
        loop {
            match self.with_timeout(http.read(&mut buf)).await {
                Ok(0) => break,
                Ok(n) => {
                    if let Some(callback) = on_chunk.as_mut().filter(|_| streamed) {
                        callback(&buf[..n]);
                    }
                    answer.body.extend_from_slice(&buf[..n]);
                }
                Err(_) => return false,
            }
        }
        // The library reports no error for a body that is shorter than its `content-length`.
        if http.len().is_some_and(|len| answer.body.len() < len) {
            return false;
        }
        // Other answers are passed on once complete, so that an aborted one can be retried.
        if let Some(callback) = on_chunk.as_mut().filter(|_| !streamed) {
            callback(&answer.body);
        }
        true
    }

    async fn with_timeout<T>(
        &self,
        work: impl std::future::Future<Output = io::Result<T>>,
    ) -> io::Result<T> {
        let left = self.ends_at.saturating_duration_since(Instant::now());
        async_std::io::timeout(left.min(self.idle_timeout), work).await
    }
}

/// Builds the HTTP request of a call.
pub(crate) fn build_request(
    call: &Call,
    router: SocketAddr,
    deadline: Option<Instant>,
    ticket: Option<&str>,
) -> Option<http_types::Request> {
    let mut http = bare_request(&call.method, router, &call.target)?;
    let deadline_ms = deadline.map(|d| {
        let left = d.saturating_duration_since(Instant::now());
        left.as_millis().to_string()
    });
    let router_headers = [
        (SERVICE, Some(call.service.as_str())),
        (WORKSPACE, Some(call.workspace.as_str())),
        (PROFILE, Some(call.profile.as_str())),
        (DEADLINE_MS, deadline_ms.as_deref()),
        (TICKET, ticket),
        (REQUEST_ID, call.id.as_deref()),
    ];
    // The body comes first because setting it also sets a content type.
    http.set_body(call.body.clone());
    http.remove_header("content-type");
    for (name, value) in &call.headers {
        add_header(&mut http, name, value)?;
    }
    for (name, value) in router_headers {
        if let Some(value) = value {
            add_header(&mut http, name, value)?;
        }
    }
    Some(http)
}

/// Builds a request without a body.
pub(crate) fn bare_request(
    method: &str,
    router: SocketAddr,
    target: &str,
) -> Option<http_types::Request> {
    let method: Method = method.parse().ok()?;
    let url = Url::parse(&format!("http://{router}{target}")).ok()?;
    Some(http_types::Request::new(method, url))
}

fn add_header(http: &mut http_types::Request, name: &str, value: &str) -> Option<()> {
    if value.contains(['\r', '\n']) {
        return None;
    }
    let name = HeaderName::from_bytes(name.as_bytes().to_vec()).ok()?;
    let value = HeaderValue::from_bytes(value.as_bytes().to_vec()).ok()?;
    http.append_header(name, value);
    Some(())
}

fn parse_head(http: &http_types::Response, router: SocketAddr) -> Answer {
    let mut headers = Vec::new();
    for (name, values) in http.iter() {
        let name = name.as_str();
        headers.extend(values.iter().map(|v| (name.to_owned(), v.to_string())));
    }
    Answer {
        outcome: Outcome::MayHaveRun,
        status: Some(http.status().into()),
        headers,
        body: Vec::new(),
        refused: None,
        router: Some(router),
        ticket: None,
        attempts: 0,
    }
}

/// Determines the outcome from the head, or from the end of an aborted body.
fn classify(mut answer: Answer, complete: bool) -> AttemptResult {
    if !complete {
        if let Some(refused) = parse_error_event(&answer.body) {
            answer.outcome = refused.outcome;
            answer.refused = Some(refused);
        }
        return AttemptResult::Aborted(answer);
    }
    let head = answer.header(OUTCOME).and_then(|v| v.parse().ok());
    answer.outcome = head.unwrap_or(Outcome::Answered);
    // A ticket's recorded outcome may be `answered` although the answer is no longer stored.
    if answer.status >= Some(400) {
        answer.refused = serde_json::from_slice(&answer.body).ok();
    }
    AttemptResult::Complete(answer)
}

fn parse_error_event(body: &[u8]) -> Option<Refused> {
    let text = std::str::from_utf8(body).ok()?;
    let (_, json) = text.rsplit_once("event: error\ndata: ")?;
    serde_json::from_str(json.trim_end()).ok()
}
