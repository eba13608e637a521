//! Answers that no platform should give: each ends the call, and nothing else.

use {
    crate::common::run,
    async_std::{
        io::{
            ReadExt,
            WriteExt, //
        },
        net::TcpListener,
        task,
    },
    kvstore::{
        Instances,
        KeyRevision,
        Kv,
        KvError,
        Options, //
    },
    policy::Span,
    std::net::SocketAddr,
};

/// A platform that gives one answer to whatever it is asked, and closes.
async fn answering(answer: &'static str) -> Kv {
    Kv::new(Options::new(address_answering(answer.into()).await, "a"))
}

/// Returns the address of a platform that gives one answer to whatever it is asked, and closes.
async fn address_answering(answer: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    task::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut head = [0; 1024];
            let _ = stream.read(&mut head).await;
            let _ = stream.write_all(&answer).await;
        }
    });
    addr
}

/// Checks that a read that gets this answer has none.
async fn assert_unavailable(answer: &'static str) {
    let err = answering(answer).await.get("x").await.unwrap_err();
    assert!(
        matches!(err, KvError::Unavailable { .. }),
        "{answer:?}: {err}"
    );
}

// Something between router and platform answers in its place. The router must neither take
// it for an answer, nor stop asking.
#[test]
fn calls_odd_answers() {
    let answers = [
        "",
        "nonsense\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 40\r\n\r\n{\"revision\": 1",
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nx-zone: Montr\u{e9}al\r\ncontent-length: 2\r\n\r\n{}",
        "HTTP/1.1 502 Bad Gateway\r\ncontent-length: 0\r\n\r\n",
    ];
    for answer in answers {
        run(async {
            assert_unavailable(answer).await;
            let kv = answering(answer).await;
            let put = kv.put("x", "1".into(), KeyRevision::NONE, None).await;
            assert!(put.unwrap_err().may_have_run(), "{answer:?}");
        });
    }
}

/// Guards against an answer whose end can be read in two ways, or an interim one, of which the rest stays
/// on the connection as the answer to the next call.
#[test]
fn calls_ambiguous_answers() {
    let answers = [
        "HTTP/1.1 404 Not Found\r\n\r\nodd",
        "HTTP/1.1 404 Not Found\r\ncontent-length: +3\r\n\r\nodd",
        "HTTP/1.1 404 Not Found\r\ncontent-length: 3\r\ncontent-length: 0\r\n\r\nodd",
        "HTTP/1.1 404 Not Found\r\ntransfer-encoding: gzip\r\n\r\nodd",
        "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 101 Odd\r\n\r\n",
        "HTTP/1.1 000 Odd\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 600 Odd\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 404 Not Found\r\nx odd: 1\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 404 Not Found\r\nx\u{1}odd: 1\r\ncontent-length: 0\r\n\r\n",
    ];
    for answer in answers {
        run(assert_unavailable(answer));
    }
}

/// Bytes that a client may take of an answer, with what the operating system holds on the way.
const TAKEN_MAX: usize = 32 << 20;

/// A platform that begins each answer in one way and sends another text without end. Returns how many
/// bytes a call has taken when it has failed.
async fn taken_of_endless(start: &'static str, piece: &'static str) -> usize {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let server = task::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = stream.read(&mut [0; 1024]).await;
        let mut taken = 0;
        let piece = piece.repeat(64 * 1024 / piece.len());
        let mut next = start.as_bytes();
        while taken < 4 * TAKEN_MAX {
            match stream.write(next).await {
                Ok(n) if n > 0 => taken += n,
                _ => break,
            }
            next = piece.as_bytes();
        }
        taken
    });
    let mut opts = Options::new(addr, "a");
    // Only the limit on bytes ends the call.
    opts.answer = Span::secs(600);
    let called = Kv::new(opts).get("x").await;
    assert!(called.is_err(), "{start:?} {piece:?}");
    server.await
}

/// Guards against an answer without end that is kept in memory until the call's time is over.
#[test]
fn calls_endless_answers() {
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let cases = [
        ("HTTP/1.1 200 OK", "x"),
        ("HTTP/1.1 200 OK\r\nx-odd: ", "x"),
        ("HTTP/1.1 200 OK\r\n", "x-odd: 1\r\n"),
        (
            "HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n",
            "x",
        ),
        (chunked, "4\r\nabcd\r\n"),
        (chunked, "1"),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
            "x-odd: 1\r\n",
        ),
    ];
    for (start, piece) in cases {
        let taken = run(taken_of_endless(start, piece));
        assert!(taken < TAKEN_MAX, "{start:?} {piece:?}: {taken} bytes");
    }
}

#[test]
fn calls_wrong_address() {
    run(async {
        let kv = answering("HTTP/1.1 403 Forbidden\r\ncontent-length: 0\r\n\r\n").await;
        let err = kv.get("x").await.unwrap_err();
        assert_eq!(err, KvError::Refused(403));
        assert!(err.to_string().contains("check its address"), "{err}");
    });
}

/// Guards against a router that learns of no instance any more because of one entry.
#[test]
fn poll_odd_instances() {
    let sound = |name: &str| {
        format!(
            r#"{{"name":"{name}","role":"endpoint","service":"s","addr":"10.0.0.9:80","zone":"z"}}"#
        )
    };
    let deep = |open: &str, close: &str| open.repeat(10_000) + "1" + &close.repeat(10_000);
    let odd = [
        "null".into(),
        "7".into(),
        "{}".into(),
        deep("[", "]"),
        deep("{\"a\":", "}"),
        format!("{{\"name\":{}}}", deep("[", "]")),
        sound("a").replace("\"a\"", "1e999"),
        sound("a").replace("\"a\"", "\"\\ud800\""),
        sound("a").replace(":80", ":65536"),
        sound("a").replace(":80", ":0"),
        sound("a").replace("10.0.0.9", "0.0.0.0"),
        sound("a").replace("\"z\"", "\"z\",\"callers\":\"239.0.0.1:80\""),
        sound("a").replace("\"z\"", "\"z\",\"zone\":\"z\""),
        // The character is replaced by a byte that is no text.
        "\"@\"".into(),
    ];
    for odd in odd {
        let start: String = odd.chars().take(60).collect();
        let list = [sound("i-1"), odd, sound("i-2")].join(",");
        let mut body = format!(r#"{{"revision":3,"instances":[{list}]}}"#).into_bytes();
        if let Some(at) = body.iter().position(|b| *b == b'@') {
            body[at] = 0xff;
        }
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        run(async {
            let addr = address_answering([head.into_bytes(), body].concat()).await;
            let polled = Instances::new(Options::new(addr, "a")).poll().await;
            let listed = polled.unwrap_or_else(|e| panic!("{start}: {e}")).unwrap();
            let names: Vec<_> = listed.instances.iter().map(|i| &*i.name).collect();
            assert_eq!(names, ["i-1", "i-2"], "{start}");
        });
    }
}
