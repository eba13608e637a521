//! What reaches a replica, and what is refused before.

use crate::{
    replica::{
        good,
        Replica,
        Step, //
    },
    stage::{
        config,
        wait,
        Stage, //
    },
};

fn echo() -> Replica {
    Replica::start(|_, seen| vec![Step::Send(good(seen, "hello"))])
}

#[test]
fn request_passed_unchanged() {
    let replica = echo();
    let stage = Stage::start(&[("i-1", &replica)]);
    let mut caller = stage.caller();
    caller.send(
        b"POST /once/x%2fy/../z?q=%20a HTTP/1.1\r\nHost: a.example\r\nX-Id: 7\r\nX-Key: k2\r\n\
          X-Other: kept\r\nX-Deadline: 3000\r\nConnection: X-Hop\r\nX-Hop: dropped\r\nContent-Length: 4\r\n\r\nbody",
    );
    let got = caller.answer();
    assert_eq!(
        (got.status, got.body.as_str(), got.whole),
        (200, "hello", true)
    );
    assert_eq!(got.header("x-signature"), Some("s-7"));
    let seen = &replica.seen()[0];
    assert!(seen
        .head
        .starts_with("POST /once/x%2fy/../z?q=%20a HTTP/1.1"));
    assert_eq!(seen.body, b"body");
    assert_eq!(seen.header("x-other"), Some("kept"));
    assert_eq!(seen.header("x-hop"), None);
    assert_eq!(seen.header("x-expect"), Some("i-1"));
    assert_eq!(seen.header("x-workspace"), Some("w2"));
    assert_eq!(seen.header("x-key"), None);
    let left: u64 = seen.header("x-deadline").unwrap().parse().unwrap();
    assert!(left <= 3_000 && left > 2_000, "{left}");
}

#[test]
fn request_forged_headers() {
    // A caller names another workspace, or another replica, itself. Passed on beside the
    // router's own, a replica might believe the first of the two.
    let replica = echo();
    let stage = Stage::start(&[("i-1", &replica)]);
    let more = "X-Workspace: w2\r\nX-Expect: i-9\r\nX-Copy: 1.2.3.4:5\r\n";
    assert_eq!(stage.caller().get("/again/a", "1", more).status, 200);
    let head = replica.seen()[0].head.to_ascii_lowercase();
    assert!(
        head.contains("x-workspace: w1") && !head.contains("w2"),
        "{head}"
    );
    assert!(
        head.contains("x-expect: i-1") && !head.contains("i-9"),
        "{head}"
    );
    assert!(!head.contains("x-copy"), "{head}");
}

#[test]
fn request_forged_orders() {
    // A caller orders an engine to keep its prompt, or to take up a reservation. Passed on, it
    // would hold memory that others need: on one deployment 16 of 100 requests were refused in
    // place of 3.
    let replica = echo();
    let stage = Stage::start(&[("i-1", &replica)]);
    let more = "X-Reserve: h-1\r\nx-keep-ms: 4000\r\nX-Other: 1\r\n";
    assert_eq!(stage.caller().get("/again/a", "1", more).status, 200);
    let head = replica.seen()[0].head.to_ascii_lowercase();
    assert!(!head.contains("x-reserve"), "{head}");
    assert!(!head.contains("x-keep-ms"), "{head}");
    assert!(head.contains("x-other: 1"), "{head}");
}

#[test]
fn request_smuggled() {
    // One message that two readers end at different places carries a second request, which
    // nobody sent and which bears no key.
    let replica = echo();
    let stage = Stage::start(&[("i-1", &replica)]);
    let heads = [
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 3\r\nContent-Length: 30\r\n",
        "Transfer-Encoding: chunked, identity\r\n",
        "Content-Length: +3\r\n",
        "Content-Length : 3\r\n",
    ];
    for more in heads {
        let mut caller = stage.caller();
        let got = caller.get("/once/a", "1", more);
        assert_eq!(got.status, 400, "{more}");
        assert_eq!(caller.answer().status, 0, "{more}");
    }
    assert!(replica.seen().is_empty());
}

#[test]
fn request_chunked_body() {
    let replica = echo();
    let stage = Stage::start(&[("i-1", &replica)]);
    let mut caller = stage.caller();
    let head = "POST /once/a HTTP/1.1\r\nHost: a.example\r\nX-Id: 1\r\nX-Key: k1\r\n\
                Transfer-Encoding: chunked\r\n\r\n";
    caller.send(head.as_bytes());
    caller.send(b"3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: 1\r\n\r\n");
    assert_eq!(caller.answer().status, 200);
    assert_eq!(replica.seen()[0].body, b"abcde");
    assert_eq!(caller.get("/once/b", "2", "").status, 200);
}

#[test]
fn request_refused() {
    let replica = echo();
    let stage = Stage::start(&[("i-1", &replica)]);
    let ask = |text: &str| {
        let mut caller = stage.caller();
        caller.send(text.as_bytes());
        caller.answer().status
    };
    let host = "HTTP/1.1\r\nHost: a.example\r\nX-Id: 1\r\n";
    assert_eq!(ask(&format!("GET /nothing/ {host}X-Key: k1\r\n\r\n")), 404);
    assert_eq!(ask(&format!("GET /once/a {host}X-Key: k9\r\n\r\n")), 401);
    assert_eq!(ask(&format!("GET /once/a {host}\r\n")), 401);
    assert_eq!(ask(&format!("GET /open/a {host}\r\n")), 200);
    assert_eq!(
        ask(&format!(
            "GET /once/a {host}X-Key: k1\r\nContent-Length: 13000001\r\n\r\n"
        )),
        413
    );
    let long = "x".repeat(17_000);
    assert_eq!(
        ask(&format!("GET /once/a {host}X-Long: {long}\r\n\r\n")),
        431
    );
    assert_eq!(
        ask(&format!(
            "GET /once/a {host}X-Key: k1\r\nX-Deadline: soon\r\n\r\n"
        )),
        400
    );
    assert_eq!(replica.seen().len(), 1);
}

#[test]
fn request_key_taken_away() {
    let replica = echo();
    let stage = Stage::start(&[("i-1", &replica)]);
    let mut caller = stage.caller();
    assert_eq!(caller.get("/once/a", "1", "").status, 200);
    stage.put(br#"{"version":5,"keys":{"k2":"w2"},"timeout":3000}"#.to_vec());
    wait(|| stage.get("/once/a", "2").status == 401);
    // The connection was open before, and an older version that comes late changes nothing.
    stage.put(config(3));
    stage.wait_told();
    assert_eq!(caller.get("/once/a", "3", "").status, 401);
}

#[test]
fn request_replica_started_again() {
    // A replica breaks its answers, and then starts again under its id at another address. It
    // gets work there. How soon, and what is forgotten of the former start, is a matter of
    // names and is tested where these are made (`roster_started_again_under_its_id`).
    let bad = Replica::start(|_, _| vec![Step::Close]);
    let stage = Stage::start(&[("i-1", &bad)]);
    wait(|| stage.get("/again/a", "1").status == 503);
    let good = echo();
    let mut entry = crate::stage::entry("i-1", &good);
    entry.born = Some(policy::StartedAt(1_700_000_000_000));
    stage.world.lock().unwrap().replicas[0] = entry;
    wait(|| stage.get("/again/a", "2").status == 200);
    assert!(!good.seen().is_empty());
}

#[test]
fn request_replica_gone_meanwhile() {
    // A replica ended, and its address was given to another that offers another service.
    // That one turns the request away, as it names the first; nothing has run.
    let other = Replica::start(|_, seen| {
        let head = format!(
            "HTTP/1.1 421 Misdirected Request\r\nX-Id: {}\r\nContent-Length: 0\r\n\r\n",
            seen.header("x-id").unwrap()
        );
        vec![Step::Send(head.into_bytes())]
    });
    let replica = echo();
    let stage = Stage::start(&[("i-1", &other)]);
    let got = stage.get("/once/a", "1");
    assert_eq!(got.status, 503);
    assert!(got.header("retry-after").is_some());
    assert_eq!(other.seen()[0].header("x-expect"), Some("i-1"));
    let entry = crate::stage::entry("i-2", &replica);
    stage.world.lock().unwrap().replicas.push(entry);
    wait(|| stage.get("/once/a", "2").status == 200);
}

#[test]
fn request_no_replica() {
    let stage = Stage::start(&[]);
    let got = stage.get("/once/a", "1");
    assert_eq!(got.status, 503);
    let after: f64 = got.header("retry-after").unwrap().parse().unwrap();
    assert!(after > 0.0 && after < 2.0);
}

#[test]
fn request_caller_gone() {
    // A caller hangs up. The replica goes on with work that nobody waits for, and others
    // wait behind it.
    let replica = Replica::start(|_, _| vec![Step::UntilClosed]);
    let stage = Stage::start(&[("i-1", &replica)]);
    let mut caller = stage.caller();
    caller.send(crate::caller::get("/stream/a", "1", "").as_bytes());
    wait(|| replica.seen().len() == 1);
    drop(caller);
    // The route's timeout would end it only after a minute.
    wait(|| replica.closed().len() == 1);
    assert_eq!(replica.seen().len(), 1);
}
