//! Parts of prompts that crash replicas, in requests of which no two are alike.

use {
    crate::{
        caller::{
            Answer,
            Caller, //
        },
        fleet::{
            start_after,
            start_pair, //
        },
        harness::{
            entry,
            wait_until,
            TestGateway, //
        },
        replacements::Replicas,
        replica::{
            chunk,
            event,
            ok_answer,
            stream_head,
            Replica,
            SeenRequest,
            Step, //
        },
    },
    std::{
        net::SocketAddr,
        thread,
        time::Duration, //
    },
};

/// The part that crashes replicas.
const DEADLY: &str = "dead";
/// Parts that sound requests have too.
const FIRST: &str = "f1";
const MIDDLE: &str = "f2";
/// Replicas that may crash before the part is quarantined, by the users' limit.
const QUARANTINED_FROM: usize = 5;
/// Requests with the part that may reach replicas after that.
const ALLOWED_AFTER: usize = 3;
/// Attempts at requests with the part.
const ATTEMPTS: usize = 16;
/// Time until a replica crashes that has begun to answer.
const CRASH_DELAY: Duration = Duration::from_millis(60);
/// Time between the closing of a crashed process's connections and of its listener.
const LISTENER_DELAY: Duration = Duration::from_millis(10);

/// How a replica behaves that gets the deadly part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Crash {
    /// It sends nothing before it crashes.
    BeforeAnswer,
    /// It sends the first event, in chunks.
    AfterEvent,
    /// It sends an event and a half, in a body that ends with its connection.
    InsideEventUntilClose,
    /// It sends the first event, in a body that ends with its connection.
    AfterEventUntilClose,
    /// It sends half of a plain body that ends with its connection.
    PlainUntilClose,
}

impl Crash {
    /// Returns what the replica sends before it crashes.
    fn output(self, seen: &SeenRequest) -> Vec<u8> {
        let mut out = match self {
            Crash::BeforeAnswer => Vec::new(),
            Crash::AfterEvent => stream_head(seen),
            Crash::InsideEventUntilClose | Crash::AfterEventUntilClose => {
                head_until_close(seen, "text/event-stream")
            }
            Crash::PlainUntilClose => head_until_close(seen, "text/plain"),
        };
        match self {
            Crash::BeforeAnswer => {}
            Crash::AfterEvent => out.extend(chunk(&event(1))),
            Crash::InsideEventUntilClose => out.extend(format!("{}id: 2\nda", event(1)).bytes()),
            Crash::AfterEventUntilClose => out.extend(event(1).bytes()),
            Crash::PlainUntilClose => out.extend(b"half of"),
        }
        out
    }
}

/// The head of an answer with neither a length nor chunks.
fn head_until_close(seen: &SeenRequest, kind: &str) -> Vec<u8> {
    let id = seen.header("x-id").unwrap_or("-");
    format!(
        "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Signature: s-{id}\r\nContent-Type: {kind}\r\n\
         Connection: close\r\n\r\n"
    )
    .into_bytes()
}

/// Crashes the replica on requests with the deadly part; others are answered.
fn crash_on_part(crash: Crash) -> impl Fn(&SeenRequest) -> Vec<Step> + Send + Sync {
    move |seen| {
        let parts = seen.header("x-prompt").unwrap_or_default();
        match parts.split(',').any(|part| part == DEADLY) {
            true => vec![
                Step::Send(crash.output(seen)),
                Step::Pause(CRASH_DELAY),
                Step::Crash,
            ],
            false => vec![Step::Send(ok_answer(seen, "ok"))],
        }
    }
}

/// Sends a request whose prompt has these shared parts, and a last part of its own.
fn ask(gw: &TestGateway, path: &str, number: usize, shared: &[&str]) -> Answer {
    ask_at(gw.settings.listen.callers, path, number, shared)
}

fn ask_at(addr: SocketAddr, path: &str, number: usize, shared: &[&str]) -> Answer {
    let own = format!("{:x}", 0x10_000 + number);
    let parts: Vec<&str> = shared.iter().copied().chain([own.as_str()]).collect();
    let mut caller = Caller::open(addr);
    let body = format!("body {number}");
    let text = format!(
        "POST {path}{number} HTTP/1.1\r\nHost: a.example\r\nX-Id: {number}\r\nX-Key: k1\r\n\
         X-Prompt: {}\r\nContent-Length: {}\r\n\r\n{body}",
        parts.join(","),
        body.len()
    );
    caller.send(text.as_bytes());
    caller.answer()
}

/// Sends requests with the deadly part to two routers in turn, and sound ones with the same other
/// parts if `beside`, and checks that the part alone is quarantined.
fn check_quarantined(crash: Crash, path: &str, shared: &[&str], beside: bool) {
    let mut replicas = Replicas::start(crash_on_part(crash));
    let (first, second) = start_pair(&replicas.up[0].1);
    let gateways = [&first, &second];
    let sound: Vec<&str> = shared.iter().copied().filter(|p| *p != DEADLY).collect();
    let mut answers = Vec::new();
    for n in 0..ATTEMPTS {
        replicas.list_running(&gateways);
        if beside {
            for (m, gw) in gateways.into_iter().enumerate() {
                assert_eq!(ask(gw, "/again/s", 100 + 2 * n + m, &sound).status, 200);
            }
        }
        let got = ask(gateways[n % 2], path, n, shared);
        assert!(got.status != 200 || !got.complete, "{got:?}");
        answers.push((got.status, got.header("retry-after").is_some()));
    }
    let crashed = replicas.crashed();
    assert!(
        crashed <= QUARANTINED_FROM + ALLOWED_AFTER,
        "{crashed} crashed: {answers:?}"
    );
    assert_eq!(answers.last(), Some(&(503, true)), "{answers:?}");
    for gw in gateways {
        assert_eq!(ask(gw, "/again/s", 200, &sound).status, 200);
    }
}

/// Guards against a part that is not recognised in requests which differ otherwise.
#[test]
fn part_before_answer() {
    check_quarantined(Crash::BeforeAnswer, "/again/", &[FIRST, DEADLY], true);
}

/// Guards against the quarantine of rare parts that come with the one that crashes replicas.
#[test]
fn part_among_rare_ones() {
    let shared = [FIRST, DEADLY, MIDDLE];
    check_quarantined(Crash::BeforeAnswer, "/again/", &shared, false);
}

/// Guards against a first part that is taken for harmless because most requests share theirs.
#[test]
fn part_first() {
    check_quarantined(Crash::BeforeAnswer, "/once/", &[DEADLY, MIDDLE], true);
}

/// Guards against a crash after the first event that is not counted.
#[test]
fn part_after_first_event() {
    check_quarantined(Crash::AfterEvent, "/resume/", &[FIRST, DEADLY], true);
}

/// Guards against a crash inside an event, in a body without length, that is not counted.
#[test]
fn part_inside_event_until_close() {
    let shared = [FIRST, DEADLY];
    check_quarantined(Crash::InsideEventUntilClose, "/stream/", &shared, true);
}

/// Guards against a stream that is cut by a crash and passes for a complete one.
#[test]
fn part_after_event_until_close() {
    let shared = [FIRST, DEADLY];
    check_quarantined(Crash::AfterEventUntilClose, "/stream/", &shared, true);
}

/// Guards against a plain answer that is cut by a crash and passes for a complete one.
#[test]
fn part_plain_until_close() {
    let shared = [FIRST, DEADLY];
    check_quarantined(Crash::PlainUntilClose, "/again/", &shared, true);
}

/// Guards against a stream that is cut by a crash and passes for a complete one, as the operating
/// system closes its connection before the listener of the crashed process.
#[test]
fn part_connection_closed_before_listener() {
    let replica = Replica::start(|_, seen| match seen.header("x-prompt").is_some() {
        true => vec![
            Step::Send(Crash::AfterEventUntilClose.output(seen)),
            Step::Pause(CRASH_DELAY),
            Step::CrashLate(LISTENER_DELAY),
        ],
        false => vec![Step::Send(ok_answer(seen, "ok"))],
    });
    let gw = TestGateway::start(&[("i-1", &replica)]);
    let got = ask(&gw, "/stream/", 0, &[FIRST, DEADLY]);
    assert!(got.status != 200 || !got.complete, "{got:?}");
}

/// Guards against an answer that is complete before its replica crashes and clears the part.
#[test]
fn part_after_a_whole_answer() {
    let gw = TestGateway::start(&[]);
    let addr = gw.settings.listen.callers;
    for number in 0..ATTEMPTS {
        let replica = Replica::start(|_, seen| {
            let parts = seen.header("x-prompt").unwrap_or_default();
            match (parts.contains(DEADLY), seen.body.is_empty()) {
                (true, _) => vec![Step::Send(ok_answer(seen, "ok")), Step::Crash],
                // Runs when the replica crashes, so that the router notices it.
                (false, false) => vec![Step::UntilClosed],
                (false, true) => vec![Step::Send(ok_answer(seen, "ok"))],
            }
        });
        gw.store.lock().unwrap().replicas = vec![entry(&format!("i-{number}"), &replica)];
        wait_until(|| {
            // Each time another request, as a crash follows its answer too.
            gw.get(&format!("/again/other{number}"), "o");
            !replica.seen().is_empty()
        });
        let beside = thread::spawn(move || ask_at(addr, "/once/", 500 + number, &[]).status);
        wait_until(|| replica.seen().iter().any(|seen| !seen.body.is_empty()));
        let status = ask(&gw, "/once/", number, &[FIRST, DEADLY]).status;
        if status == 503 {
            return replica.crash();
        }
        assert_eq!((status, beside.join().unwrap()), (200, 502));
    }
    panic!("the part is not quarantined");
}

/// Guards against a frequent request that is held because each replica which answers it crashes right
/// after, under another one.
#[test]
fn part_beside_a_frequent_request() {
    let mut replicas = Replicas::start(crash_on_part(Crash::BeforeAnswer));
    let gw = TestGateway::start(&[("i-1", &replicas.up[0].1)]);
    for number in 0..ATTEMPTS {
        replicas.list_running(&[&gw]);
        // Any of the replicas may be the next that crashes.
        for _ in 0..8 {
            assert_eq!(gw.get("/again/frequent", "f").status, 200);
        }
        ask(&gw, "/once/", number, &[FIRST, DEADLY]);
    }
}

/// Guards against a part that crashes replicas anew after all routers have started again.
#[test]
fn part_known_to_new_router() {
    let mut replicas = Replicas::start(crash_on_part(Crash::BeforeAnswer));
    let first = TestGateway::start(&[("i-1", &replicas.up[0].1)]);
    let written = |gw: &TestGateway| gw.store.lock().unwrap().registered.get("g1").cloned();
    wait_until(|| written(&first).is_some());
    let before = written(&first);
    let mut number = 0;
    while ask(&first, "/once/", number, &[FIRST, DEADLY]).status != 503 {
        number += 1;
        assert!(number < ATTEMPTS, "the part is not quarantined");
        replicas.list_running(&[&first]);
    }
    wait_until(|| written(&first) != before);
    replicas.list_running(&[&first]);
    let crashed = replicas.crashed();
    let second = start_after(&first);
    assert_eq!(ask(&second, "/once/", 90, &[FIRST, DEADLY]).status, 503);
    assert_eq!(replicas.crashed(), crashed);
    // The other part is not rejected, though no answer has cleared it.
    assert_eq!(ask(&second, "/once/", 91, &[FIRST]).status, 200);
}
