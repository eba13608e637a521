//! Requests that must not be repeated run at most once, and are reported as "not run" only if they
//! did not run.

use {
    crate::{
        harness::{
            wait_until,
            TestGateway, //
        },
        replica::{
            answer,
            ok_answer,
            Replica,
            Step, //
        },
    },
    std::time::Duration,
};

#[test]
fn once_lost_answer_is_not_retried() {
    // A replica runs a request and its answer is lost. Sent to the next replica, the request would
    // run twice.
    let lost = || Replica::start(|_, _| vec![Step::Close]);
    let (a, b) = (lost(), lost());
    let gw = TestGateway::start(&[("i-1", &a), ("i-2", &b)]);
    let got = gw.get("/once/a", "1");
    assert_eq!(got.status, 502);
    assert_eq!(a.seen().len() + b.seen().len(), 1);
}

#[test]
fn once_time_over_while_it_runs() {
    // A replica runs a request and never answers. If the caller were told "not run" at the route's
    // timeout, it would retry, and the request would run twice.
    let replica = Replica::start(|_, _| vec![Step::UntilClosed]);
    let gw = TestGateway::start(&[("i-1", &replica)]);
    let got = gw.caller().get("/once/a", "1", "X-Deadline: 400\r\n");
    assert_eq!(got.status, 504);
    assert_eq!(got.header("retry-after"), None);
    assert_eq!(replica.seen().len(), 1);
}

#[test]
fn once_rejected_is_tried_elsewhere() {
    // Full replicas report that they did not run the request, so another one may.
    let full = || {
        Replica::start(|_, seen| {
            let id = seen.header("x-id").unwrap();
            let head = format!(
                "HTTP/1.1 503 Busy\r\nX-Id: {id}\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
            );
            vec![Step::Send(head.into_bytes())]
        })
    };
    let (a, b) = (full(), full());
    let gw = TestGateway::start(&[("i-1", &a), ("i-2", &b)]);
    let got = gw.get("/once/a", "1");
    assert_eq!(got.status, 503);
    assert!(got.header("retry-after").is_some());
    assert_eq!(a.seen().len() + b.seen().len(), 2);
}

#[test]
fn lost_attempt_is_not_reported_as_not_run() {
    // The first replica may have run the request, and no other takes it. "Not run" would be true
    // only of the last attempt.
    let lost = Replica::start(|_, _| vec![Step::Close]);
    let gw = TestGateway::start(&[("i-1", &lost)]);
    let got = gw.get("/again/a", "1");
    assert_eq!(got.status, 502);
}

#[test]
fn once_unreached_is_tried_elsewhere() {
    // Nothing listens at this address, so no byte is sent and another replica may run the request.
    let good = Replica::start(|_, seen| vec![Step::Send(ok_answer(seen, "ok"))]);
    let gone = Replica::start(|_, _| vec![]);
    let gw = TestGateway::start(&[("i-1", &good)]);
    {
        let mut store = gw.store.lock().unwrap();
        let mut entry = crate::harness::entry("i-0", &gone);
        entry.addr = "127.0.0.1:1".parse().unwrap();
        store.replicas.push(entry);
    }
    for n in 0..12 {
        assert_eq!(gw.get("/once/a", &n.to_string()).status, 200);
        std::thread::sleep(Duration::from_millis(60));
    }
}

#[test]
fn once_caller_gone_does_not_cancel() {
    // The caller of a request that must not be repeated disconnects. If cancelled, the request may
    // be half done.
    let replica = Replica::start(|_, seen| {
        let bytes = ok_answer(seen, "done");
        let (first, rest) = bytes.split_at(20);
        // Only the second of two writes to a closed connection fails.
        vec![
            Step::Pause(Duration::from_millis(200)),
            Step::Send(first.to_vec()),
            Step::Pause(Duration::from_millis(200)),
            Step::Send(rest.to_vec()),
        ]
    });
    let gw = TestGateway::start(&[("i-1", &replica)]);
    let mut caller = gw.caller();
    caller.send(crate::caller::get_request("/once/a", "1", "").as_bytes());
    wait_until(|| replica.seen().len() == 1);
    drop(caller);
    std::thread::sleep(Duration::from_millis(700));
    assert!(replica.closed().is_empty());
}

#[test]
fn once_failure_passed_on() {
    let replica = Replica::start(|_, seen| {
        vec![Step::Send(answer(
            seen.header("x-id").unwrap(),
            "500 Error",
            "no",
        ))]
    });
    let gw = TestGateway::start(&[("i-1", &replica)]);
    let got = gw.get("/once/a", "1");
    assert_eq!((got.status, got.body.as_str()), (500, "no"));
    assert_eq!(got.header("x-signature"), Some("s-1"));
    assert_eq!(replica.seen().len(), 1);
}

#[test]
fn again_failure_tried_elsewhere() {
    let bad = Replica::start(|_, seen| {
        vec![Step::Send(answer(
            seen.header("x-id").unwrap(),
            "500 Error",
            "no",
        ))]
    });
    let fine = Replica::start(|_, seen| vec![Step::Send(ok_answer(seen, "ok"))]);
    let gw = TestGateway::start(&[("i-1", &bad), ("i-2", &fine)]);
    for n in 0..6 {
        assert_eq!(gw.get("/again/a", &n.to_string()).status, 200);
    }
}

#[test]
fn again_budget_bounds_retries() {
    // Every replica fails. Retrying each request would double the load of a service that is already
    // failing.
    let bad = || {
        Replica::start(|_, seen| {
            vec![Step::Send(answer(
                seen.header("x-id").unwrap(),
                "500 Error",
                "no",
            ))]
        })
    };
    let (a, b) = (bad(), bad());
    let gw = TestGateway::start(&[("i-1", &a), ("i-2", &b)]);
    let mut caller = gw.caller();
    for n in 0..200 {
        assert_eq!(caller.get("/again/a", &n.to_string(), "").status, 500);
    }
    let extra = a.seen().len() + b.seen().len() - 200;
    // The fleet may retry 0.2 of the requests, and 50 more.
    assert!((10..=90).contains(&extra), "{extra}");
}

#[test]
fn again_last_attempt_is_waited_for() {
    // Both replicas are slow. After the only retry of the route, the second attempt must not be
    // abandoned as well before its answer arrives.
    let slow = || {
        Replica::start(|_, seen| {
            vec![
                Step::Pause(Duration::from_millis(1_300)),
                Step::Send(ok_answer(seen, "at last")),
            ]
        })
    };
    let (a, b) = (slow(), slow());
    let gw = TestGateway::start(&[("i-1", &a), ("i-2", &b)]);
    let got = gw.get("/again/a", "1");
    assert_eq!((got.status, got.body.as_str()), (200, "at last"));
    assert_eq!(a.seen().len() + b.seen().len(), 2);
}
