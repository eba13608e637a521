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
        KeyRevision,
        Kv,
        KvError,
        Options, //
    },
};

/// A platform that gives one answer to whatever it is asked, and closes.
async fn answering(answer: &'static str) -> Kv {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    task::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut head = [0; 1024];
            let _ = stream.read(&mut head).await;
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    Kv::new(Options::new(addr, "a"))
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
            let kv = answering(answer).await;
            let err = kv.get("x").await.unwrap_err();
            assert!(
                matches!(err, KvError::Unavailable { .. }),
                "{answer:?}: {err}"
            );
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
        run(async {
            let kv = answering(answer).await;
            let err = kv.get("x").await.unwrap_err();
            assert!(
                matches!(err, KvError::Unavailable { .. }),
                "{answer:?}: {err}"
            );
        });
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
