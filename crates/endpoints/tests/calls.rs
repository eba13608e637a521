//! Calls to healthy endpoints, and to some that delay or mix up their answers.

mod common;

use {
    async_std::task::{
        block_on,
        spawn, //
    },
    common::{
        engine,
        eventually,
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
        plain::answer,
        Fault, //
    },
    std::time::Duration,
};

#[test]
fn call_plain() {
    block_on(async {
        let service = service().await;
        let client = Client::new(Options::default());
        let received = client
            .call(plain_call(service.addr, "a", true))
            .read_all()
            .await;
        assert_eq!(received.end.outcome, Outcome::Answered);
        assert_eq!(received.status, 200);
        assert_eq!(
            received.body,
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
        let expected_text = expected(&call.body);
        let received = client.call(call).read_all().await;
        assert_eq!(received.end.outcome, Outcome::Answered);
        assert_eq!(text(&received.body), expected_text);
        assert_eq!(received.end.tokens, 12);
        assert!(received.end.first_token.is_some() && received.end.token_gap.is_some());
        assert_eq!(engine.runs()["a"], 1);
    });
}

#[test]
fn call_stream_unbuffered() {
    // Guards against a client or decoder that buffers the body until its end, so that a
    // streamed text arrives all at once. The engine falls silent after three tokens, which must
    // be delivered before that.
    block_on(async {
        let engine = engine().await;
        engine.faults.order(Fault::SilentAfter { after: 3 }, 1);
        let client = Client::new(Options::default());
        let mut call = stream_call(engine.addr, "a", 12);
        call.silence_timeout = Duration::from_secs(60);
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
            let received = client
                .call(plain_call(service.addr, id, true))
                .read_all()
                .await;
            assert_eq!(received.end.outcome, Outcome::Answered);
        }
        assert_eq!(service.connections(), 1);
        // A call that is not idempotent always opens a new connection.
        let received = client
            .call(plain_call(service.addr, "d", false))
            .read_all()
            .await;
        assert_eq!(received.end.outcome, Outcome::Answered);
        assert_eq!(service.connections(), 2);
    });
}

#[test]
fn stream_keeps_connection() {
    block_on(async {
        let engine = engine().await;
        let client = Client::new(Options::default());
        // The connection returns to the pool shortly after the last event.
        for n in 0..100 {
            let before = engine.connections();
            let call = stream_call(engine.addr, &format!("a{n}"), 2);
            client.call(call).read_all().await;
            if engine.connections() == before {
                return;
            }
        }
        panic!("every stream opened a connection");
    });
}

#[test]
fn call_many() {
    // Guards against answers that reach the wrong caller: many calls run concurrently over few
    // pooled connections, and answers are late, doubled or carry the id of another call.
    block_on(async {
        let service = service().await;
        let client = Client::new(Options::default());
        for round in 0..8 {
            for ms in 0..16 {
                service.faults.order(Fault::Delay { ms: ms * 4 }, 1);
                service.faults.pass();
                service.faults.order(Fault::Twice, 1);
                service.faults.order(Fault::WrongId, 1);
            }
            let calls: Vec<_> = (0..64)
                .map(|n| plain_call(service.addr, &format!("{round}.{n}"), true))
                .map(|c| (c.body.clone(), spawn(client.call(c).read_all())))
                .collect();
            let mut answered = 0;
            for (body, call) in calls {
                let received = call.await;
                if received.end.outcome != Outcome::Answered {
                    assert!(received.body.is_empty());
                    continue;
                }
                answered += 1;
                assert_eq!(
                    received.body,
                    answer("POST", "/records", &body).into_bytes()
                );
            }
            assert!(answered >= 32, "{answered} of 64");
        }
        assert!(service.connections() < 8 * 64);
    });
}

#[test]
fn call_hang_up() {
    // Guards against connections that stay open for a caller who hung up while the service was
    // working on the call.
    block_on(async {
        let service = service().await;
        service.faults.order(Fault::Silent, 1);
        let client = Client::new(Options::default());
        let mut call = plain_call(service.addr, "a", false);
        call.silence_timeout = Duration::from_secs(3600);
        let answer = client.call(call);
        eventually("the service runs it", || service.runs().contains_key("a")).await;
        drop(answer);
        eventually("the connection closes", || service.open() == 0).await;
    });
}

#[test]
fn call_large() {
    block_on(async {
        let service = service().await;
        let client = Client::new(Options::default());
        let mut call = plain_call(service.addr, "a", false);
        call.body = vec![b'x'; 8 << 20].into();
        let received = client.call(call.clone()).read_all().await;
        assert_eq!(received.end.outcome, Outcome::Answered);
        assert_eq!(
            received.body,
            answer("POST", "/records", &call.body).into_bytes()
        );
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
