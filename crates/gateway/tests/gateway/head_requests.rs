//! Answers that have no body, whatever their headers say: to HEAD requests, or with certain statuses.

use crate::{
    caller::Caller,
    harness::{
        wait_until,
        TestGateway, //
    },
    replica::{
        ok_answer,
        Replica,
        SeenRequest,
        Step, //
    },
};

/// Paths on routes of each kind, whose answers are forwarded in different ways.
const PATHS: [&str; 4] = ["/once/a", "/again/a", "/stream/a", "/resume/a"];

fn request(method: &str, path: &str, id: &str, key: &str) -> Vec<u8> {
    let head = format!("{method} {path} HTTP/1.1\r\nHost: a.example\r\nX-Id: {id}\r\n");
    format!("{head}X-Key: {key}\r\nX-Deadline: 700\r\n\r\n").into_bytes()
}

/// Sends a GET request, and checks that its answer is the next thing on the connection.
fn assert_next_answer(caller: &mut Caller, case: &str) {
    caller.send(&request("GET", "/again/b", "next", "k1"));
    let got = caller.answer();
    assert_eq!(
        (got.status, got.body.as_str()),
        (200, "body"),
        "{case}: {got:?}"
    );
    assert_eq!(got.header("x-id"), Some("next"), "{case}");
}

/// A replica that answers a HEAD request with `head`, and others with a body.
fn replica(head: impl Fn(&SeenRequest) -> String + Send + Sync + 'static) -> Replica {
    Replica::start(move |_, seen| {
        let is_next = seen.header("x-id") == Some("next");
        vec![Step::Send(match is_next {
            true => ok_answer(seen, "body"),
            false => {
                let id = seen.header("x-id").unwrap();
                let start = head(seen);
                format!("{start}X-Id: {id}\r\nX-Signature: s-{id}\r\n\r\n").into_bytes()
            }
        })]
    })
}

/// Guards against a body of the gateway's own answer to HEAD, which the caller takes for its next
/// answer.
#[test]
fn head_answered_by_the_gateway() {
    let replica = replica(|_| "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n".to_owned());
    let gw = TestGateway::start(&[("i-1", &replica)]);
    for (path, key, status) in [
        ("/none/a", "k1", 404),
        ("/again/a", "nobody", 401),
        ("/split/a", "k1", 503),
    ] {
        let mut caller = gw.caller();
        // `/split/` leads to a service without replicas for some ids.
        let answers = (0..40).map(|n| {
            caller.send(&request("HEAD", path, &n.to_string(), key));
            caller.answer_to_head()
        });
        let found: Vec<_> = answers.filter(|got| got.status == status).collect();
        assert!(!found.is_empty(), "{path}");
        assert!(found[0].header("content-length").is_some());
        assert_next_answer(&mut caller, path);
    }
}

/// Guards against the same for an answer that says that the result is unknown, or the time over.
#[test]
fn head_that_no_replica_answers() {
    let replica = Replica::start(|_, seen| match seen.header("x-id") {
        Some("next") => vec![Step::Send(ok_answer(seen, "body"))],
        Some("silent") => vec![Step::UntilClosed],
        _ => vec![Step::Close],
    });
    let gw = TestGateway::start(&[("i-1", &replica)]);
    for (id, status) in [("silent", 504), ("broken", 502)] {
        let mut caller = gw.caller();
        caller.send(&request("HEAD", "/once/a", id, "k1"));
        assert_eq!(caller.answer_to_head().status, status);
        assert_next_answer(&mut caller, id);
    }
}

/// Guards against a body, or the end of a chunked one, in an answer of a replica to HEAD.
#[test]
fn head_answered_by_a_replica() {
    for framing in [
        "Content-Length: 9\r\n",
        "Transfer-Encoding: chunked\r\n",
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
        "Content-Type: text/event-stream\r\n",
        "",
    ] {
        let replica = replica(move |_| format!("HTTP/1.1 200 OK\r\n{framing}"));
        let gw = TestGateway::start(&[("i-1", &replica)]);
        for path in PATHS {
            let case = format!("{path} {framing:?}");
            let mut caller = gw.caller();
            caller.send(&request("HEAD", path, "7", "k1"));
            let got = caller.answer_to_head();
            assert_eq!(got.status, 200, "{case}");
            let length = framing.starts_with("Content-Length").then_some("9");
            assert_eq!(got.header("content-length"), length, "{case}");
            assert_next_answer(&mut caller, &case);
        }
    }
}

/// Guards against the same for statuses that have no body for any method.
#[test]
fn status_without_a_body() {
    for status in ["204 No Content", "304 Not Modified"] {
        let replica =
            replica(move |_| format!("HTTP/1.1 {status}\r\nContent-Type: text/event-stream\r\n"));
        let gw = TestGateway::start(&[("i-1", &replica)]);
        for path in PATHS {
            let case = format!("{path} {status}");
            let mut caller = gw.caller();
            caller.send(&request("GET", path, "7", "k1"));
            let got = caller.answer();
            assert!(status.starts_with(&got.status.to_string()), "{case}");
            assert_eq!(got.header("content-length"), None, "{case}");
            assert_eq!(got.header("transfer-encoding"), None, "{case}");
            assert_next_answer(&mut caller, &case);
        }
    }
}

/// Guards against a body after the head of the last answer on a connection.
#[test]
fn head_that_ends_its_connection() {
    let replica = replica(|_| "HTTP/1.1 200 OK\r\n".to_owned());
    let gw = TestGateway::start(&[("i-1", &replica)]);
    let long = "x".repeat(40_000);
    for (more, status) in [
        ("Content-Length: 99999999\r\n".to_owned(), 413),
        ("Content-Length: 1\r\nContent-Length: 2\r\n".to_owned(), 400),
        (format!("X-Long: {long}\r\n"), 431),
        ("X Bad\r\n".to_owned(), 400),
    ] {
        let mut caller = gw.caller();
        let head = "HEAD /again/a HTTP/1.1\r\nHost: a.example\r\nX-Id: 7\r\nX-Key: k1\r\n";
        caller.send(format!("{head}{more}\r\n").as_bytes());
        assert_eq!(caller.answer_to_head().status, status);
        assert_eq!(caller.rest(), "", "{status}");
    }
}

/// Guards against bodies in answers to HEAD at the listeners for readiness, addresses and metrics.
#[test]
fn head_at_the_small_listeners() {
    let replica = replica(|_| "HTTP/1.1 200 OK\r\n".to_owned());
    let gw = TestGateway::start(&[("i-1", &replica)]);
    let listen = &gw.settings.listen;
    for (addr, path) in [
        (listen.ready, "/ready"),
        (listen.addresses, "/addresses"),
        (listen.metrics, "/state"),
    ] {
        let ask = |method: &str| {
            let mut caller = Caller::open(addr);
            let head = format!("{method} {path} HTTP/1.1\r\nHost: a\r\n");
            caller.send(format!("{head}Connection: close\r\n\r\n").as_bytes());
            (caller.answer_to_head().status, caller.rest())
        };
        wait_until(|| ask("GET").0 == 200);
        let (status, rest) = ask("HEAD");
        assert_ne!(status, 0, "{path}");
        assert_eq!(rest, "", "{path}");
    }
}
