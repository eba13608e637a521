//! Invalid input: it is rejected or its connection is closed in a bounded time, the handler is
//! not called, and other callers are served.

mod common;

use {
    async_std::{
        channel::bounded,
        task, //
    },
    callers::{
        IncomingRequest,
        Limits,
        Response, //
    },
    common::{
        assert_serves,
        echo,
        send_raw,
        start,
        RawConnection,
        HEAD, //
    },
    policy::Outcome,
    std::{
        net::SocketAddr,
        sync::{
            atomic::{
                AtomicUsize,
                Ordering, //
            },
            Arc, //
        },
        time::Duration, //
    },
};

const LONG_TIMEOUT: Duration = Duration::from_secs(600);

/// Small size limits, and timeouts that no test reaches.
fn limits() -> Limits {
    Limits {
        head_bytes: 2048,
        head_count: 10,
        body_bytes: 1024,
        head_timeout: LONG_TIMEOUT,
        body_timeout: LONG_TIMEOUT,
        idle_timeout: LONG_TIMEOUT,
        ..Limits::default()
    }
}

/// Sends bytes to a server and returns the response. Asserts that the handler was not called and
/// that others are served.
async fn send_rejected(limits: Limits, bytes: impl AsRef<[u8]>) -> String {
    let calls = Arc::new(AtomicUsize::new(0));
    let count = calls.clone();
    let (_server, address) = start(limits, move |request: IncomingRequest| {
        count.fetch_add(1, Ordering::SeqCst);
        echo(request)
    })
    .await;
    let text = send_raw(address, bytes).await;
    assert_eq!(
        calls.load(Ordering::SeqCst),
        0,
        "the handler was called: {text}"
    );
    assert_serves(address).await;
    text
}

fn assert_rejected(text: &str, status: u16, part: &str) {
    assert!(text.starts_with(&format!("HTTP/1.1 {status} ")), "{text}");
    assert!(text.contains("chervilwind-outcome: not-run\r\n"), "{text}");
    assert!(text.contains("connection: close\r\n"), "{text}");
    assert!(text.contains(part), "no {part:?} in {text}");
}

#[test]
fn head_oversized() {
    task::block_on(async {
        let long = format!("{HEAD}x-long: {}\r\n\r\n", "a".repeat(4000));
        assert_rejected(&send_rejected(limits(), long).await, 431, "2048 bytes");
        // A head without an end is rejected at the limit.
        let endless = format!("{HEAD}x-long: {}", "a".repeat(100_000));
        assert_rejected(&send_rejected(limits(), endless).await, 431, "2048 bytes");
    });
}

#[test]
fn head_with_too_many_headers() {
    task::block_on(async {
        let many = format!("{HEAD}{}\r\n", "a: b\r\n".repeat(20));
        assert_rejected(&send_rejected(limits(), many).await, 431, "at most 10");
    });
}

#[test]
fn body_oversized() {
    task::block_on(async {
        // The request is rejected after its head, without waiting for the body.
        let declared = format!("{HEAD}content-length: 1025\r\n\r\n");
        assert_rejected(&send_rejected(limits(), declared).await, 413, "1024 bytes");
        let huge = format!("{HEAD}content-length: {}\r\n\r\n", u64::MAX);
        assert_rejected(&send_rejected(limits(), huge).await, 413, "1024 bytes");
        // The HTTP library does not parse a length beyond 64 bits.
        let beyond = format!("{HEAD}content-length: {}0\r\n\r\n", u64::MAX);
        assert_rejected(&send_rejected(limits(), beyond).await, 400, "bad-request");
        // A caller that sends the body anyway must get the response before the connection is reset.
        let whole = format!(
            "{HEAD}content-length: 900000\r\n\r\n{}",
            "a".repeat(900_000)
        );
        assert_rejected(&send_rejected(limits(), whole).await, 413, "1024 bytes");
        let chunk = format!("200\r\n{}\r\n", "a".repeat(512));
        let chunked = format!(
            "{HEAD}transfer-encoding: chunked\r\n\r\n{}",
            chunk.repeat(3)
        );
        assert_rejected(&send_rejected(limits(), chunked).await, 413, "1024 bytes");
    });
}

#[test]
fn body_ambiguous() {
    // If two parsers disagree on the end of a body, one caller's bytes may be treated as another
    // request (request smuggling). Every such head is rejected and the connection closed.
    task::block_on(async {
        for extra in [
            "content-length: 3\r\ncontent-length: 4\r\n",
            "content-length: 3\r\ntransfer-encoding: chunked\r\n",
            "content-length: +3\r\n",
            "content-length: -1\r\n",
            "content-length: three\r\n",
            "transfer-encoding: gzip, chunked\r\n",
            "transfer-encoding: identity\r\n",
        ] {
            let text = send_rejected(limits(), format!("{HEAD}{extra}\r\nabc")).await;
            assert_rejected(&text, 400, "bad-request");
        }
        for chunks in [
            "zz\r\nabc\r\n",
            "3\r\nabcd",
            "0\r\n\r\nGET / HTTP/1.1\r\n\r\n",
        ] {
            let bytes = format!("{HEAD}transfer-encoding: chunked\r\n\r\n{chunks}");
            assert_rejected(&send_rejected(limits(), bytes).await, 400, "malformed");
        }
    });
}

#[test]
fn header_not_ascii() {
    // The HTTP library panics at header values that are UTF-8 but not ASCII.
    task::block_on(async {
        for value in [&b"caf\xc3\xa9"[..], b"\xff\xfe", b"a\0b", b"a\x1bb"] {
            let bytes = [HEAD.as_bytes(), b"x-name: ", value, b"\r\n\r\n"].concat();
            assert_rejected(&send_rejected(limits(), bytes).await, 400, "not text");
        }
    });
}

#[test]
fn trailer_not_ascii() {
    // The library also panics at trailers that are not ASCII, while reading the body.
    task::block_on(async {
        let chunks = b"transfer-encoding: chunked\r\n\r\n0\r\nx-name: caf\xc3\xa9\r\n\r\n";
        let bytes = [HEAD.as_bytes(), chunks].concat();
        assert_rejected(&send_rejected(limits(), bytes).await, 400, "malformed");
    });
}

#[test]
fn header_missing() {
    task::block_on(async {
        for name in ["service", "workspace", "profile"] {
            let name = format!("chervilwind-{name}");
            let without: String = HEAD
                .split_inclusive("\r\n")
                .filter(|line| !line.starts_with(&name))
                .collect();
            let text = send_rejected(limits(), format!("{without}\r\n")).await;
            assert_rejected(&text, 400, &format!("`{name}` is missing"));
            for value in ["", "a b", "a/b", &"a".repeat(65)] {
                let bad = format!("{without}{name}: {value}\r\n\r\n");
                assert_rejected(&send_rejected(limits(), bad).await, 400, &name);
            }
            let twice = format!("{HEAD}{name}: other\r\n\r\n");
            assert_rejected(&send_rejected(limits(), twice).await, 400, "stands twice");
        }
    });
}

#[test]
fn deadline_invalid() {
    task::block_on(async {
        for (value, status, reason) in [
            ("soon", 400, "bad-deadline"),
            ("1.5", 400, "bad-deadline"),
            ("", 400, "bad-deadline"),
            ("99999999999999999999", 400, "bad-deadline"),
            ("0", 504, "expired"),
            ("-5", 504, "expired"),
        ] {
            let head = format!("{HEAD}chervilwind-deadline-ms: {value}\r\n\r\n");
            assert_rejected(&send_rejected(limits(), head).await, status, reason);
        }
    });
}

#[test]
fn deadline_passes_during_body() {
    // The deadline passes while the body is being received.
    task::block_on(async {
        let head = format!("{HEAD}chervilwind-deadline-ms: 50\r\ncontent-length: 9\r\n\r\nabc");
        assert_rejected(&send_rejected(limits(), head).await, 504, "expired");
    });
}

#[test]
fn request_garbage() {
    task::block_on(async {
        for bytes in [
            &b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n"[..],
            b"hello\r\n\r\n",
            b"\r\n\r\n\r\n\r\n",
            b"GET / HTTP/1.0\r\nhost: r\r\n\r\n",
            b"GET / HTTP/1.1\r\n\r\n",
            b"BREW / HTTP/1.1\r\nhost: r\r\n\r\n",
            b"GET x HTTP/1.1\r\nhost: r\r\n\r\n",
            b"GET / HTTP/1.1\r\nhost: a b\r\n\r\n",
        ] {
            assert_rejected(&send_rejected(limits(), bytes).await, 400, "\"why\":\"bad-");
        }
    });
}

#[test]
fn path_unknown() {
    task::block_on(async {
        let get = "GET /chervilwind/nothing HTTP/1.1\r\nhost: r\r\n\r\n";
        assert_rejected(
            &send_rejected(limits(), get).await,
            404,
            "/chervilwind/where",
        );
    });
}

#[test]
fn pipelined_garbage() {
    // Garbage follows a request on the same connection. The request is answered, then the
    // garbage is rejected and the connection closed.
    task::block_on(async {
        let (_server, address) = start(limits(), echo).await;
        let one = format!("{HEAD}content-length: 2\r\n\r\nok");
        let text = send_raw(address, one + "\0\0garbage\r\n\r\n").await;
        assert!(text.starts_with("HTTP/1.1 200 OK\r\n"), "{text}");
        let (_, rest) = text.split_once("\r\n\r\nok").unwrap();
        assert_rejected(rest, 400, "not text");
        assert_serves(address).await;
    });
}

#[test]
fn head_slow() {
    // A caller that keeps sending bytes slowly is never idle, so the head has its own timeout.
    task::block_on(async {
        let slow = Limits {
            head_timeout: Duration::from_millis(100),
            ..limits()
        };
        assert_rejected(&send_rejected(slow, "GET").await, 408, "head-timeout");
    });
}

#[test]
fn body_slow() {
    task::block_on(async {
        let slow = Limits {
            body_timeout: Duration::from_millis(100),
            ..limits()
        };
        let fixed = format!("{HEAD}content-length: 9\r\n\r\nabc");
        assert_rejected(
            &send_rejected(slow.clone(), fixed).await,
            408,
            "body-timeout",
        );
        let chunked = format!("{HEAD}transfer-encoding: chunked\r\n\r\n9\r\nabc");
        assert_rejected(&send_rejected(slow, chunked).await, 408, "body-timeout");
    });
}

#[test]
fn connection_idle() {
    task::block_on(async {
        let idle = Limits {
            idle_timeout: Duration::from_millis(100),
            ..limits()
        };
        let (_server, address) = start(idle, echo).await;
        assert_eq!(RawConnection::connect(address).await.read_all().await, "");
    });
}

#[test]
fn connections_beyond_limit_per_address() {
    task::block_on(async {
        let few = Limits {
            max_connections_per_ip: 2,
            ..limits()
        };
        let (server, address) = start(few, echo).await;
        let mut open = Vec::new();
        for _ in 0..2 {
            open.push(served_connection(address).await);
        }
        let text = send_raw(address, format!("{HEAD}\r\n")).await;
        assert_rejected(&text, 503, "too-many-connections");
        // Earlier connections are still served.
        open[0]
            .send(format!("{HEAD}content-length: 2\r\n\r\nok"))
            .await;
        open[0].read_until("ok").await;
        drop(open);
        while server.connections() > 0 {
            task::sleep(Duration::from_millis(1)).await;
        }
        assert_serves(address).await;
    });
}

/// Opens a connection, on which a request is answered.
async fn served_connection(address: SocketAddr) -> RawConnection {
    let mut raw = RawConnection::connect(address).await;
    raw.send(format!("{HEAD}content-length: 2\r\n\r\nok")).await;
    raw.read_until("ok").await;
    raw
}

/// Guards against connections without a request that keep all others away.
#[test]
fn connections_beyond_limit_idle() {
    task::block_on(async {
        let few = Limits {
            max_connections: 2,
            ..limits()
        };
        let (server, address) = start(few, echo).await;
        let mut first = served_connection(address).await;
        let mut second = served_connection(address).await;
        let mut silent = served_connection(address).await;
        // The one that was idle for longest has made room.
        assert_eq!(first.read_all().await, "");
        second
            .send(format!("{HEAD}content-length: 2\r\n\r\nok"))
            .await;
        second.read_until("ok").await;
        // One that has brought nothing makes room before others.
        let mut begun = RawConnection::connect(address).await;
        assert_eq!(silent.read_all().await, "");
        begun.send("POST /quote HTTP/1.1\r\n".to_owned()).await;
        assert_serves(address).await;
        assert_rejected(&begun.read_all().await, 503, "too-many-connections");
        second
            .send(format!("{HEAD}content-length: 2\r\n\r\nok"))
            .await;
        second.read_until("ok").await;
        assert!(server.connections() <= 2);
    });
}

/// Guards against requests in service that are ended for others.
#[test]
fn connections_beyond_limit_in_service() {
    task::block_on(async {
        let few = Limits {
            max_connections: 2,
            ..limits()
        };
        let (begin, begun) = bounded(2);
        let (go, going) = bounded::<()>(1);
        let handler = move |request| {
            let (begin, going) = (begin.clone(), going.clone());
            async move {
                begin.send(()).await.unwrap();
                let _ = going.recv().await;
                echo(request).await
            }
        };
        let (_server, address) = start(few, handler).await;
        let mut open = Vec::new();
        for _ in 0..2 {
            let mut raw = RawConnection::connect(address).await;
            raw.send(format!("{HEAD}content-length: 2\r\n\r\nok")).await;
            begun.recv().await.unwrap();
            open.push(raw);
        }
        let text = send_raw(address, format!("{HEAD}\r\n")).await;
        assert_rejected(&text, 503, "too-many-connections");
        drop(go);
        for raw in &mut open {
            raw.read_until("ok").await;
        }
    });
}

/// Guards against bodies that are limited one by one only.
#[test]
fn body_evicted_when_memory_is_short() {
    task::block_on(async {
        let few = Limits {
            body_bytes: 600_000,
            memory_bytes: 1 << 20,
            ..limits()
        };
        let (begin, begun) = bounded(1);
        let (go, going) = bounded::<()>(1);
        let handler = move |incoming| {
            let (begin, going) = (begin.clone(), going.clone());
            async move {
                if body_len(&incoming) > 0 {
                    begin.send(()).await.unwrap();
                    let _ = going.recv().await;
                }
                echo(incoming).await
            }
        };
        let (_server, address) = start(few, handler).await;
        let head = format!("{HEAD}content-length: 600000\r\n\r\n");
        let mut running = RawConnection::connect(address).await;
        running.send(head.clone() + &"u".repeat(600_000)).await;
        begun.recv().await.unwrap();
        // There is no room for another body of this length until that request ends.
        let text = send_raw(address, head + &"u".repeat(590_000)).await;
        assert_rejected(&text, 503, "short-of-memory");
        assert!(text.contains("chervilwind-retry-ms: 500"), "{text}");
        assert_serves(address).await;
        drop(go);
        running.read_until(&"u".repeat(600_000)).await;
    });
}

fn body_len(incoming: &IncomingRequest) -> usize {
    match incoming {
        IncomingRequest::Request { request, .. } => request.body.len(),
        IncomingRequest::Addresses { .. } => 0,
    }
}

#[test]
fn expect_continue() {
    task::block_on(async {
        let (_server, address) = start(limits(), echo).await;
        let mut raw = RawConnection::connect(address).await;
        raw.send(format!(
            "{HEAD}expect: 100-continue\r\ncontent-length: 2\r\n\r\n"
        ))
        .await;
        raw.read_until("HTTP/1.1 100 Continue\r\n\r\n").await;
        raw.send("ok").await;
        raw.read_until("\r\n\r\nok").await;
        // `100 Continue` is not sent for a body that will be rejected.
        let long = "expect: 100-continue\r\ncontent-length: 9999\r\n\r\n";
        assert_rejected(
            &send_raw(address, format!("{HEAD}{long}")).await,
            413,
            "1024",
        );
    });
}

#[test]
fn response_status_unsupported() {
    // An endpoint responds with a status that the HTTP library does not support.
    task::block_on(async {
        let (_server, address) = start(limits(), |_| async {
            Response::complete(499, Outcome::Failed, Vec::new())
        })
        .await;
        let text = send_raw(address, format!("{HEAD}connection: close\r\n\r\n")).await;
        assert!(text.starts_with("HTTP/1.1 400 "), "{text}");
    });
}
