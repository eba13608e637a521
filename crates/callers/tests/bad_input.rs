//! Bad input: each gets a clear answer or a closed connection in a bounded time, the handler
//! never sees it, and other callers are served as ever.

mod common;

use {
    async_std::task,
    callers::{
        IncomingRequest,
        Limits,
        Response, //
    },
    common::{
        echo,
        serves,
        start,
        tell,
        Raw,
        HEAD, //
    },
    policy::Outcome,
    std::{
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

const LONG: Duration = Duration::from_secs(600);

/// Small bounds on size, and bounds on time that no test here meets.
fn limits() -> Limits {
    Limits {
        head_bytes: 2048,
        head_count: 10,
        body_bytes: 1024,
        head_timeout: LONG,
        body_timeout: LONG,
        idle_timeout: LONG,
        ..Limits::default()
    }
}

/// Sends bytes to a server and returns the answer, with the proof that nothing ran and that
/// others are served.
async fn refused(limits: Limits, bytes: impl AsRef<[u8]>) -> String {
    let ran = Arc::new(AtomicUsize::new(0));
    let count = ran.clone();
    let (_server, address) = start(limits, move |ask: IncomingRequest| {
        count.fetch_add(1, Ordering::SeqCst);
        echo(ask)
    })
    .await;
    let text = tell(address, bytes).await;
    assert_eq!(ran.load(Ordering::SeqCst), 0, "the handler saw it: {text}");
    serves(address).await;
    text
}

fn expect(text: &str, status: u16, part: &str) {
    assert!(text.starts_with(&format!("HTTP/1.1 {status} ")), "{text}");
    assert!(text.contains("chervilwind-outcome: not-run\r\n"), "{text}");
    assert!(text.contains("connection: close\r\n"), "{text}");
    assert!(text.contains(part), "no {part:?} in {text}");
}

#[test]
fn head_oversized() {
    task::block_on(async {
        let long = format!("{HEAD}x-long: {}\r\n\r\n", "a".repeat(4000));
        expect(&refused(limits(), long).await, 431, "2048 bytes");
        // One that never ends is refused at the bound, not read on.
        let endless = format!("{HEAD}x-long: {}", "a".repeat(100_000));
        expect(&refused(limits(), endless).await, 431, "2048 bytes");
    });
}

#[test]
fn head_many() {
    task::block_on(async {
        let many = format!("{HEAD}{}\r\n", "a: b\r\n".repeat(20));
        expect(&refused(limits(), many).await, 431, "at most 10");
    });
}

#[test]
fn body_oversized() {
    task::block_on(async {
        // It is refused from its head: no byte of the body is awaited.
        let declared = format!("{HEAD}content-length: 1025\r\n\r\n");
        expect(&refused(limits(), declared).await, 413, "1024 bytes");
        let huge = format!("{HEAD}content-length: {}\r\n\r\n", u64::MAX);
        expect(&refused(limits(), huge).await, 413, "1024 bytes");
        // A length beyond 64 bits is no number to the HTTP library.
        let beyond = format!("{HEAD}content-length: {}0\r\n\r\n", u64::MAX);
        expect(&refused(limits(), beyond).await, 400, "bad-request");
        // A caller that sends it all the same must not be reset before it reads why.
        let whole = format!(
            "{HEAD}content-length: 900000\r\n\r\n{}",
            "a".repeat(900_000)
        );
        expect(&refused(limits(), whole).await, 413, "1024 bytes");
        let chunk = format!("200\r\n{}\r\n", "a".repeat(512));
        let chunked = format!(
            "{HEAD}transfer-encoding: chunked\r\n\r\n{}",
            chunk.repeat(3)
        );
        expect(&refused(limits(), chunked).await, 413, "1024 bytes");
    });
}

#[test]
fn body_ambiguous() {
    // Two readers that find the end of a body in different places let one caller's bytes be
    // taken for another's request. Every such head is refused and the connection closed.
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
            let text = refused(limits(), format!("{HEAD}{extra}\r\nabc")).await;
            expect(&text, 400, "bad-request");
        }
        for chunks in [
            "zz\r\nabc\r\n",
            "3\r\nabcd",
            "0\r\n\r\nGET / HTTP/1.1\r\n\r\n",
        ] {
            let bytes = format!("{HEAD}transfer-encoding: chunked\r\n\r\n{chunks}");
            expect(&refused(limits(), bytes).await, 400, "malformed");
        }
    });
}

#[test]
fn header_not_text() {
    // The HTTP library panics at a header that is UTF-8 and not ASCII.
    task::block_on(async {
        for value in [&b"caf\xc3\xa9"[..], b"\xff\xfe", b"a\0b", b"a\x1bb"] {
            let bytes = [HEAD.as_bytes(), b"x-name: ", value, b"\r\n\r\n"].concat();
            expect(&refused(limits(), bytes).await, 400, "not text");
        }
    });
}

#[test]
fn trailer_not_text() {
    // The library panics here too, in the middle of the body.
    task::block_on(async {
        let chunks = b"transfer-encoding: chunked\r\n\r\n0\r\nx-name: caf\xc3\xa9\r\n\r\n";
        let bytes = [HEAD.as_bytes(), chunks].concat();
        expect(&refused(limits(), bytes).await, 400, "malformed");
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
            let text = refused(limits(), format!("{without}\r\n")).await;
            expect(&text, 400, &format!("`{name}` is missing"));
            for value in ["", "a b", "a/b", &"a".repeat(65)] {
                let bad = format!("{without}{name}: {value}\r\n\r\n");
                expect(&refused(limits(), bad).await, 400, &name);
            }
            let twice = format!("{HEAD}{name}: other\r\n\r\n");
            expect(&refused(limits(), twice).await, 400, "stands twice");
        }
    });
}

#[test]
fn deadline_bad() {
    task::block_on(async {
        for (value, status, why) in [
            ("soon", 400, "bad-deadline"),
            ("1.5", 400, "bad-deadline"),
            ("", 400, "bad-deadline"),
            ("99999999999999999999", 400, "bad-deadline"),
            ("0", 504, "expired"),
            ("-5", 504, "expired"),
        ] {
            let head = format!("{HEAD}chervilwind-deadline-ms: {value}\r\n\r\n");
            expect(&refused(limits(), head).await, status, why);
        }
    });
}

#[test]
fn deadline_spent() {
    // The body comes so slowly that the deadline passes meanwhile.
    task::block_on(async {
        let head = format!("{HEAD}chervilwind-deadline-ms: 50\r\ncontent-length: 9\r\n\r\nabc");
        expect(&refused(limits(), head).await, 504, "expired");
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
            expect(&refused(limits(), bytes).await, 400, "\"why\":\"bad-");
        }
    });
}

#[test]
fn path_unknown() {
    task::block_on(async {
        let get = "GET /chervilwind/nothing HTTP/1.1\r\nhost: r\r\n\r\n";
        expect(&refused(limits(), get).await, 404, "/chervilwind/where");
    });
}

#[test]
fn pipelined_garbage() {
    // Garbage follows a request on the same connection. The request is answered whole, then
    // the garbage is refused and the connection closed.
    task::block_on(async {
        let (_server, address) = start(limits(), echo).await;
        let one = format!("{HEAD}content-length: 2\r\n\r\nok");
        let text = tell(address, one + "\0\0garbage\r\n\r\n").await;
        assert!(text.starts_with("HTTP/1.1 200 OK\r\n"), "{text}");
        let (_, rest) = text.split_once("\r\n\r\nok").unwrap();
        expect(rest, 400, "not text");
        serves(address).await;
    });
}

#[test]
fn head_slow() {
    // A caller sends a byte now and then, so that the connection is never idle.
    task::block_on(async {
        let slow = Limits {
            head_timeout: Duration::from_millis(100),
            ..limits()
        };
        expect(&refused(slow, "GET").await, 408, "head-timeout");
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
        expect(&refused(slow.clone(), fixed).await, 408, "body-timeout");
        let chunked = format!("{HEAD}transfer-encoding: chunked\r\n\r\n9\r\nabc");
        expect(&refused(slow, chunked).await, 408, "body-timeout");
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
        assert_eq!(Raw::connect(address).await.rest().await, "");
    });
}

#[test]
fn connections_many() {
    task::block_on(async {
        for few in [
            Limits {
                max_connections: 2,
                ..limits()
            },
            Limits {
                max_connections_per_ip: 2,
                ..limits()
            },
        ] {
            let (server, address) = start(few, echo).await;
            let mut kept = Vec::new();
            for _ in 0..2 {
                let mut raw = Raw::connect(address).await;
                raw.send(format!("{HEAD}content-length: 2\r\n\r\nok")).await;
                raw.until("ok").await;
                kept.push(raw);
            }
            let text = tell(address, format!("{HEAD}\r\n")).await;
            expect(&text, 503, "too-many-connections");
            // Those that were there first are served on.
            kept[0]
                .send(format!("{HEAD}content-length: 2\r\n\r\nok"))
                .await;
            kept[0].until("ok").await;
            drop(kept);
            while server.connections() > 0 {
                task::sleep(Duration::from_millis(1)).await;
            }
            serves(address).await;
        }
    });
}

#[test]
fn expect_continue() {
    task::block_on(async {
        let (_server, address) = start(limits(), echo).await;
        let mut raw = Raw::connect(address).await;
        raw.send(format!(
            "{HEAD}expect: 100-continue\r\ncontent-length: 2\r\n\r\n"
        ))
        .await;
        raw.until("HTTP/1.1 100 Continue\r\n\r\n").await;
        raw.send("ok").await;
        raw.until("\r\n\r\nok").await;
        // Nobody is asked to send a body that will be refused.
        let long = "expect: 100-continue\r\ncontent-length: 9999\r\n\r\n";
        expect(&tell(address, format!("{HEAD}{long}")).await, 413, "1024");
    });
}

#[test]
fn response_status_odd() {
    // An endpoint answers with a status that the HTTP library does not know.
    task::block_on(async {
        let (_server, address) = start(limits(), |_| async {
            Response::complete(499, Outcome::Failed, Vec::new())
        })
        .await;
        let text = tell(address, format!("{HEAD}connection: close\r\n\r\n")).await;
        assert!(text.starts_with("HTTP/1.1 400 "), "{text}");
    });
}
