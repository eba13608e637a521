//! One try: a request written to one router, and its answer read.

use {
    super::{
        eager::Eager,
        pool::Pool,
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

/// What takes a streamed body, piece by piece.
pub(crate) type OnChunk<'a> = Option<&'a mut (dyn FnMut(&[u8]) + Send)>;

const READ_BYTES: usize = 16 * 1024;

/// What came of one try.
pub(crate) enum Tried {
    /// A whole answer, or a refusal.
    Whole(Answer),
    /// The body was cut after a part of it was passed on, or its last event tells why.
    Cut(Answer),
    /// No connection was made, so nothing ran.
    Unsent,
    /// It was sent, and no answer came.
    Lost,
}

/// What one try needs.
pub(crate) struct Exchange<'a> {
    pub(crate) pool: &'a Pool,
    pub(crate) router: SocketAddr,
    /// Longest time without a byte.
    pub(crate) idle_timeout: std::time::Duration,
    pub(crate) until: Instant,
}

impl Exchange<'_> {
    pub(crate) async fn run(self, http: http_types::Request, on_chunk: &mut OnChunk<'_>) -> Tried {
        let Ok(mut socket) = self.pool.get(self.router).await else {
            return Tried::Unsent;
        };
        let mut bytes = Vec::new();
        // The library's copy of a request has no body, so the request itself is encoded.
        let encoded = Encoder::new(http).read_to_end(&mut bytes).await;
        if encoded.is_err() {
            return Tried::Unsent;
        }
        if self.bounded(socket.write_all(&bytes)).await.is_err() {
            return Tried::Lost;
        }
        let read = async {
            decode(Eager(socket.clone()))
                .await
                .map_err(io::Error::other)
        };
        let Ok(mut http) = self.bounded(read).await else {
            return Tried::Lost;
        };
        let mut answer = head_of(&http, self.router);
        let begun = on_chunk.is_some() && http.len().is_none();
        let whole = self.body(&mut http, &mut answer, on_chunk).await;
        let close = answer.header("connection") == Some("close");
        if whole && !close {
            self.pool.put(self.router, socket);
        }
        match settle(answer, whole) {
            Tried::Cut(a) if a.refused.is_none() && (a.body.is_empty() || !begun) => Tried::Lost,
            tried => tried,
        }
    }

    async fn body(
        &self,
        http: &mut http_types::Response,
        answer: &mut Answer,
        on_chunk: &mut OnChunk<'_>,
    ) -> bool {
        let streamed = http.len().is_none();
        let mut buf = vec![0; READ_BYTES];
        loop {
            match self.bounded(http.read(&mut buf)).await {
                Ok(0) => break,
                Ok(n) => {
                    if let Some(f) = on_chunk.as_mut().filter(|_| streamed) {
                        f(&buf[..n]);
                    }
                    answer.body.extend_from_slice(&buf[..n]);
                }
                Err(_) => return false,
            }
        }
        // The library takes a body that ends early for a whole one.
        if http.len().is_some_and(|len| answer.body.len() < len) {
            return false;
        }
        // A whole answer is passed on only once it is here, so that a cut one can be asked again.
        if let Some(f) = on_chunk.as_mut().filter(|_| !streamed) {
            f(&answer.body);
        }
        true
    }

    async fn bounded<T>(
        &self,
        work: impl std::future::Future<Output = io::Result<T>>,
    ) -> io::Result<T> {
        let left = self.until.saturating_duration_since(Instant::now());
        async_std::io::timeout(left.min(self.idle_timeout), work).await
    }
}

/// Makes the HTTP request of a call.
pub(crate) fn request_of(
    call: &Call,
    router: SocketAddr,
    until: Option<Instant>,
    ticket: Option<&str>,
) -> Option<http_types::Request> {
    let mut http = plain(&call.method, router, &call.target)?;
    let deadline = until.map(|u| {
        let left = u.saturating_duration_since(Instant::now());
        left.as_millis().to_string()
    });
    let ours = [
        (SERVICE, Some(call.service.as_str())),
        (WORKSPACE, Some(call.workspace.as_str())),
        (PROFILE, Some(call.profile.as_str())),
        (DEADLINE_MS, deadline.as_deref()),
        (TICKET, ticket),
        (REQUEST_ID, call.id.as_deref()),
    ];
    // The body first: it would set a content type of its own.
    http.set_body(call.body.clone());
    http.remove_header("content-type");
    for (name, value) in &call.headers {
        add(&mut http, name, value)?;
    }
    for (name, value) in ours {
        if let Some(value) = value {
            add(&mut http, name, value)?;
        }
    }
    Some(http)
}

/// Makes a request without a body.
pub(crate) fn plain(method: &str, router: SocketAddr, target: &str) -> Option<http_types::Request> {
    let method: Method = method.parse().ok()?;
    let url = Url::parse(&format!("http://{router}{target}")).ok()?;
    Some(http_types::Request::new(method, url))
}

fn add(http: &mut http_types::Request, name: &str, value: &str) -> Option<()> {
    if value.contains(['\r', '\n']) {
        return None;
    }
    let name = HeaderName::from_bytes(name.as_bytes().to_vec()).ok()?;
    let value = HeaderValue::from_bytes(value.as_bytes().to_vec()).ok()?;
    http.append_header(name, value);
    Some(())
}

fn head_of(http: &http_types::Response, router: SocketAddr) -> Answer {
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

/// Finds the outcome from the head, or from how the body ended.
fn settle(mut answer: Answer, whole: bool) -> Tried {
    if !whole {
        if let Some(refused) = last_event(&answer.body) {
            answer.outcome = refused.outcome;
            answer.refused = Some(refused);
        }
        return Tried::Cut(answer);
    }
    let head = answer.header(OUTCOME).and_then(|v| v.parse().ok());
    answer.outcome = head.unwrap_or(Outcome::Answered);
    // A ticket's recorded outcome may be `answered` though the answer itself is gone.
    if answer.status >= Some(400) {
        answer.refused = serde_json::from_slice(&answer.body).ok();
    }
    Tried::Whole(answer)
}

fn last_event(body: &[u8]) -> Option<Refused> {
    let text = std::str::from_utf8(body).ok()?;
    let (_, json) = text.rsplit_once("event: error\ndata: ")?;
    serde_json::from_str(json.trim_end()).ok()
}
