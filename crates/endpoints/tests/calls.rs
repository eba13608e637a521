//! Calls that nothing disturbs.

mod common;

use {
    async_std::task::block_on,
    common::{
        engine,
        plain_call,
        service,
        stream_call,
        text, //
    },
    endpoints::{
        Client,
        Event,
        Options, //
    },
    policy::Outcome,
    standins::{
        engine::expected,
        plain::answer, //
    },
    std::time::Duration,
};

#[test]
fn call_plain() {
    block_on(async {
        let service = service().await;
        let client = Client::new(Options::default());
        let whole = client
            .call(plain_call(service.addr, "a", true))
            .whole()
            .await;
        assert_eq!(whole.end.outcome, Outcome::Answered);
        assert_eq!(whole.status, 200);
        assert_eq!(
            whole.body,
            answer("POST", "/records", b"record a").into_bytes()
        );
        assert_eq!(service.runs()["a"], 1);
    });
}

#[test]
fn call_stream() {
    block_on(async {
        let engine = engine().await;
        let client = Client::new(Options::default());
        let call = stream_call(engine.addr, "a", 12);
        let right = expected(&call.body);
        let whole = client.call(call).whole().await;
        assert_eq!(whole.end.outcome, Outcome::Answered);
        assert_eq!(text(&whole.body), right);
        assert_eq!(whole.end.tokens, 12);
        assert!(whole.end.first.is_some() && whole.end.gap.is_some());
        assert_eq!(engine.runs()["a"], 1);
    });
}

#[test]
fn call_stream_unbuffered() {
    // A broker sees the whole text at once at the end instead of word by word. Each
    // piece of the engine's answer waits in a buffer until the body ends. Cause: a
    // client or decoder that collects the body before it passes anything on. Here the
    // engine falls silent after three tokens, which must arrive all the same.
    block_on(async {
        let engine = engine().await;
        engine
            .faults
            .order(standins::Fault::SilentAfter { after: 3 }, 1);
        let client = Client::new(Options::default());
        let mut call = stream_call(engine.addr, "a", 12);
        call.silence = Duration::from_secs(60);
        let mut answer = client.call(call);
        let mut tokens = Vec::new();
        while tokens.iter().sum::<u32>() < 3 {
            if let Some(Event::Data { tokens: n, .. }) = answer.next().await {
                tokens.push(n);
            }
        }
        assert_eq!(tokens.iter().sum::<u32>(), 3);
    });
}

#[test]
fn call_keeps_connection() {
    block_on(async {
        let service = service().await;
        let client = Client::new(Options::default());
        for id in ["a", "b", "c"] {
            let whole = client
                .call(plain_call(service.addr, id, true))
                .whole()
                .await;
            assert_eq!(whole.end.outcome, Outcome::Answered);
        }
        assert_eq!(service.connections(), 1);
        // What may not run twice takes a connection of its own.
        let whole = client
            .call(plain_call(service.addr, "d", false))
            .whole()
            .await;
        assert_eq!(whole.end.outcome, Outcome::Answered);
        assert_eq!(service.connections(), 2);
    });
}

#[test]
fn load_report() {
    block_on(async {
        let engine = engine().await;
        let client = Client::new(Options::default());
        let load = client.load(engine.addr, Duration::from_secs(10)).await;
        let load = load.expect("a report");
        assert_eq!((load.running, load.waiting, load.capacity), (0, 0, Some(8)));
    });
}
