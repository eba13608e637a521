//! Shutdown of an instance, and replicas that leave.

use {
    crate::{
        answers::PATHS,
        caller::get_request,
        harness::{
            wait_until,
            FakeStore,
            StoreFault,
            TestGateway, //
        },
        replica::{
            ok_answer,
            Replica,
            Step, //
        },
    },
    gateway::State,
    std::{
        sync::{
            Arc,
            Mutex, //
        },
        thread,
        time::Duration, //
    },
};

/// Longer than the interval in which routers read the list of replicas, and less than half of the
/// time after which entries expire.
const OUTAGE: Duration = Duration::from_millis(1_500);

fn slow_replica(ms: u64) -> Replica {
    Replica::start(move |_, seen| {
        vec![
            Step::Pause(Duration::from_millis(ms)),
            Step::Send(ok_answer(seen, "done")),
        ]
    })
}

#[test]
fn leaving_finishes_what_runs() {
    let replica = slow_replica(1_500);
    let mut gw = TestGateway::start(&[("i-1", &replica)]);
    let mut caller = gw.caller();
    caller.send(get_request("/once/a", "1", "").as_bytes());
    wait_until(|| replica.seen().len() == 1);
    let ended = gw.end();
    wait_until(|| !gw.ready());
    let got = caller.answer();
    assert_eq!((got.status, got.body.as_str()), (200, "done"));
    assert_eq!(got.header("connection"), Some("close"));
    ended.join().unwrap();
}

#[test]
fn leaving_rejects_late_requests() {
    // A caller used an address for three times as long as allowed, and sends a long request to an
    // instance whose shutdown started 3 s ago. If accepted, the request would be aborted when the
    // instance ends.
    let replica = slow_replica(10);
    let mut gw = TestGateway::start(&[("i-1", &replica)]);
    let ended = gw.end();
    assert_eq!(gw.get("/once/a", "1").status, 200);
    thread::sleep(Duration::from_millis(2_850));
    let got = gw.get("/once/a", "2");
    assert_eq!(got.status, 503);
    assert!(got.header("retry-after").is_some());
    assert_eq!(got.header("connection"), Some("close"));
    assert_eq!(replica.seen().len(), 1);
    ended.join().unwrap();
}

/// A gateway with this grace period.
fn gateway_with_grace(seconds: f64, replica: &Replica) -> TestGateway {
    let store = Arc::new(Mutex::new(FakeStore::with_replica(replica)));
    let gw = TestGateway::start_with(store, "g1", |s| s.bounds.grace_s = seconds);
    gw.wait_ready();
    gw
}

/// Guards against requests that run when the grace period ends and get no answer, so that their callers
/// can't know whether they ran.
#[test]
fn leaving_answers_what_runs_at_its_end() {
    thread::scope(|scope| {
        for path in PATHS {
            scope.spawn(move || assert_answered_at_the_end(path));
        }
    });
}

fn assert_answered_at_the_end(path: &str) {
    let replica = Replica::start(|_, _| vec![Step::UntilClosed]);
    let mut gw = gateway_with_grace(6.0, &replica);
    let mut before = gw.caller();
    before.send(get_request(path, "1", "").as_bytes());
    wait_until(|| !replica.seen().is_empty());
    let ended = gw.end();
    wait_until(|| !gw.ready());
    let mut during = gw.caller();
    during.send(get_request(path, "2", "").as_bytes());
    for caller in [&mut before, &mut during] {
        let got = caller.answer();
        assert_eq!(got.status, 504, "{path}: {got:?}");
        assert_eq!(got.header("connection"), Some("close"));
    }
    ended.join().unwrap();
}

/// Guards against an answer that says "not run" too late, or not truly, when the grace period ends before
/// late requests are rejected.
#[test]
fn leaving_with_a_short_grace_period() {
    for seconds in [0.0, 0.2, 0.5, 1.0] {
        let replica = Replica::start(|_, _| vec![Step::UntilClosed]);
        let mut gw = gateway_with_grace(seconds, &replica);
        let mut runs = gw.caller();
        runs.send(get_request("/once/a", "1", "").as_bytes());
        wait_until(|| replica.seen().len() == 1);
        let ended = gw.end();
        assert_eq!(runs.answer().status, 504, "{seconds} s");
        ended.join().unwrap();
        let late = gw.get("/once/a", "2");
        assert!(matches!(late.status, 0 | 503), "{seconds} s: {late:?}");
        assert_eq!(replica.seen().len(), 1);
    }
}

/// Guards against a replica that works longer than its router lives.
#[test]
fn leaving_hands_on_no_more_time_than_is_left() {
    let replica = slow_replica(10);
    let mut gw = gateway_with_grace(4.0, &replica);
    let ended = gw.end();
    wait_until(|| !gw.ready());
    assert_eq!(gw.get("/once/a", "1").status, 200);
    let left: u64 = replica.seen()[0]
        .header("x-deadline")
        .unwrap()
        .parse()
        .unwrap();
    assert!(left < 4_000, "{left} ms");
    ended.join().unwrap();
}

#[test]
fn leaving_is_not_advertised() {
    let replica = slow_replica(10);
    let mut gw = TestGateway::start(&[("i-1", &replica)]);
    let ask = |gw: &TestGateway| {
        let mut caller = crate::caller::Caller::open(gw.settings.listen.addresses);
        caller.get("/addresses", "-", "")
    };
    assert_eq!(ask(&gw).body, gw.settings.listen.callers.to_string());
    let ended = gw.end();
    wait_until(|| ask(&gw).status == 503);
    ended.join().unwrap();
}

#[test]
fn replica_that_drains_gets_nothing_new() {
    let (a, b) = (slow_replica(1), slow_replica(1));
    let gw = TestGateway::start(&[("i-1", &a), ("i-2", &b)]);
    gw.store.lock().unwrap().replicas[0].state = State::Draining;
    wait_until(|| {
        let before = a.seen().len();
        (0..6).all(|n| gw.get("/again/a", &n.to_string()).status == 200) && a.seen().len() == before
    });
}

#[test]
fn store_down_changes_nothing() {
    // The store is down for seconds and its entries expire. When it is back, its list is empty
    // until the replicas have renewed their entries; they are running all the time.
    for how in StoreFault::ALL {
        let replica = slow_replica(1);
        let gw = TestGateway::start(&[("i-1", &replica)]);
        gw.store.lock().unwrap().fault = Some(how);
        thread::sleep(OUTAGE);
        assert_eq!(gw.get("/once/a", "1").status, 200);
        let list = {
            let mut store = gw.store.lock().unwrap();
            store.fault = None;
            std::mem::take(&mut store.replicas)
        };
        for n in 0..8 {
            assert_eq!(gw.get("/once/a", &format!("2{n}")).status, 200);
            thread::sleep(Duration::from_millis(100));
        }
        gw.store.lock().unwrap().replicas = list;
        thread::sleep(Duration::from_millis(500));
        assert_eq!(gw.get("/once/a", "3").status, 200);
    }
}
