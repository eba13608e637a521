//! Tests that the simulated endpoints behave like real ones.

mod common;

use {
    async_std::task::{
        block_on,
        sleep,
        spawn, //
    },
    common::{
        engine,
        eventually,
        plain_call,
        service,
        stream_call, //
    },
    endpoints::{
        CallError,
        Client,
        Options, //
    },
    policy::Outcome,
    standins::{
        engine::Opts,
        Fault, //
    },
    std::time::Duration,
};

#[test]
fn engine_admits_all() {
    block_on(async {
        let opts = Opts {
            capacity: 2,
            ..Opts::default()
        };
        let engine = standins::engine::start(opts).await.expect("a port");
        let client = Client::new(Options::default());
        let calls: Vec<_> = (0..6)
            .map(|n| {
                spawn(
                    client
                        .call(stream_call(engine.addr, &n.to_string(), 20))
                        .read_all(),
                )
            })
            .collect();
        for call in calls {
            assert_eq!(call.await.end.outcome, Outcome::Answered);
        }
        eventually("the engine is idle", || engine.load().running == 0).await;
        let busy = engine.busy();
        assert_eq!((busy.peak, busy.tokens, busy.capacity), (6, 120, 2));
        // More requests ran than the capacity; usage counts only up to the capacity.
        assert!(busy.admitted > busy.busy, "{busy:?}");
        assert!(busy.busy <= busy.elapsed * 2.0, "{busy:?}");
        // Six concurrent requests take three times as long per token as two.
        let alone = 6.0 * (0.020 + 19.0 * 0.005);
        assert!(busy.admitted > alone * 2.0, "{busy:?}");
    });
}

#[test]
fn engine_stops_after_lost_connection() {
    block_on(async {
        let opts = Opts {
            linger: Duration::from_millis(50),
            ..Opts::default()
        };
        let engine = standins::engine::start(opts).await.expect("a port");
        engine.faults.order(Fault::ResetUnanswered, 1);
        let mut call = stream_call(engine.addr, "a", 100_000);
        call.idempotent = false;
        let end = Client::new(Options::default())
            .call(call)
            .read_all()
            .await
            .end;
        assert_eq!(end.outcome, Outcome::MayHaveRun);
        eventually("the engine stops", || {
            engine.load().running + engine.load().waiting == 0
        })
        .await;
    });
}

#[test]
fn engine_leaving_finishes() {
    // A leaving engine finishes running requests, also if they are resumed meanwhile.
    block_on(async {
        let engine = engine().await;
        engine.faults.order(Fault::Cut { after: 4 }, 1);
        let client = Client::new(Options::default());
        let call = spawn(client.call(stream_call(engine.addr, "a", 60)).read_all());
        eventually("the engine runs it", || engine.runs().contains_key("a")).await;
        engine.leave(true);
        assert_eq!(call.await.end.outcome, Outcome::Answered);
        let end = client
            .call(stream_call(engine.addr, "b", 60))
            .read_all()
            .await
            .end;
        assert_eq!((end.outcome, end.leaving), (Outcome::NotRun, true));
    });
}

#[test]
fn fault_by_admin_request() {
    block_on(async {
        let service = service().await;
        let client = Client::new(Options::default());
        let mut order = plain_call(service.addr, "order", false);
        order.path = "/admin/fault".to_owned();
        order.body = br#"{"fault": {"kind": "cut", "after": 3}, "count": 2}"#[..].into();
        assert_eq!(client.call(order).read_all().await.status, 200);
        for (id, cause) in [
            ("a", Some(CallError::Truncated)),
            ("b", Some(CallError::Truncated)),
            ("c", None),
        ] {
            let end = client
                .call(plain_call(service.addr, id, false))
                .read_all()
                .await
                .end;
            assert_eq!(end.cause, cause);
        }
    });
}

#[test]
fn load_lags() {
    block_on(async {
        let opts = Opts {
            lag: Duration::from_secs(3600),
            ..Opts::default()
        };
        let engine = standins::engine::start(opts).await.expect("a port");
        let client = Client::new(Options::default());
        let timeout = Duration::from_secs(10);
        client.load(engine.addr, timeout).await.expect("a report");
        let call = spawn(
            client
                .call(stream_call(engine.addr, "a", 100_000))
                .read_all(),
        );
        eventually("the engine runs it", || engine.runs().contains_key("a")).await;
        sleep(Duration::from_millis(1)).await;
        let load = client.load(engine.addr, timeout).await.expect("a report");
        assert_eq!((load.running, load.waiting), (0, 0));
        call.cancel().await;
    });
}
