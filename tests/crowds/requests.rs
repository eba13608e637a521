//! The callers' port of a gateway.

use {
    super::{
        crowd::{
            send_all_then_read,
            Crowd,
            Script, //
        },
        router::{
            exchange,
            head,
            wait_until,
            Bounds,
            Router, //
        },
        serial,
    },
    std::time::Duration,
};

/// Less than the limit on bodies, 4 MiB.
const LEGAL_BODY: usize = 4_000_000;
/// The limit on bodies.
const LONGEST_BODY: usize = 4 << 20;
/// Longest body of ordinary callers.
const ORDINARY_BODY: usize = 70_000;
const SMALL: Bounds = Bounds {
    memory_mb: 24,
    descriptors: 1_000,
};

/// A chunk of a body with this many bytes.
fn chunk(length: usize) -> Vec<u8> {
    let data = "u".repeat(length);
    format!("{length:x}\r\n{data}\r\n").into_bytes()
}

fn sized_head(length: usize) -> Vec<u8> {
    head("POST /single/a", &[&format!("Content-Length: {length}")])
}

fn chunked_head() -> Vec<u8> {
    head("POST /single/a", &["Transfer-Encoding: chunked"])
}

/// Sends a script by many clients, and checks the router while they stay and after they left.
fn check_crowd(bounds: Bounds, count: usize, script: &Script) {
    let _serial = serial();
    let router = Router::start(bounds);
    let crowd = Crowd::send(router.callers(), count, script);
    crowd.stay();
    router.wait_answered();
    drop(crowd);
    router.wait_answered();
    router.check();
}

/// Returns a script without pauses.
fn script(head: Vec<u8>, piece: Vec<u8>, times: usize) -> Script {
    Script {
        head,
        piece,
        times,
        pause: Duration::ZERO,
    }
}

/// Guards against bodies that are counted only once they are complete.
#[test]
fn bodies_sized_that_stop_short() {
    let body = vec![b'u'; LEGAL_BODY - 1];
    check_crowd(SMALL, 12, &script(sized_head(LEGAL_BODY), body, 1));
}

/// Guards against the same where each body arrives in many pieces.
#[test]
fn bodies_sized_in_pieces_that_stop_short() {
    let piece = vec![b'u'; 4_000];
    let times = LEGAL_BODY / piece.len() - 1;
    check_crowd(SMALL, 12, &script(sized_head(LEGAL_BODY), piece, times));
}

/// Guards against bodies whose length is not announced, and so counts as nothing.
#[test]
fn bodies_in_large_chunks_that_stop_short() {
    let times = LEGAL_BODY / 64_000;
    check_crowd(SMALL, 12, &script(chunked_head(), chunk(64_000), times));
}

/// Guards against a cost for each chunk, however small it is.
#[test]
fn bodies_in_one_byte_chunks_that_stop_short() {
    let piece = chunk(1).repeat(10_000);
    check_crowd(SMALL, 24, &script(chunked_head(), piece, 120));
}

/// Guards against bodies that are read on beyond the limit, or whose rest is kept.
#[test]
fn bodies_in_chunks_beyond_the_limit() {
    check_crowd(SMALL, 12, &script(chunked_head(), chunk(64_000), 160));
}

/// Guards against bodies of which nothing is to be read.
#[test]
fn bodies_announced_beyond_the_limit() {
    let piece = vec![b'u'; 64_000];
    check_crowd(SMALL, 100, &script(sized_head(900_000_000), piece, 20));
}

/// Guards against many bodies that are short each.
#[test]
fn bodies_of_ordinary_length_that_stop_short() {
    let body = vec![b'u'; 64_000];
    check_crowd(SMALL, 480, &script(sized_head(ORDINARY_BODY), body, 1));
}

/// Guards against clients that keep what they hold by sending a byte now and then.
#[test]
fn bodies_that_drip() {
    let _serial = serial();
    let router = Router::start(SMALL);
    let mut head = sized_head(LEGAL_BODY);
    head.extend(vec![b'u'; LEGAL_BODY - 1_000]);
    let drip = Script {
        head,
        piece: vec![b'u'],
        times: 20,
        pause: Duration::from_millis(100),
    };
    let crowd = Crowd::send(router.callers(), 12, &drip);
    router.wait_answered();
    drop(crowd);
    router.wait_answered();
    router.check();
}

/// Guards against bodies that are complete while their requests run.
#[test]
fn bodies_complete_of_requests_that_run() {
    let mut head = head(
        "POST /single/hold",
        &[&format!("Content-Length: {LEGAL_BODY}")],
    );
    head.extend(vec![b'u'; LEGAL_BODY]);
    check_crowd(SMALL, 12, &script(head, Vec::new(), 0));
}

/// Guards against heads that are not counted.
#[test]
fn heads_that_stop() {
    let bounds = Bounds {
        memory_mb: 20,
        descriptors: 4_100,
    };
    let line = format!("X-Filler: {}\r\n", "h".repeat(14_000));
    let head = format!("POST /single/a HTTP/1.1\r\nHost: a.example\r\n{line}X-Last: ");
    check_crowd(bounds, 1_500, &script(head.into_bytes(), Vec::new(), 0));
}

/// Guards against requests that wait behind another one on their connection.
#[test]
fn requests_pipelined_by_clients_that_read_nothing() {
    let mut first = head("GET /single/hold", &[]);
    for _ in 0..3_000 {
        first.extend(head("GET /single/a", &[]));
    }
    check_crowd(SMALL, 480, &script(first, Vec::new(), 0));
}

/// Guards against answers that are held for clients that read nothing.
#[test]
fn answers_that_nobody_reads() {
    let bounds = Bounds {
        memory_mb: 12,
        descriptors: 1_000,
    };
    let head = head("GET /again/long", &[]);
    check_crowd(bounds, 300, &script(head, Vec::new(), 0));
}

/// Guards against connections without a request that leave no place for others.
#[test]
fn connections_that_send_one_byte() {
    let _serial = serial();
    let bounds = Bounds {
        memory_mb: 24,
        descriptors: 400,
    };
    let router = Router::start(bounds);
    let one_byte = script(vec![b'P'], Vec::new(), 0);
    let crowd = Crowd::send(router.callers(), 600, &one_byte);
    let statuses = [(); 3].map(|()| router.ask().map_err(|e| e.kind()));
    assert_eq!(statuses, [Ok(200); 3]);
    drop(crowd);
    router.wait_answered();
    router.check();
}

/// Guards against a limit that a single legal request meets in calm.
#[test]
fn body_alone_is_served() {
    let _serial = serial();
    let router = Router::start(SMALL);
    let sized = [sized_head(LEGAL_BODY), vec![b'u'; LEGAL_BODY]].concat();
    let chunks = chunk(64_000).repeat(LEGAL_BODY / 64_000);
    let chunked = [chunked_head(), chunks, b"0\r\n\r\n".to_vec()].concat();
    for request in [sized, chunked] {
        let answer = exchange(router.callers(), &request).unwrap();
        let length = LEGAL_BODY - LEGAL_BODY % 64_000;
        let received = String::from_utf8(answer.body).unwrap();
        let known = [format!("{LEGAL_BODY} bytes"), format!("{length} bytes")];
        assert!(
            answer.status == 200 && known.contains(&received),
            "{received}"
        );
    }
    router.check();
}

/// Guards against a limit that a body of the longest length meets in calm, also in the smallest chunks.
#[test]
fn body_alone_at_the_limit_is_served() {
    let _serial = serial();
    let router = Router::start(SMALL);
    let sized = [sized_head(LONGEST_BODY), vec![b'u'; LONGEST_BODY]].concat();
    let chunks = chunk(1).repeat(LONGEST_BODY);
    let chunked = [chunked_head(), chunks, b"0\r\n\r\n".to_vec()].concat();
    for request in [sized, chunked] {
        let answer = exchange(router.callers(), &request).unwrap();
        let received = String::from_utf8(answer.body).unwrap();
        assert_eq!(
            (answer.status, received),
            (200, format!("{LONGEST_BODY} bytes"))
        );
    }
    router.check();
}

/// Guards against a refusal that is lost as its client still sends.
#[test]
fn refusal_reaches_a_client_that_sends_on() {
    let _serial = serial();
    let router = Router::start(SMALL);
    let endless = [chunked_head(), chunk(64_000).repeat(80)].concat();
    let announced = [sized_head(6_000_000), vec![b'u'; 1_000_000]].concat();
    for request in [endless, announced] {
        let mut line = None;
        wait_until("a refusal arrives", || {
            line = send_all_then_read(router.callers(), &request);
            line.is_some()
        });
        assert!(
            line.as_ref().is_some_and(|l| l.contains(" 413 ")),
            "{line:?}"
        );
    }
    router.check();
}
