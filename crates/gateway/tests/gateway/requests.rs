//! What reaches a replica, and what is rejected before.

use crate::{
    harness::{
        config,
        wait_until,
        TestGateway, //
    },
    replica::{
        ok_answer,
        Replica,
        Step, //
    },
};

fn echo() -> Replica {
    Replica::start(|_, seen| vec![Step::Send(ok_answer(seen, "hello"))])
}

/// Guards against a request that runs in a region which its route or workspace doesn't allow.
#[test]
fn request_in_a_region_that_is_not_allowed() {
    let replica = echo();
    let gw = TestGateway::start(&[("i-1", &replica)]);
    let config = r#"{"version":9,"keys":{"k1":"w1"},"timeout":3000,
        "/open/":["south"],"/again/":["south","north"]}"#;
    gw.put_config(config.as_bytes().to_vec());
    wait_until(|| gw.get("/open/a", "1").status == 503);
    let seen = replica.seen().len();
    assert_eq!(gw.get("/open/a", "2").status, 503);
    assert_eq!(replica.seen().len(), seen);
    let got = gw.caller().get("/again/a", "3", "X-Key: k1\r\n");
    assert_eq!(got.status, 200);
}

#[test]
fn request_passed_unchanged() {
    let replica = echo();
    let gw = TestGateway::start(&[("i-1", &replica)]);
    let mut caller = gw.caller();
    caller.send(
        b"POST /once/x%2fy/../z?q=%20a HTTP/1.1\r\nHost: a.example\r\nX-Id: 7\r\nX-Key: k2\r\n\
          X-Other: kept\r\nX-Deadline: 3000\r\nConnection: X-Hop\r\nX-Hop: dropped\r\nContent-Length: 4\r\n\r\nbody",
    );
    let got = caller.answer();
    assert_eq!(
        (got.status, got.body.as_str(), got.complete),
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

/// Guards against a workspace that a replica is told by another name than the operators gave it, and
/// against a name that becomes a header of its own.
#[test]
fn request_of_a_workspace_with_any_name() {
    let replica = echo();
    let gw = TestGateway::start(&[("i-1", &replica)]);
    let config = r#"{"version":9,"timeout":3000,
        "keys":{"k1":"North Shore Markets","k2":"w2\r\nX-Expect: i-9","k3":"Café"}}"#;
    gw.put_config(config.as_bytes().to_vec());
    let told = |key: &str| {
        let before = replica.seen().len();
        let request =
            format!("GET /again/b HTTP/1.1\r\nHost: a.example\r\nX-Id: 1\r\nX-Key: {key}\r\n\r\n");
        let mut caller = gw.caller();
        caller.send(request.as_bytes());
        let status = caller.answer().status;
        let seen = replica.seen();
        let name = seen
            .get(before)
            .map(|s| s.header("x-workspace").unwrap().to_owned());
        (status, name)
    };
    let is_in_force = || told("k1") == (200, Some("North Shore Markets".to_owned()));
    wait_until(is_in_force);
    assert_eq!(told("k2"), (503, None));
    assert_eq!(told("k3"), (200, Some("Café".to_owned())));
}

#[test]
fn request_forged_headers() {
    // A caller sets the workspace and the replica itself. If its headers were forwarded along with
    // the router's own, a replica might believe the first of the two.
    let replica = echo();
    let gw = TestGateway::start(&[("i-1", &replica)]);
    let more = "X-Workspace: w2\r\nX-Expect: i-9\r\nX-Copy: 1.2.3.4:5\r\n";
    assert_eq!(gw.caller().get("/again/a", "1", more).status, 200);
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
fn request_forged_directives() {
    // A caller tells an engine to keep its prompt in memory, or to use a reservation. Such headers
    // take memory that other requests need: forwarding them raised the rejected requests from 3 to
    // 16 of 100.
    let replica = echo();
    let gw = TestGateway::start(&[("i-1", &replica)]);
    let more = "X-Reserve: h-1\r\nx-keep-ms: 4000\r\nX-Other: 1\r\n";
    assert_eq!(gw.caller().get("/again/a", "1", more).status, 200);
    let head = replica.seen()[0].head.to_ascii_lowercase();
    assert!(!head.contains("x-reserve"), "{head}");
    assert!(!head.contains("x-keep-ms"), "{head}");
    assert!(head.contains("x-other: 1"), "{head}");
}

#[test]
fn request_smuggled() {
    // A message that two readers end at different places carries a second request, without a key,
    // that nobody sent.
    let replica = echo();
    let gw = TestGateway::start(&[("i-1", &replica)]);
    let heads = [
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 3\r\nContent-Length: 30\r\n",
        "Transfer-Encoding: chunked, identity\r\n",
        "Content-Length: +3\r\n",
        "Content-Length : 3\r\n",
    ];
    for more in heads {
        let mut caller = gw.caller();
        let got = caller.get("/once/a", "1", more);
        assert_eq!(got.status, 400, "{more}");
        assert_eq!(caller.answer().status, 0, "{more}");
    }
    assert!(replica.seen().is_empty());
}

#[test]
fn request_chunked_body() {
    let replica = echo();
    let gw = TestGateway::start(&[("i-1", &replica)]);
    let mut caller = gw.caller();
    let head = "POST /once/a HTTP/1.1\r\nHost: a.example\r\nX-Id: 1\r\nX-Key: k1\r\n\
                Transfer-Encoding: chunked\r\n\r\n";
    caller.send(head.as_bytes());
    caller.send(b"3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: 1\r\n\r\n");
    assert_eq!(caller.answer().status, 200);
    assert_eq!(replica.seen()[0].body, b"abcde");
    assert_eq!(caller.get("/once/b", "2", "").status, 200);
}

#[test]
fn request_invalid_is_rejected() {
    let replica = echo();
    let gw = TestGateway::start(&[("i-1", &replica)]);
    let ask = |text: &str| {
        let mut caller = gw.caller();
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

/// Guards against a connection that ends without an answer, since its task panics at a deadline that
/// is no time.
#[test]
fn request_with_any_deadline() {
    let replica = echo();
    let gw = TestGateway::start(&[("i-1", &replica)]);
    for deadline in [
        "1e19",
        "1e300",
        "18446744073709551615",
        "99999999999999999999999",
    ] {
        let mut caller = gw.caller();
        let header = format!("X-Deadline: {deadline}\r\n");
        assert_eq!(caller.get("/once/a", deadline, &header).status, 200);
    }
    for deadline in ["1e400", "inf", "nan"] {
        let mut caller = gw.caller();
        let header = format!("X-Deadline: {deadline}\r\n");
        assert_eq!(caller.get("/once/a", deadline, &header).status, 400);
    }
}

#[test]
fn request_with_revoked_key() {
    let replica = echo();
    let gw = TestGateway::start(&[("i-1", &replica)]);
    let mut caller = gw.caller();
    assert_eq!(caller.get("/once/a", "1", "").status, 200);
    gw.put_config(br#"{"version":5,"keys":{"k2":"w2"},"timeout":3000}"#.to_vec());
    wait_until(|| gw.get("/once/a", "2").status == 401);
    // The connection was opened before the change. An older version that arrives late changes
    // nothing.
    gw.put_config(config(3));
    gw.wait_synced();
    assert_eq!(caller.get("/once/a", "3", "").status, 401);
}

#[test]
fn request_to_restarted_replica() {
    // A replica aborts its answers, and is then restarted under the same id at another address,
    // where it gets work. How soon, and what is forgotten of the earlier start, is tested with the
    // roster.
    let bad = Replica::start(|_, _| vec![Step::Close]);
    let gw = TestGateway::start(&[("i-1", &bad)]);
    wait_until(|| gw.get("/again/a", "1").status == 503);
    let good = echo();
    let mut entry = crate::harness::entry("i-1", &good);
    entry.started_at = Some(policy::StartedAt(1_700_000_000_000));
    gw.store.lock().unwrap().replicas[0] = entry;
    wait_until(|| gw.get("/again/a", "2").status == 200);
    assert!(!good.seen().is_empty());
}

#[test]
fn request_to_reassigned_address() {
    // A replica has ended, and its address was given to a replica of another service. That one
    // rejects the request, which names the first replica; nothing has run.
    let other = Replica::start(|_, seen| {
        let head = format!(
            "HTTP/1.1 421 Misdirected Request\r\nX-Id: {}\r\nContent-Length: 0\r\n\r\n",
            seen.header("x-id").unwrap()
        );
        vec![Step::Send(head.into_bytes())]
    });
    let replica = echo();
    let gw = TestGateway::start(&[("i-1", &other)]);
    let got = gw.get("/once/a", "1");
    assert_eq!(got.status, 503);
    assert!(got.header("retry-after").is_some());
    assert_eq!(other.seen()[0].header("x-expect"), Some("i-1"));
    let entry = crate::harness::entry("i-2", &replica);
    gw.store.lock().unwrap().replicas.push(entry);
    wait_until(|| gw.get("/once/a", "2").status == 200);
}

#[test]
fn request_no_replica() {
    let gw = TestGateway::start(&[]);
    let got = gw.get("/once/a", "1");
    assert_eq!(got.status, 503);
    let after: f64 = got.header("retry-after").unwrap().parse().unwrap();
    assert!(after > 0.0 && after < 2.0);
}

#[test]
fn request_cancelled_with_caller() {
    // A caller disconnects. Without a cancellation the replica would go on with work that nobody
    // waits for, and other requests would wait behind it.
    let replica = Replica::start(|_, _| vec![Step::UntilClosed]);
    let gw = TestGateway::start(&[("i-1", &replica)]);
    let mut caller = gw.caller();
    caller.send(crate::caller::get_request("/stream/a", "1", "").as_bytes());
    wait_until(|| replica.seen().len() == 1);
    drop(caller);
    // The route's timeout would cancel it only after a minute.
    wait_until(|| replica.closed().len() == 1);
    assert_eq!(replica.seen().len(), 1);
}
