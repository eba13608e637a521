//! Requests to one chosen router, and their right answers.

use {
    super::wait::wait_for,
    async_std::io::ReadExt,
    async_std::{
        future::timeout,
        net::TcpStream,
        task::{
            self,
            JoinHandle, //
        },
    },
    callers::{
        AddressList,
        Call,
        Reason,
        Refused,
        DEADLINE_MS,
        OUTCOME,
        PROFILE,
        SERVICE,
        TICKET,
        WORKSPACE, //
    },
    http_types::{
        Method,
        Request,
        Url, //
    },
    policy::Outcome,
    standins::{
        engine,
        plain, //
    },
    std::{
        net::SocketAddr,
        time::Duration, //
    },
};

/// After this time without an answer the caller gives up.
const LOST: Duration = Duration::from_secs(30);

/// A request and its right answer.
#[derive(Debug, Clone)]
pub(crate) struct Work {
    pub(crate) call: Call,
    pub(crate) expected: String,
}

/// What a caller knows at the end of one try.
#[derive(Debug, Clone)]
pub(crate) struct Reply {
    pub(crate) outcome: Outcome,
    pub(crate) why: Option<Reason>,
    /// When to come back, in milliseconds.
    pub(crate) retry: Option<u64>,
    pub(crate) body: Vec<u8>,
}

/// Why a try gave its caller no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Loss {
    /// No connection was made.
    Unsent,
    /// The connection broke after the request was sent.
    Cut,
    /// Nothing came for long.
    Silent,
}

/// Makes a streamed request of `tokens` tokens for a model.
pub(crate) fn draft(profile: &str, n: u32, tokens: u32) -> Work {
    let body = serde_json::json!({
        "model": "drafting",
        "stream": true,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": format!("draft number {n}")}],
    });
    let body = body.to_string().into_bytes();
    let expected = engine::expected(&body);
    let call = call("drafting-llm", profile, "/v1/chat/completions", body);
    Work { call, expected }
}

/// Makes a request for the plain service.
pub(crate) fn record(profile: &str, n: u32) -> Work {
    let body = format!("record number {n}").into_bytes();
    let expected = plain::answer("POST", "/records", &body);
    let call = call("broker-desk", profile, "/records", body);
    Work { call, expected }
}

fn call(service: &str, profile: &str, target: &str, body: Vec<u8>) -> Call {
    let mut call = Call::post(
        service.parse().unwrap(),
        "york".parse().unwrap(),
        profile.parse().unwrap(),
        target,
        body,
    );
    call.at_most_once = matches!(profile, "renewal" | "claim");
    call.deadline = Some(Duration::from_secs(20));
    call
}

impl Work {
    /// Tells whether a body is the whole right answer.
    pub(crate) fn is_right(&self, body: &[u8]) -> bool {
        match self.call.service.as_str() {
            "drafting-llm" => text_of(body) == self.expected && ends_whole(body),
            _ => body == self.expected.as_bytes(),
        }
    }
}

fn ends_whole(stream: &[u8]) -> bool {
    String::from_utf8_lossy(stream)
        .trim_end()
        .ends_with("data: [DONE]")
}

/// Returns the text that a stream of chat-completion events carries.
pub(crate) fn text_of(stream: &[u8]) -> String {
    let stream = String::from_utf8_lossy(stream);
    let data = stream.lines().filter_map(|l| l.strip_prefix("data: "));
    let pieces = data.filter_map(|d| {
        let chunk: serde_json::Value = serde_json::from_str(d).ok()?;
        let text = chunk["choices"][0]["delta"]["content"].as_str()?;
        Some(text.to_owned())
    });
    pieces.collect()
}

/// Asks a router for tickets.
pub(crate) async fn tickets(router: SocketAddr, service: &str, n: u32) -> Option<Vec<String>> {
    let url = format!("http://{router}/chervilwind/where?service={service}&tickets={n}");
    let request = Request::new(Method::Get, Url::parse(&url).unwrap());
    let exchange = async {
        let stream = TcpStream::connect(router).await.ok()?;
        let mut response = async_h1::connect(stream, request).await.ok()?;
        response.body_bytes().await.ok()
    };
    let body = timeout(LOST, exchange).await.ok()??;
    let answer: AddressList = serde_json::from_slice(&body).ok()?;
    Some(answer.tickets)
}

/// Sends a request once, on a connection of its own, to the router named.
pub(crate) async fn send(
    router: SocketAddr,
    work: &Work,
    ticket: Option<&str>,
) -> Result<Reply, Loss> {
    let request = request(router, work, ticket);
    let exchange = async {
        let stream = TcpStream::connect(router).await;
        let stream = stream.map_err(|_| Loss::Unsent)?;
        let answer = async_h1::connect(stream, request).await;
        let mut response = answer.map_err(|_| Loss::Cut)?;
        let head = response.header(OUTCOME);
        let head: Option<Outcome> = head.and_then(|v| v.as_str().parse().ok());
        let mut body = Vec::new();
        let whole = response.read_to_end(&mut body).await.is_ok();
        Ok((head, body, whole))
    };
    let exchange = timeout(LOST, exchange).await;
    let (head, body, whole) = exchange.unwrap_or(Err(Loss::Silent))?;
    let refused = refusal(&body);
    // The router breaks off a stream that it can't end, after an event that tells why.
    if !whole && refused.is_none() {
        return Err(Loss::Cut);
    }
    let outcome = head.or(refused.as_ref().map(|r| r.outcome));
    Ok(Reply {
        outcome: outcome.unwrap_or(Outcome::Answered),
        why: refused.as_ref().map(|r| r.reason),
        retry: refused.and_then(|r| r.retry_ms),
        body,
    })
}

fn request(router: SocketAddr, work: &Work, ticket: Option<&str>) -> Request {
    let url = Url::parse(&format!("http://{router}{}", work.call.target)).unwrap();
    let mut request = Request::new(Method::Post, url);
    request.set_body(work.call.body.clone());
    request.insert_header(SERVICE, work.call.service.as_str());
    request.insert_header(WORKSPACE, work.call.workspace.as_str());
    request.insert_header(PROFILE, work.call.profile.as_str());
    if let Some(deadline) = work.call.deadline {
        request.insert_header(DEADLINE_MS, deadline.as_millis().to_string());
    }
    if let Some(ticket) = ticket {
        request.insert_header(TICKET, ticket);
    }
    request
}

/// Finds the refusal that is the whole body, or the last event of a stream.
fn refusal(body: &[u8]) -> Option<Refused> {
    let text = std::str::from_utf8(body).ok()?;
    let json = text.rsplit_once("event: error\ndata: ");
    serde_json::from_str(json.map_or(text, |(_, json)| json).trim_end()).ok()
}

/// Sends a request in a task of its own; cancelling the task hangs up.
pub(crate) fn spawn_send(
    router: SocketAddr,
    work: &Work,
    ticket: Option<&str>,
) -> JoinHandle<Result<Reply, Loss>> {
    let (work, ticket) = (work.clone(), ticket.map(str::to_owned));
    task::spawn(async move { send(router, &work, ticket.as_deref()).await })
}

/// Asks again with the same ticket until its request no longer runs.
pub(crate) fn ask_again(router: SocketAddr, work: &Work, ticket: &str) -> Reply {
    let (reply, _) = wait_for("the ticket's request has ended", || {
        let reply = task::block_on(send(router, work, Some(ticket))).ok()?;
        (reply.why != Some(Reason::TicketRunning)).then_some(reply)
    });
    reply
}
