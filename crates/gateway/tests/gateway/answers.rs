//! Callers get the complete answer to their own request, whatever the replica sends.

use {
    crate::{
        caller::get_request,
        harness::TestGateway,
        replica::{
            answer,
            ok_answer,
            Replica,
            Step, //
        },
    },
    std::{
        io::{
            Read,
            Write, //
        },
        net::TcpStream,
        thread,
        time::Duration, //
    },
};

#[test]
fn answer_extra_is_skipped() {
    // A replica answers a request twice. On a reused connection the second answer comes before the
    // answer to the next request, and could reach the wrong caller.
    let replica = Replica::start(|_, seen| {
        let mut bytes = ok_answer(seen, "mine");
        bytes.extend(ok_answer(seen, "again"));
        vec![Step::Send(bytes)]
    });
    let gw = TestGateway::start(&[("i-1", &replica)]);
    let mut caller = gw.caller();
    for n in 0..10 {
        let got = caller.get("/again/a", &n.to_string(), "");
        assert_eq!((got.status, got.body.as_str()), (200, "mine"));
        assert_eq!(got.header("x-id"), Some(n.to_string().as_str()));
    }
}

#[test]
fn answer_late_is_skipped() {
    // The extra answer arrives only once the connection carries the next request.
    let replica = Replica::start(|n, seen| {
        let mut bytes = Vec::new();
        if n > 0 {
            bytes.extend(answer(&(n - 1).to_string(), "200 OK", "late"));
        }
        bytes.extend(ok_answer(seen, "mine"));
        vec![Step::Send(bytes)]
    });
    let gw = TestGateway::start(&[("i-1", &replica)]);
    for n in 0..5 {
        let got = gw.get("/again/a", &n.to_string());
        assert_eq!((got.status, got.body.as_str()), (200, "mine"));
    }
}

#[test]
fn answer_to_another_request_is_rejected() {
    let replica = Replica::start(|_, _| vec![Step::Send(answer("9", "200 OK", "no")), Step::Close]);
    let gw = TestGateway::start(&[("i-1", &replica)]);
    assert_eq!(gw.get("/once/a", "1").status, 502);
}

#[test]
fn invalid_answer_gives_502() {
    let cases: [&[u8]; 6] = [
        b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\nContent-Length: 9\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 2\r\n\r\nok",
        b"\x16\x03\x01 no answer at all\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nokk\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
    ];
    for case in cases {
        let replica = Replica::start(move |_, _| vec![Step::Send(case.to_vec()), Step::Close]);
        let gw = TestGateway::start(&[("i-1", &replica)]);
        let got = gw.get("/once/a", "1");
        assert_eq!(got.status, 502, "{}", String::from_utf8_lossy(case));
        assert_eq!(replica.seen().len(), 1);
    }
}

#[test]
fn answer_without_length() {
    let replica = Replica::start(|_, _| {
        let bytes = b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\n\r\nto the end";
        vec![Step::Send(bytes.to_vec()), Step::Close]
    });
    let gw = TestGateway::start(&[("i-1", &replica)]);
    let got = gw.get("/once/a", "1");
    assert_eq!(
        (got.status, got.body.as_str(), got.complete),
        (200, "to the end", true)
    );
}

#[test]
fn answer_before_the_body_was_read() {
    // A replica rejects a long request before it has read it, and reads the rest later. On a reused
    // connection it would take the next request for the rest of the body.
    let replica = Replica::start_early(|n, seen| {
        let mut steps = vec![Step::Send(ok_answer(seen, "early"))];
        if n == 0 {
            steps.push(Step::Pause(Duration::from_millis(300)));
        }
        steps
    });
    let gw = TestGateway::start(&[("i-1", &replica)]);
    let body = "y".repeat(12_000_000);
    let mut caller = gw.caller();
    let head = format!(
        "POST /again/a HTTP/1.1\r\nHost: a.example\r\nX-Id: 1\r\nX-Key: k1\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    caller.send(head.as_bytes());
    assert_eq!(caller.answer().status, 200);
    assert_eq!(caller.get("/again/b", "2", "").status, 200);
    let seen = replica.seen();
    assert_eq!(seen.len(), 2);
    assert!(seen[1].head.starts_with("GET /again/b"));
}

#[test]
fn answer_too_long_to_buffer_is_forwarded() {
    // An answer of 3 MB is too long to be buffered, as it would take the memory that other requests
    // need. It is forwarded as it arrives.
    let long = "z".repeat(3_000_000);
    let sent = long.clone();
    let replica = Replica::start(move |n, seen| {
        let mut bytes = ok_answer(seen, &sent);
        if n == 1 {
            bytes.truncate(2_000_000);
        }
        vec![Step::Send(bytes), Step::Close]
    });
    let gw = TestGateway::start(&[("i-1", &replica)]);
    let got = gw.get("/once/a", "1");
    assert_eq!((got.status, got.complete), (200, true));
    assert!(got.body == long);
    assert_eq!(got.header("x-signature"), Some("s-1"));
    // An answer that breaks off must not look complete to the caller.
    let cut = gw.get("/once/a", "2");
    assert_eq!((cut.status, cut.complete), (200, false));
}

/// Guards against losing the end of an answer when the caller has sent bytes that were not read.
#[test]
fn answer_complete_despite_unread_bytes() {
    let long = "z".repeat(900_000);
    let sent = long.clone();
    let replica = Replica::start(move |_, seen| vec![Step::Send(ok_answer(seen, &sent))]);
    let gw = TestGateway::start(&[("i-1", &replica)]);
    let mut caller = TcpStream::connect(gw.settings.listen.callers).unwrap();
    let request = get_request("/again/a", "1", "Connection: close\r\n") + &"x".repeat(200_000);
    caller.write_all(request.as_bytes()).unwrap();
    let mut got = Vec::new();
    let mut chunk = [0; 8192];
    loop {
        thread::sleep(Duration::from_millis(1));
        match caller.read(&mut chunk) {
            Ok(n) if n > 0 => got.extend_from_slice(&chunk[..n]),
            _ => break,
        }
    }
    let got = String::from_utf8(got).unwrap();
    assert!(got.ends_with(&long), "{} bytes", got.len());
}

/// Paths on routes of each kind.
pub(crate) const PATHS: [&str; 4] = ["/once/a", "/again/a", "/stream/a", "/resume/a"];

/// A replica that answers its first request, and closes within the head of its second answer, at a
/// position that `cut` chooses from the length of the head.
fn cuts_second_head(cut: impl Fn(usize) -> usize + Send + Sync + 'static) -> Replica {
    Replica::start(move |n, seen| {
        let whole = ok_answer(seen, "");
        match n {
            0 => vec![Step::Send(ok_answer(seen, "whole"))],
            _ => {
                let part = whole[..cut(whole.len())].to_vec();
                vec![Step::Send(part), Step::Close]
            }
        }
    })
}

/// Guards against a success with an empty body when a replica stops within the head of its answer, on a
/// new connection or on one that carried another answer.
#[test]
fn answer_cut_within_its_head() {
    for path in PATHS {
        for part in 1..12 {
            let replica = cuts_second_head(move |len| (len * part / 12).min(len - 1));
            let gw = TestGateway::start(&[("i-1", &replica)]);
            let mut caller = gw.caller();
            assert_eq!(caller.get("/again/a", "first", "").body, "whole");
            let got = caller.get(path, "second", "");
            assert_eq!(got.status, 502, "{path} {part}: {got:?}");
        }
    }
}

/// Guards against the same where the answer lacks the last byte of its head alone, and another replica
/// can answer.
#[test]
fn answer_cut_within_its_head_beside_another_replica() {
    for path in ["/again/a", "/resume/a"] {
        let cut = Replica::start(|_, seen| {
            let mut head = ok_answer(seen, "");
            head.pop();
            vec![Step::Send(head), Step::Close]
        });
        let sound = Replica::start(|_, seen| vec![Step::Send(ok_answer(seen, "whole"))]);
        let gw = TestGateway::start(&[("i-1", &cut), ("i-2", &sound)]);
        let mut n = 0;
        while cut.seen().is_empty() {
            let got = gw.get(path, &n.to_string());
            assert_eq!((got.status, got.body.as_str()), (200, "whole"), "{path}");
            n += 1;
            assert!(n < 100, "no request was sent to the replica that cuts");
        }
    }
}
