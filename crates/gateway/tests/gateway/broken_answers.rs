//! What is not a complete answer of HTTP/1.1 reaches no caller as one.

use {
    crate::{
        answers::PATHS,
        caller::Answer,
        harness::TestGateway,
        replica::{
            answer,
            ok_answer,
            Replica,
            SeenRequest,
            Step, //
        },
    },
    std::time::Duration,
};

/// Requests after which a replica that answers all of them with garbage must have been tried.
const TRIES_MAX: usize = 100;

/// A replica whose answers have this first line, these lines among their headers and the body `odd`.
fn odd_replica(first: &'static str, lines: &str) -> Replica {
    let lines = lines.to_owned();
    Replica::start(move |_, seen| {
        let id = seen.header("x-id").unwrap_or("-");
        let head = format!("{first}\r\nX-Id: {id}\r\nX-Signature: s\r\n{lines}\r\n\r\n");
        vec![Step::Send((head + "odd").into_bytes()), Step::Close]
    })
}

/// Checks that the caller got an error of the gateway itself, and no part of the replica's answer.
fn assert_own_error(got: &Answer, case: &str) {
    assert_eq!(got.status, 502, "{case}: {got:?}");
    assert_eq!(got.header("x-signature"), None, "{case}: {got:?}");
    assert!(!got.body.contains("odd"), "{case}: {got:?}");
}

/// Checks that callers on routes of each kind get an error of the gateway itself.
fn assert_rejected(faulty: &Replica, case: &str) {
    for path in PATHS {
        // A new gateway has not left the replica out yet.
        let gw = TestGateway::start(&[("i-1", faulty)]);
        assert_own_error(&gw.get(path, "1"), &format!("{case} {path}"));
    }
}

/// Checks that requests which may be repeated are answered by a sound replica beside the faulty one,
/// and that the faulty one is left out after a few failures.
fn assert_other_answers(faulty: &Replica, path: &str, case: &str) {
    let sound = Replica::start(|_, seen| vec![Step::Send(ok_answer(seen, "whole"))]);
    let gw = TestGateway::start(&[("i-1", faulty), ("i-2", &sound)]);
    let before = faulty.seen().len();
    for n in 0..TRIES_MAX {
        let got = gw.get(path, &n.to_string());
        assert_eq!((got.status, got.body.as_str()), (200, "whole"), "{case}");
    }
    let tried = faulty.seen().len() - before;
    assert!((1..TRIES_MAX / 4).contains(&tried), "{case}: {tried}");
}

/// Guards against an answer with a status that HTTP doesn't define, or one that leaves HTTP/1.1, which
/// reaches a caller.
#[test]
fn answer_with_invalid_status() {
    let statuses = [
        "000 Odd", "001 Odd", "099 Odd", "101 Odd", "600 Odd", "999 Odd",
    ];
    for status in statuses {
        let faulty = Replica::start(move |_, seen| {
            let id = seen.header("x-id").unwrap_or("-");
            vec![Step::Send(answer(id, status, "odd")), Step::Close]
        });
        assert_rejected(&faulty, status);
        for path in ["/again/a", "/resume/a"] {
            assert_other_answers(&faulty, path, &format!("{status} {path}"));
        }
    }
}

/// Guards against a first line of another form that passes for an answer.
#[test]
fn answer_with_invalid_first_line() {
    let lines = [
        "HTTP/1.1 20 OK",
        "HTTP/1.1 2000 OK",
        "HTTP/1.1 +20 OK",
        "HTTP/1.1 -20 OK",
        "HTTP/1.1  200 OK",
        "HTTP/2.0 200 OK",
        "HTTP/1.2 200 OK",
        "HTTP/1.1 200 O\x01K",
        "http/1.1 200 OK",
        "200 OK",
    ];
    for line in lines {
        assert_rejected(&odd_replica(line, "Content-Length: 3"), line);
    }
}

/// Guards against an answer that passes although a name in its head holds a blank or a control byte, or
/// a value a control byte: the line may be forwarded, or the body be delimited by it.
#[test]
fn answer_with_invalid_header() {
    let lines = [
        "X Odd: 1",
        "X-Odd : 1",
        " X-Odd: 1",
        "\tX-Odd: 1",
        "X\x01Odd: 1",
        "X\x7fOdd: 1",
        "X-Odd\t: 1",
        "X\0Odd: 1",
        "X\rOdd: 1",
        ": 1",
        "X-Odd",
        "X-Odd: a\x01b",
        "X-Odd: a\0b",
        "X-Odd: a\rb",
        "Content-Length : 1",
        "Content Length: 1",
        "Transfer-Encoding : chunked",
    ];
    for line in lines {
        for first in ["HTTP/1.1 200 OK", "HTTP/1.1 404 Odd", "HTTP/1.1 503 Busy"] {
            let faulty = odd_replica(first, &format!("{line}\r\nContent-Length: 3"));
            assert_rejected(&faulty, &format!("{first} {line:?}"));
        }
    }
}

/// Guards against a body whose end can be read in two ways.
#[test]
fn answer_with_ambiguous_length() {
    let cases = [
        "Content-Length: +3",
        "Content-Length: -3",
        "Content-Length: 0x3",
        "Content-Length: 3, 3",
        "Content-Length: 3\r\nContent-Length: 2",
        "Content-Length: 3\r\nTransfer-Encoding: chunked",
        "Content-Length: 99999999999999999999999",
        "Content-Length:",
        "Transfer-Encoding: gzip",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: xchunked",
    ];
    for lines in cases {
        assert_rejected(&odd_replica("HTTP/1.1 200 OK", lines), lines);
    }
}

/// Guards against the loss of a sound answer after interim ones.
#[test]
fn answer_after_interim_ones() {
    for path in PATHS {
        let replica = Replica::start(|_, seen| {
            let mut bytes = b"HTTP/1.1 100 Continue\r\n\r\n".to_vec();
            bytes.extend(b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n");
            bytes.extend(ok_answer(seen, "whole"));
            vec![Step::Send(bytes)]
        });
        let gw = TestGateway::start(&[("i-1", &replica)]);
        let got = gw.get(path, "1");
        assert_eq!((got.status, got.body.as_str()), (200, "whole"), "{path}");
    }
}

/// Guards against a promise that the request did not run which its replica has not made, and which a
/// caller would take as leave to send it once more.
#[test]
fn answer_that_promises_without_a_mark() {
    for status in ["408 Late", "429 Many", "503 Busy"] {
        let replica = Replica::start(move |_, seen| {
            let id = seen.header("x-id").unwrap_or("-");
            vec![Step::Send(answer(id, status, "odd"))]
        });
        assert_rejected(&replica, status);
    }
}

/// Guards against a success that claims not to have run the request.
#[test]
fn success_that_is_marked_as_not_run() {
    let replica = odd_replica("HTTP/1.1 200 OK", "X-Not-Run: 1\r\nContent-Length: 3");
    assert_rejected(&replica, "not run");
}

/// Sends an upload of this length, with additional header lines.
fn upload(gw: &TestGateway, path: &str, length: usize, headers: &str) -> Answer {
    let mut caller = gw.caller();
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: a.example\r\nX-Id: 1\r\nX-Key: k1\r\n{headers}\
         Content-Length: {length}\r\n\r\n"
    );
    caller.send(head.as_bytes());
    caller.send(&vec![b'y'; length]);
    caller.answer()
}

/// The start of a successful answer without a length.
fn open_answer(seen: &SeenRequest, version: &str, content_type: &str, body: &str) -> Vec<u8> {
    let id = seen.header("x-id").unwrap_or("-");
    format!(
        "{version} 200 OK\r\nX-Id: {id}\r\nX-Signature: s-{id}\r\n\
         Content-Type: {content_type}\r\n\r\n{body}"
    )
    .into_bytes()
}

const TYPES: [(&str, &str); 2] = [
    ("text/plain", "a part"),
    ("text/event-stream", "id: 1\ndata: a\n\n"),
];
const VERSIONS: [&str; 2] = ["HTTP/1.1", "HTTP/1.0"];
const UPLOADS: [usize; 2] = [600_000, 12_000_000];
/// Bounds how long a stream waits for another replica at which it can go on.
const SHORT_DEADLINE: &str = "X-Deadline: 1000\r\n";

/// Guards against a part of an answer that passes for all of it because the reset that ended it was
/// reported to the write of the request.
#[test]
fn answer_reset_during_an_upload() {
    for (content_type, body) in TYPES {
        for version in VERSIONS {
            for pause in [0, 50] {
                let replica = Replica::start_early(move |_, seen| {
                    vec![
                        Step::Send(open_answer(seen, version, content_type, body)),
                        Step::Pause(Duration::from_millis(pause)),
                        Step::Reset,
                    ]
                });
                let gw = TestGateway::start(&[("i-1", &replica)]);
                for path in PATHS {
                    for length in UPLOADS {
                        let got = upload(&gw, path, length, SHORT_DEADLINE);
                        let case = format!("{content_type} {version} {pause} {path} {length}");
                        assert!(got.status != 200 || !got.complete, "{case}: {got:?}");
                    }
                }
            }
        }
    }
}

/// Guards against the same where another replica can answer.
#[test]
fn answer_reset_during_an_upload_beside_another_replica() {
    for path in ["/again/a", "/resume/a"] {
        let faulty = Replica::start_early(|_, seen| {
            let part = open_answer(seen, "HTTP/1.1", "text/plain", "a part");
            vec![Step::Send(part), Step::Reset]
        });
        let sound = Replica::start(|_, seen| vec![Step::Send(ok_answer(seen, "whole"))]);
        let gw = TestGateway::start(&[("i-1", &faulty), ("i-2", &sound)]);
        for _ in 0..10 {
            let got = upload(&gw, path, UPLOADS[0], "");
            assert_eq!((got.status, got.body.as_str()), (200, "whole"), "{path}");
        }
        assert!(!faulty.seen().is_empty());
    }
}

/// Guards against the loss of an early answer to an upload that has no length and ends in order.
#[test]
fn answer_without_length_during_an_upload() {
    for after in [Step::ReadBody, Step::Pause(Duration::ZERO)] {
        for (content_type, body) in TYPES {
            let after = after.clone();
            let replica = Replica::start_early(move |_, seen| {
                vec![
                    Step::Send(open_answer(seen, "HTTP/1.1", content_type, body)),
                    Step::EndWrites,
                    after.clone(),
                    Step::Close,
                ]
            });
            let gw = TestGateway::start(&[("i-1", &replica)]);
            for path in PATHS {
                for length in UPLOADS {
                    let got = upload(&gw, path, length, "");
                    let case = format!("{content_type} {path} {length}");
                    assert_eq!((got.status, got.complete), (200, true), "{case}");
                    assert_eq!(got.body, body, "{case}");
                }
            }
        }
    }
}

/// Guards against a replica that waits for the rest of an upload after the head of its answer.
#[test]
fn answer_begun_before_the_upload_was_read() {
    let replica = Replica::start_early(|_, seen| {
        let whole = ok_answer(seen, "whole");
        let (head, body) = whole.split_at(whole.len() - "whole".len());
        vec![
            Step::Send(head.to_vec()),
            Step::ReadBody,
            Step::Send(body.to_vec()),
        ]
    });
    let gw = TestGateway::start(&[("i-1", &replica)]);
    for path in PATHS {
        for length in UPLOADS {
            let got = upload(&gw, path, length, "");
            let found = (got.status, got.body.as_str(), got.complete);
            assert_eq!(found, (200, "whole", true), "{path} {length}");
        }
    }
}
