//! Helpers shared by the tests of this package.

#![allow(dead_code, reason = "each test file uses a part of it")]

use {
    async_std::task::sleep,
    endpoints::{
        Call,
        Kind, //
    },
    http_types::Method,
    serde_json::{
        json,
        Value, //
    },
    standins::{
        engine,
        plain, //
    },
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{
            Duration,
            Instant, //
        },
    },
};

/// Starts a plain service that answers at once.
pub async fn service() -> plain::Handle {
    plain::start(plain::Opts::default()).await.expect("a port")
}

/// Starts a fast engine.
pub async fn engine() -> engine::Handle {
    let opts = engine::Opts {
        first: Duration::from_millis(2),
        gap: Duration::from_millis(1),
        ..engine::Opts::default()
    };
    engine::start(opts).await.expect("a port")
}

/// Returns a call to a plain service.
pub fn plain_call(replica: SocketAddr, id: &str, idempotent: bool) -> Call {
    Call {
        id: id.parse().expect("an id"),
        replica,
        method: Method::Post,
        path: "/records".to_owned(),
        headers: Vec::new(),
        body: Arc::from(format!("record {id}").into_bytes()),
        kind: Kind::Plain,
        idempotent,
        deadline: Instant::now() + Duration::from_secs(60),
        silence_timeout: Duration::from_secs(1),
    }
}

/// Returns a streamed call for a text of `tokens` tokens.
pub fn stream_call(replica: SocketAddr, id: &str, tokens: u32) -> Call {
    let body = json!({
        "stream": true,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": format!("draft {id}")}],
    });
    Call {
        path: "/v1/chat/completions".to_owned(),
        body: Arc::from(body.to_string().into_bytes()),
        kind: Kind::Stream,
        ..plain_call(replica, id, true)
    }
}

/// Waits until a condition holds, and panics if it does not in time.
pub async fn eventually(what: &str, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < Duration::from_secs(30), "never: {what}");
        sleep(Duration::from_millis(5)).await;
    }
}

/// Returns the text carried by the events of a complete stream.
pub fn text(body: &[u8]) -> String {
    let body = String::from_utf8(body.to_vec()).expect("text");
    assert!(body.ends_with("data: [DONE]\n\n"), "cut: {body}");
    body.lines()
        .filter_map(|l| l.strip_prefix("data: {"))
        .map(|l| serde_json::from_str(&format!("{{{l}")).expect("a complete event"))
        .map(|v: Value| {
            v["choices"][0]["delta"]["content"]
                .as_str()
                .map(str::to_owned)
        })
        .map(|t| t.expect("a token"))
        .collect()
}
