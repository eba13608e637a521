//! What may not be repeated runs at most once, and "not run" is true.

use {
    crate::{
        replica::{
            answer,
            good,
            Replica,
            Step, //
        },
        stage::{
            wait,
            Stage, //
        },
    },
    std::time::Duration,
};

#[test]
fn once_answer_lost() {
    // An importer sees a renewal twice. The replica ran it and its answer was lost; the
    // router sent it to the next.
    let lost = || Replica::start(|_, _| vec![Step::Close]);
    let (a, b) = (lost(), lost());
    let stage = Stage::start(&[("i-1", &a), ("i-2", &b)]);
    let got = stage.get("/once/a", "1");
    assert_eq!(got.status, 502);
    assert_eq!(a.seen().len() + b.seen().len(), 1);
}

#[test]
fn once_time_over_while_it_runs() {
    // The replica runs a binding and its answer never comes. At the route's timeout the
    // caller was told "not run" and asked again: two bindings.
    let replica = Replica::start(|_, _| vec![Step::UntilClosed]);
    let stage = Stage::start(&[("i-1", &replica)]);
    let got = stage.caller().get("/once/a", "1", "X-Deadline: 400\r\n");
    assert_eq!(got.status, 504);
    assert_eq!(got.header("retry-after"), None);
    assert_eq!(replica.seen().len(), 1);
}

#[test]
fn once_turned_away() {
    // Full replicas say that they did not run it, so another may.
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
    let stage = Stage::start(&[("i-1", &a), ("i-2", &b)]);
    let got = stage.get("/once/a", "1");
    assert_eq!(got.status, 503);
    assert!(got.header("retry-after").is_some());
    assert_eq!(a.seen().len() + b.seen().len(), 2);
}

#[test]
fn once_lost_then_nobody() {
    // The first replica may have run it, then no other takes it. "Not run" would be true of
    // the last try only.
    let lost = Replica::start(|_, _| vec![Step::Close]);
    let stage = Stage::start(&[("i-1", &lost)]);
    let got = stage.get("/again/a", "1");
    assert_eq!(got.status, 502);
}

#[test]
fn once_nobody_reached() {
    // Nothing listens there, so no byte was sent and another replica may have it.
    let good = Replica::start(|_, seen| vec![Step::Send(good(seen, "ok"))]);
    let gone = Replica::start(|_, _| vec![]);
    let stage = Stage::start(&[("i-1", &good)]);
    {
        let mut world = stage.world.lock().unwrap();
        let mut entry = crate::stage::entry("i-0", &gone);
        entry.addr = "127.0.0.1:1".parse().unwrap();
        world.replicas.push(entry);
    }
    for n in 0..12 {
        assert_eq!(stage.get("/once/a", &n.to_string()).status, 200);
        std::thread::sleep(Duration::from_millis(60));
    }
}

#[test]
fn once_caller_gone() {
    // The caller of a renewal hangs up. Broken off, it may be half done.
    let replica = Replica::start(|_, seen| {
        let bytes = good(seen, "done");
        let (first, rest) = bytes.split_at(20);
        // Only the second of two writes to a closed connection fails.
        vec![
            Step::Pause(Duration::from_millis(200)),
            Step::Send(first.to_vec()),
            Step::Pause(Duration::from_millis(200)),
            Step::Send(rest.to_vec()),
        ]
    });
    let stage = Stage::start(&[("i-1", &replica)]);
    let mut caller = stage.caller();
    caller.send(crate::caller::get("/once/a", "1", "").as_bytes());
    wait(|| replica.seen().len() == 1);
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
    let stage = Stage::start(&[("i-1", &replica)]);
    let got = stage.get("/once/a", "1");
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
    let fine = Replica::start(|_, seen| vec![Step::Send(good(seen, "ok"))]);
    let stage = Stage::start(&[("i-1", &bad), ("i-2", &fine)]);
    for n in 0..6 {
        assert_eq!(stage.get("/again/a", &n.to_string()).status, 200);
    }
}

#[test]
fn again_budget_bounds_retries() {
    // Every replica fails. Each request that is repeated would double the load of a service
    // that is down already.
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
    let stage = Stage::start(&[("i-1", &a), ("i-2", &b)]);
    let mut caller = stage.caller();
    for n in 0..200 {
        assert_eq!(caller.get("/again/a", &n.to_string(), "").status, 500);
    }
    let extra = a.seen().len() + b.seen().len() - 200;
    // 0.2 of the requests and 50 besides are allowed to the whole fleet.
    assert!((10..=90).contains(&extra), "{extra}");
}

#[test]
fn again_last_try_is_waited_for() {
    // A replica takes long. The route allows one more try, which is used, and then none: the
    // second was given up as well, half a second before its answer came.
    let slow = || {
        Replica::start(|_, seen| {
            vec![
                Step::Pause(Duration::from_millis(1_300)),
                Step::Send(good(seen, "at last")),
            ]
        })
    };
    let (a, b) = (slow(), slow());
    let stage = Stage::start(&[("i-1", &a), ("i-2", &b)]);
    let got = stage.get("/again/a", "1");
    assert_eq!((got.status, got.body.as_str()), (200, "at last"));
    assert_eq!(a.seen().len() + b.seen().len(), 2);
}
