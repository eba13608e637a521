//! The server: requests, streams, refusals and its end.

mod common;

use {
    async_std::{
        channel::bounded,
        net::TcpListener,
        task, //
    },
    callers::{
        IncomingRequest,
        Limits,
        Piece,
        Reason, //
        Refused,
        Response,
        Server,
    },
    common::{
        echo,
        serves,
        soon,
        start,
        tell,
        Raw,
        HEAD, //
    },
    futures_lite::future::poll_once,
    policy::Outcome,
    std::time::Duration, //
};

#[test]
fn request_plain() {
    task::block_on(async {
        let (_server, address) = start(Limits::default(), echo).await;
        let mut raw = Raw::connect(address).await;
        let extra = "chervilwind-request-id: r-7\r\nchervilwind-ticket: a.1.2\r\n\
            chervilwind-deadline-ms: 5000\r\ncontent-length: 5\r\n\r\nhello";
        raw.send(format!("{HEAD}{extra}")).await;
        let text = raw.until("hello").await;
        for part in [
            "HTTP/1.1 200 OK\r\n",
            "content-length: 5\r\n",
            "chervilwind-outcome: answered\r\n",
            "chervilwind-request-id: r-7\r\n",
            "x-service: desk\r\n",
            "x-target: /v1/x?a=1\r\n",
            "x-ticket: a.1.2\r\n",
            "x-deadline: true\r\n",
        ] {
            assert!(text.contains(part), "no {part:?} in {text}");
        }
        // The connection is kept.
        raw.send(format!("{HEAD}content-length: 5\r\n\r\nagain"))
            .await;
        raw.until("again").await;
    });
}

#[test]
fn request_chunked() {
    task::block_on(async {
        let (_server, address) = start(Limits::default(), echo).await;
        let body = "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
        let text = tell(
            address,
            format!("{HEAD}transfer-encoding: chunked\r\n\r\n{body}"),
        )
        .await;
        assert!(text.ends_with("\r\n\r\nabcde"), "{text}");
        assert!(text.contains("connection: close\r\n"), "{text}");
    });
}

#[test]
fn request_chunked_pieces() {
    // A caller's chunked body comes in pieces, the last line end of it alone. The library
    // reads on from there without asking to be woken, so the request hung until the body's
    // time was up although it was all there.
    task::block_on(async {
        let long = Limits {
            body_timeout: Duration::from_secs(600),
            ..Limits::default()
        };
        let (_server, address) = start(long, echo).await;
        let mut raw = Raw::connect(address).await;
        let head = format!("{HEAD}transfer-encoding: chunked\r\n\r\n");
        for piece in [&head, "3\r\nabc", "\r\n0\r\n", "\r", "\n"] {
            raw.send(piece).await;
            task::sleep(Duration::from_millis(20)).await;
        }
        raw.until("\r\n\r\nabc").await;
    });
}

#[test]
fn request_pipelined() {
    // A caller sends two requests in one go. Both are answered, in order: the second must not
    // be lost with the buffer in which the HTTP library read the first.
    task::block_on(async {
        let (_server, address) = start(Limits::default(), echo).await;
        let one = format!("{HEAD}content-length: 3\r\n\r\none");
        let two = format!("{HEAD}connection: close\r\ncontent-length: 3\r\n\r\ntwo");
        let text = tell(address, one + &two).await;
        assert_eq!(text.matches("HTTP/1.1 200 OK").count(), 2, "{text}");
        assert!(text.find("one").unwrap() < text.find("two").unwrap());
    });
}

#[test]
fn where_query() {
    task::block_on(async {
        let (_server, address) = start(Limits::default(), echo).await;
        let get = "GET /chervilwind/where?service=desk&tickets=3 HTTP/1.1\r\n\
            host: r\r\nconnection: close\r\n\r\n";
        let text = tell(address, get).await;
        assert!(text.contains("x-service: desk\r\n"), "{text}");
        assert!(text.contains("x-tickets: 3\r\n"), "{text}");
        let none = "GET /chervilwind/where HTTP/1.1\r\nhost: r\r\n\r\n";
        let text = tell(address, none).await;
        assert!(text.starts_with("HTTP/1.1 400 "), "{text}");
        assert!(text.contains("?service=NAME"), "{text}");
    });
}

#[test]
fn refusal_headers() {
    task::block_on(async {
        let (_server, address) = start(Limits::default(), |_| async {
            Refused::new(Reason::QueueFull, "come back later")
                .retry_after(Duration::from_millis(1200))
                .into()
        })
        .await;
        let text = tell(address, format!("{HEAD}connection: close\r\n\r\n")).await;
        for part in [
            "HTTP/1.1 429 ",
            "chervilwind-outcome: not-run\r\n",
            "retry-after: 2\r\n",
            "chervilwind-retry-ms: 1200\r\n",
            r#"{"outcome":"not-run","why":"queue-full","message":"come back later","retry_ms":1200}"#,
        ] {
            assert!(text.contains(part), "no {part:?} in {text}");
        }
    });
}

#[test]
fn stream_unbuffered() {
    task::block_on(async {
        let (send, pieces) = bounded(1);
        let (_server, address) = start(Limits::default(), move |_| {
            let pieces = pieces.clone();
            async move { Response::stream(200, pieces).header("content-type", "text/event-stream") }
        })
        .await;
        let mut raw = Raw::connect(address).await;
        raw.send(format!("{HEAD}connection: close\r\n\r\n")).await;
        let head = raw.until("\r\n\r\n").await;
        assert!(head.contains("chervilwind-outcome: at-end\r\n"), "{head}");
        assert!(
            head.contains("content-type: text/event-stream\r\n"),
            "{head}"
        );
        // Each piece arrives before the next one is made.
        for text in ["data: a\n\n", "data: b\n\n"] {
            soon(send.send(Piece::Data(text.into()))).await.unwrap();
            assert_eq!(raw.until("\n\n\r\n").await, format!("9\r\n{text}\r\n"));
        }
        soon(send.send(Piece::End)).await.unwrap();
        assert_eq!(raw.rest().await, "0\r\n\r\n");
    });
}

#[test]
fn stream_cut() {
    // An endpoint dies in the middle of an answer. The caller must not take the half for the
    // whole: it gets an error event, and the connection ends without the last chunk.
    task::block_on(async {
        let refused = Refused::new(Reason::AnswerLost, "cut");
        let event = cut("text/event-stream", "data: a\n\n", Some(refused.clone())).await;
        assert!(
            event.contains("event: error\ndata: {\"outcome\":\"may-have-run\""),
            "{event}"
        );
        // In the middle of an event an error event would join it, so there is none.
        let inside = cut("text/event-stream", "data: a", Some(refused.clone())).await;
        assert!(!inside.contains("event: error"), "{inside}");
        let plain = cut("text/plain", "half", Some(refused)).await;
        assert!(plain.ends_with("half\r\n"), "{plain}");
        // A handler that dies sends nothing more.
        let dead = cut("text/plain", "half", None).await;
        for text in [event, inside, plain, dead] {
            assert!(!text.contains("0\r\n\r\n"), "a clean end: {text}");
        }
    });
}

async fn cut(kind: &'static str, data: &'static str, end: Option<Refused>) -> String {
    let (_server, address) = start(Limits::default(), move |_| {
        let (send, pieces) = bounded(2);
        send.try_send(Piece::Data(data.into())).unwrap();
        if let Some(refused) = end.clone() {
            send.try_send(Piece::Fail(refused)).unwrap();
        }
        async move { Response::stream(200, pieces).header("content-type", kind) }
    })
    .await;
    tell(address, format!("{HEAD}\r\n")).await
}

#[test]
fn handler_panics() {
    // A fault in the router's own code hits one request. Its caller is told so, and others
    // are served.
    task::block_on(async {
        let (_server, address) = start(Limits::default(), |ask| async {
            if matches!(&ask, IncomingRequest::Request { request, .. } if request.body == b"bad") {
                panic!("a fault of the test's making");
            }
            echo(ask).await
        })
        .await;
        let bad = format!("{HEAD}connection: close\r\ncontent-length: 3\r\n\r\nbad");
        let text = tell(address, bad).await;
        assert!(text.starts_with("HTTP/1.1 500 "), "{text}");
        assert!(
            text.contains("chervilwind-outcome: may-have-run\r\n"),
            "{text}"
        );
        serves(address).await;
    });
}

#[test]
fn response_header_split() {
    // An endpoint's header holds a line break. Written as it is, it would split the answer in
    // two and the caller would read another's. It is left out.
    task::block_on(async {
        let (_server, address) = start(Limits::default(), |_| async {
            Response::complete(200, Outcome::Answered, Vec::new())
                .header("x-a", "1\r\nx-evil: 2")
                .header("x-b", "caf\u{e9}")
                .header("x-c", "3")
        })
        .await;
        let text = tell(address, format!("{HEAD}connection: close\r\n\r\n")).await;
        assert!(!text.contains("x-evil") && !text.contains("x-b"), "{text}");
        assert!(text.contains("x-c: 3\r\n"), "{text}");
    });
}

#[test]
fn stop_running() {
    // A router is replaced while a request runs and another connection is idle. The request
    // gets its whole answer, the idle connection is closed, and only then the stop ends.
    task::block_on(async {
        let (go, wait) = bounded::<()>(1);
        let (began, begun) = bounded::<()>(1);
        let (server, address) = start(Limits::default(), move |ask| {
            let (wait, began) = (wait.clone(), began.clone());
            async move {
                began.send(()).await.unwrap();
                wait.recv().await.unwrap();
                echo(ask).await
            }
        })
        .await;
        let mut idle = Raw::connect(address).await;
        let mut busy = Raw::connect(address).await;
        busy.send(format!("{HEAD}content-length: 2\r\n\r\nok"))
            .await;
        soon(begun.recv()).await.unwrap();
        let stopping = server.clone();
        let (done, ended) = bounded::<()>(1);
        task::spawn(async move {
            stopping.stop().await;
            done.send(()).await.unwrap();
        });
        assert_eq!(idle.rest().await, "");
        assert!(ended.is_empty(), "the stop ended before the request");
        go.send(()).await.unwrap();
        let text = busy.rest().await;
        assert!(text.contains("connection: close\r\n"), "{text}");
        assert!(text.ends_with("ok"), "{text}");
        soon(ended.recv()).await.unwrap();
        assert_eq!(server.connections(), 0);
    });
}

#[test]
fn stop_backlog() {
    // A caller connects and sends its request just as the router stops, and was not accepted
    // yet. Dropping the listener would reset it, and its caller could not know what became of
    // the request.
    task::block_on(async {
        let server = Server::new(Limits::default(), echo);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let mut serving = Box::pin(server.serve(listener));
        assert!(poll_once(&mut serving).await.is_none());
        let mut raw = Raw::connect(address).await;
        raw.send(format!("{HEAD}content-length: 2\r\n\r\nok")).await;
        let mut stopping = Box::pin(server.stop());
        assert!(poll_once(&mut stopping).await.is_none());
        soon(serving).await;
        raw.until("ok").await;
        drop(raw);
        soon(stopping).await;
    });
}
