//! Replicas that announce in their answers that they leave, or that they want no requests for a
//! while.

use {
    crate::{
        caller::get_request,
        fleet::start_pair_with,
        harness::{
            entry,
            wait_until,
            FakeStore,
            TestGateway, //
        },
        replica::{
            answer,
            events,
            ok_answer,
            stream_head,
            Replica,
            SeenRequest,
            Step, //
        },
    },
    policy::StartedAt,
    std::{
        thread,
        time::{
            Duration,
            Instant, //
        },
    },
};

/// Longer than a peer's report of a departure is trusted more than the list, and several reads of
/// the list.
const SEVERAL_LISTS: Duration = Duration::from_millis(3_500);
/// Time after a rejection in which requests that were on their way may still arrive.
const IN_FLIGHT: Duration = Duration::from_millis(500);
/// Requests that may arrive between that and the end of the pause.
const MAX_LATE: usize = 2;

/// A replica that answers later than others, so that it is not preferred.
fn slow() -> Replica {
    Replica::start(|_, seen| {
        vec![
            Step::Pause(Duration::from_millis(150)),
            Step::Send(ok_answer(seen, "ok")),
        ]
    })
}

/// Inserts header lines into an answer.
fn with_headers(answer: &[u8], lines: &str) -> Vec<u8> {
    let text = String::from_utf8(answer.to_vec()).unwrap();
    text.replacen("\r\n", &format!("\r\n{lines}"), 1)
        .into_bytes()
}

fn leaving(answer: &[u8]) -> Step {
    Step::Send(with_headers(answer, "X-Leaving: 1\r\n"))
}

fn id(seen: &SeenRequest) -> &str {
    seen.header("x-id").unwrap()
}

/// A rejection without having run the request, with a time to wait.
fn rejected(seen: &SeenRequest, seconds: u32) -> Step {
    let lines = format!("X-Not-Run: 1\r\nRetry-After: {seconds}\r\n");
    Step::Send(with_headers(&answer(id(seen), "503 Busy", ""), &lines))
}

/// A replica that is preferred to a slow one. It answers `told`, the request in which it announces
/// something, by the script.
fn quick(told: impl Fn(&SeenRequest) -> Vec<Step> + Send + Sync + 'static) -> Replica {
    Replica::start(move |_, seen| match id(seen) {
        "told" => told(seen),
        _ => vec![Step::Send(ok_answer(seen, "ok"))],
    })
}

/// Sends requests until a replica has had several, so that the gateway knows how quick it is.
fn warm_up(gw: &TestGateway, replica: &Replica) {
    let before = replica.seen().len();
    wait_until(|| {
        gw.get("/again/a", "warm");
        replica.seen().len() > before + 5
    });
}

/// Sends the request in which the replica announces something, and returns how many requests it
/// has had then.
fn announce(gw: &TestGateway, replica: &Replica, path: &str) -> usize {
    warm_up(gw, replica);
    wait_until(|| {
        gw.get(path, "told");
        replica.seen().iter().any(|seen| id(seen) == "told")
    });
    replica.seen().len()
}

/// Sends requests for a while; all are answered.
fn keep_asking(gw: &TestGateway, span: Duration) {
    let begun = Instant::now();
    while begun.elapsed() < span {
        assert_eq!(gw.get("/again/a", "1").status, 200);
    }
}

/// The ways in which an answer of a leaving replica can arrive.
#[derive(Debug, Clone, Copy)]
enum Arrival {
    Success,
    Error,
    Rejection,
    Unsigned,
    StreamHead,
    /// An extra answer to an earlier request on the same connection.
    Extra,
}

impl Arrival {
    const ALL: [Arrival; 6] = [
        Arrival::Success,
        Arrival::Error,
        Arrival::Rejection,
        Arrival::Unsigned,
        Arrival::StreamHead,
        Arrival::Extra,
    ];

    fn steps(self, seen: &SeenRequest) -> Vec<Step> {
        let ok = ok_answer(seen, "ok");
        match self {
            Arrival::Success => vec![leaving(&ok)],
            Arrival::Error => vec![leaving(&answer(id(seen), "500 Error", "failed"))],
            Arrival::Rejection => {
                let busy = answer(id(seen), "503 Busy", "");
                vec![leaving(&with_headers(&busy, "X-Not-Run: 1\r\n"))]
            }
            Arrival::Unsigned => {
                let id = id(seen);
                let head = format!("HTTP/1.1 200 OK\r\nX-Id: {id}\r\nContent-Length: 0\r\n\r\n");
                vec![leaving(head.as_bytes())]
            }
            Arrival::StreamHead => vec![
                leaving(&stream_head(seen)),
                Step::Send(events(1, 2)),
                Step::Send(b"0\r\n\r\n".to_vec()),
            ],
            Arrival::Extra => vec![leaving(&answer("earlier", "200 OK", "")), Step::Send(ok)],
        }
    }
}

/// Guards against requests to a replica whose list entry says nothing of what it announced in an
/// answer, whatever kind of answer that was.
#[test]
fn leaving_in_any_answer() {
    for arrival in Arrival::ALL {
        let a = quick(move |seen| arrival.steps(seen));
        let b = slow();
        let gw = TestGateway::start(&[("i-1", &a), ("i-2", &b)]);
        let path = match arrival {
            Arrival::StreamHead => "/stream/a",
            _ => "/again/a",
        };
        let before = announce(&gw, &a, path);
        for n in 0..10 {
            assert_eq!(gw.get("/again/a", &n.to_string()).status, 200);
        }
        assert_eq!(a.seen().len(), before, "{arrival:?}");
    }
}

/// Guards against lists that are older than the announcement, and take it back.
#[test]
fn leaving_outlives_lists() {
    let a = quick(|seen| vec![leaving(&ok_answer(seen, "ok"))]);
    let b = slow();
    let gw = TestGateway::start(&[("i-1", &a), ("i-2", &b)]);
    let before = announce(&gw, &a, "/again/a");
    keep_asking(&gw, SEVERAL_LISTS);
    assert_eq!(a.seen().len(), before);
}

/// Guards against requests of routers that got no answer of the leaving replica themselves.
#[test]
fn leaving_from_a_peer() {
    let a = quick(|seen| vec![leaving(&ok_answer(seen, "ok"))]);
    let b = slow();
    let first = TestGateway::start(&[("i-1", &a), ("i-2", &b)]);
    let store = FakeStore {
        replicas: vec![entry("i-1", &a), entry("i-2", &b)],
        ..FakeStore::with_replica(&a)
    };
    let second = start_pair_with(&first, store, |_| {});
    second.wait_ready();
    warm_up(&second, &a);
    announce(&first, &a, "/again/a");
    wait_until(|| {
        let before = a.seen().len();
        (0..10).all(|n| second.get("/again/a", &n.to_string()).status == 200)
            && a.seen().len() == before
    });
    let before = a.seen().len();
    keep_asking(&second, SEVERAL_LISTS);
    assert_eq!(a.seen().len(), before);
}

/// Guards against a replica without requests after it restarted under its id.
#[test]
fn leaving_of_an_earlier_start() {
    let a = quick(|seen| vec![leaving(&ok_answer(seen, "ok"))]);
    let b = slow();
    let gw = TestGateway::start(&[("i-1", &a), ("i-2", &b)]);
    let before = announce(&gw, &a, "/again/a");
    gw.store.lock().unwrap().replicas[0].started_at = Some(StartedAt(1_700_000_000_000));
    wait_until(|| {
        gw.get("/again/a", "1");
        a.seen().len() > before
    });
}

/// Guards against a flood of requests to a replica that rejects them and asks for a pause.
#[test]
fn pause_after_a_rejection() {
    let pause = Duration::from_secs(3);
    let a = quick(|seen| vec![rejected(seen, 3)]);
    let b = slow();
    let gw = TestGateway::start(&[("i-1", &a), ("i-2", &b)]);
    announce(&gw, &a, "/again/a");
    keep_asking(&gw, pause);
    let seen = a.seen();
    let asked = seen.iter().find(|seen| id(seen) == "told").unwrap().arrived;
    let late = seen.iter().filter(|seen| {
        let since = seen.arrived.saturating_duration_since(asked);
        since > IN_FLIGHT && since < pause
    });
    assert!(late.count() <= MAX_LATE);
    // It gets requests again after the pause.
    let before = seen.len();
    wait_until(|| {
        gw.get("/again/a", "1");
        a.seen().len() > before
    });
}

/// Guards against requests that wait, and callers that return too soon, while no replica wants any.
#[test]
fn pause_of_all_replicas() {
    let a = Replica::start(|_, seen| vec![rejected(seen, 30)]);
    let gw = TestGateway::start(&[("i-1", &a)]);
    let begun = Instant::now();
    for n in 0..4 {
        let got = gw.get("/once/a", &n.to_string());
        assert_eq!(got.status, 503);
        let wait: f64 = got.header("retry-after").unwrap().parse().unwrap();
        let least = 30.0 - begun.elapsed().as_secs_f64();
        assert!(wait >= least && wait <= 60.0, "{wait} of {least}");
    }
    assert_eq!(a.seen().len(), 1);
}

/// Guards against a pause that ends with the answer to a request that was sent before it.
#[test]
fn pause_outlives_earlier_answers() {
    let a = Replica::start(|_, seen| match id(seen) {
        "early" => vec![
            Step::Pause(Duration::from_millis(800)),
            Step::Send(ok_answer(seen, "ok")),
        ],
        _ => vec![rejected(seen, 30)],
    });
    let gw = TestGateway::start(&[("i-1", &a)]);
    let mut early = gw.caller();
    early.send(get_request("/once/a", "early", "").as_bytes());
    wait_until(|| a.seen().len() == 1);
    assert_eq!(gw.get("/once/a", "1").status, 503);
    assert_eq!(early.answer().status, 200);
    for n in 2..6 {
        assert_eq!(gw.get("/once/a", &n.to_string()).status, 503);
    }
    thread::sleep(IN_FLIGHT);
    assert_eq!(gw.get("/once/a", "6").status, 503);
    assert_eq!(a.seen().len(), 2);
}

/// Guards against a pause that ends with an extra answer to an earlier request, on the connection of
/// the first request after it.
#[test]
fn pause_outlives_extra_answers() {
    let a = Replica::start(|n, seen| match n {
        0 => vec![rejected(seen, 1)],
        1 => vec![
            Step::Send(answer("earlier", "200 OK", "")),
            Step::UntilClosed,
        ],
        _ => vec![Step::Send(ok_answer(seen, "ok"))],
    });
    let gw = TestGateway::start(&[("i-1", &a)]);
    assert_eq!(gw.get("/once/a", "0").status, 503);
    thread::sleep(Duration::from_millis(1_050));
    let mut probe = gw.caller();
    probe.send(get_request("/again/a", "1", "").as_bytes());
    wait_until(|| a.seen().len() == 2);
    thread::sleep(Duration::from_millis(100));
    assert_eq!(gw.get("/once/a", "2").status, 503);
    assert_eq!(a.seen().len(), 2);
    // Without an answer to the probe, the next request is one.
    drop(probe);
    wait_until(|| gw.get("/once/a", "3").status == 200);
}

/// What the first replica of a gateway announces before others are listed.
#[derive(Debug, Clone, Copy)]
enum Announced {
    Leaving,
    Pause,
}

impl Announced {
    const ALL: [Announced; 2] = [Announced::Leaving, Announced::Pause];

    /// Starts a replica that announces this, and a gateway that was told by it.
    fn start(self) -> (Replica, TestGateway) {
        let replica = Replica::start(move |_, seen| match self {
            Announced::Leaving => vec![leaving(&ok_answer(seen, "ok"))],
            Announced::Pause => vec![rejected(seen, 60)],
        });
        let gw = TestGateway::start(&[("i-1", &replica)]);
        gw.get("/once/a", "told");
        (replica, gw)
    }
}

fn add_replica(gw: &TestGateway, name: &str, replica: &Replica) {
    let mut store = gw.store.lock().unwrap();
    store.replicas.push(entry(name, replica));
}

/// Guards against streams that are resumed at a replica which announced that it leaves, or that it
/// wants no requests, while they wait for another one.
#[test]
fn resumed_stream_waits_for_another_replica() {
    for announced in Announced::ALL {
        let (told, gw) = announced.start();
        let broken = Replica::start(|_, seen| {
            vec![
                Step::Send(stream_head(seen)),
                Step::Send(events(1, 2)),
                Step::Close,
            ]
        });
        add_replica(&gw, "i-2", &broken);
        let mut caller = gw.caller();
        wait_until(|| gw.get("/open/a", "1").status != 503);
        caller.send(get_request("/resume/a", "s", "").as_bytes());
        caller.read_until("word-2");
        thread::sleep(IN_FLIGHT);
        assert_eq!(told.seen().len(), 1, "{announced:?}");
        let last = Replica::start(|_, seen| {
            vec![
                Step::Send(stream_head(seen)),
                Step::Send(events(3, 6)),
                Step::Send(b"0\r\n\r\n".to_vec()),
            ]
        });
        add_replica(&gw, "i-3", &last);
        let got = caller.answer();
        assert!(got.complete && got.body.contains("word-6"), "{announced:?}");
        assert_eq!(told.seen().len(), 1, "{announced:?}");
    }
}

/// Guards against hedges at a replica which announced that it leaves, or that it wants no requests.
#[test]
fn hedge_waits_for_another_replica() {
    for announced in Announced::ALL {
        let (told, gw) = announced.start();
        let late = Replica::start(|_, seen| {
            vec![
                Step::Pause(Duration::from_millis(1_500)),
                Step::Send(ok_answer(seen, "late")),
            ]
        });
        add_replica(&gw, "i-2", &late);
        wait_until(|| gw.get("/again/a", "1").body == "late");
        assert_eq!(gw.get("/again/a", "2").body, "late");
        assert_eq!(told.seen().len(), 1, "{announced:?}");
    }
}
