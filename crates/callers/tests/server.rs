//! The server: requests, streams, rejections and shutdown.

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
        Reason,
        Refused,
        Response,
        Server, //
    },
    common::{
        assert_serves,
        echo,
        send_raw,
        start,
        with_timeout,
        RawConnection,
        HEAD, //
    },
    futures_lite::future::poll_once,
    policy::Outcome,
    std::time::Duration, //
};

#[test]
fn request_keeps_connection() {
    task::block_on(async {
        let (_server, address) = start(Limits::default(), echo).await;
        let mut raw = RawConnection::connect(address).await;
        let extra = "chervilwind-request-id: r-7\r\nchervilwind-ticket: a.1.2\r\n\
            chervilwind-deadline-ms: 5000\r\ncontent-length: 5\r\n\r\nhello";
        raw.send(format!("{HEAD}{extra}")).await;
        let text = raw.read_until("hello").await;
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
        // The connection stays open.
        raw.send(format!("{HEAD}content-length: 5\r\n\r\nagain"))
            .await;
        raw.read_until("again").await;
    });
}

#[test]
fn request_chunked() {
    task::block_on(async {
        let (_server, address) = start(Limits::default(), echo).await;
        let body = "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
        let text = send_raw(
            address,
            format!("{HEAD}transfer-encoding: chunked\r\n\r\n{body}"),
        )
        .await;
        assert!(text.ends_with("\r\n\r\nabcde"), "{text}");
        assert!(text.contains("connection: close\r\n"), "{text}");
    });
}

#[test]
fn request_chunked_in_several_reads() {
    // The last line end of a chunked body arrives alone. The library's decoder then returns
    // Pending without registering a waker, and the request would hang until the body timeout
    // although its body has arrived.
    task::block_on(async {
        let long = Limits {
            body_timeout: Duration::from_secs(600),
            ..Limits::default()
        };
        let (_server, address) = start(long, echo).await;
        let mut raw = RawConnection::connect(address).await;
        let head = format!("{HEAD}transfer-encoding: chunked\r\n\r\n");
        for piece in [&head, "3\r\nabc", "\r\n0\r\n", "\r", "\n"] {
            raw.send(piece).await;
            task::sleep(Duration::from_millis(20)).await;
        }
        raw.read_until("\r\n\r\nabc").await;
    });
}

#[test]
fn request_pipelined() {
    // Two pipelined requests are answered in order. The second must not be lost with the buffer
    // into which the HTTP library read the first.
    task::block_on(async {
        let (_server, address) = start(Limits::default(), echo).await;
        let one = format!("{HEAD}content-length: 3\r\n\r\none");
        let two = format!("{HEAD}connection: close\r\ncontent-length: 3\r\n\r\ntwo");
        let text = send_raw(address, one + &two).await;
        assert_eq!(text.matches("HTTP/1.1 200 OK").count(), 2, "{text}");
        assert!(text.find("one").unwrap() < text.find("two").unwrap());
    });
}

#[test]
fn address_query() {
    task::block_on(async {
        let (_server, address) = start(Limits::default(), echo).await;
        let get = "GET /chervilwind/where?service=desk&tickets=3 HTTP/1.1\r\n\
            host: r\r\nconnection: close\r\n\r\n";
        let text = send_raw(address, get).await;
        assert!(text.contains("x-service: desk\r\n"), "{text}");
        assert!(text.contains("x-tickets: 3\r\n"), "{text}");
        let none = "GET /chervilwind/where HTTP/1.1\r\nhost: r\r\n\r\n";
        let text = send_raw(address, none).await;
        assert!(text.starts_with("HTTP/1.1 400 "), "{text}");
        assert!(text.contains("?service=NAME"), "{text}");
    });
}

#[test]
fn rejection_headers() {
    task::block_on(async {
        let (_server, address) = start(Limits::default(), |_| async {
            Refused::new(Reason::QueueFull, "come back later")
                .retry_after(Duration::from_millis(1200))
                .into()
        })
        .await;
        let text = send_raw(address, format!("{HEAD}connection: close\r\n\r\n")).await;
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
        let mut raw = RawConnection::connect(address).await;
        raw.send(format!("{HEAD}connection: close\r\n\r\n")).await;
        let head = raw.read_until("\r\n\r\n").await;
        assert!(head.contains("chervilwind-outcome: at-end\r\n"), "{head}");
        assert!(
            head.contains("content-type: text/event-stream\r\n"),
            "{head}"
        );
        // Each piece arrives before the next one is sent.
        for text in ["data: a\n\n", "data: b\n\n"] {
            with_timeout(send.send(Piece::Data(text.into())))
                .await
                .unwrap();
            assert_eq!(raw.read_until("\n\n\r\n").await, format!("9\r\n{text}\r\n"));
        }
        with_timeout(send.send(Piece::End)).await.unwrap();
        assert_eq!(raw.read_all().await, "0\r\n\r\n");
    });
}

#[test]
fn stream_aborted() {
    // An endpoint fails during an answer. The caller must not mistake the partial answer for a
    // complete one: it gets an error event, and the connection ends without the last chunk.
    task::block_on(async {
        let refused = Refused::new(Reason::AnswerLost, "cut");
        let event = abort_stream("text/event-stream", "data: a\n\n", Some(refused.clone())).await;
        assert!(
            event.contains("event: error\ndata: {\"outcome\":\"may-have-run\""),
            "{event}"
        );
        // Within an event, an error event would be parsed as a part of it, so none is sent.
        let inside = abort_stream("text/event-stream", "data: a", Some(refused.clone())).await;
        assert!(!inside.contains("event: error"), "{inside}");
        let plain = abort_stream("text/plain", "half", Some(refused)).await;
        assert!(plain.ends_with("half\r\n"), "{plain}");
        // The handler drops the channel without `Piece::End`.
        let dead = abort_stream("text/plain", "half", None).await;
        for text in [event, inside, plain, dead] {
            assert!(
                !text.contains("0\r\n\r\n"),
                "ends with the last chunk: {text}"
            );
        }
    });
}

async fn abort_stream(kind: &'static str, data: &'static str, end: Option<Refused>) -> String {
    let (_server, address) = start(Limits::default(), move |_| {
        let (send, pieces) = bounded(2);
        send.try_send(Piece::Data(data.into())).unwrap();
        if let Some(refused) = end.clone() {
            send.try_send(Piece::Fail(refused)).unwrap();
        }
        async move { Response::stream(200, pieces).header("content-type", kind) }
    })
    .await;
    send_raw(address, format!("{HEAD}\r\n")).await
}

#[test]
fn handler_panics() {
    // A panic of the handler affects one request: its caller gets status 500, and others are
    // served.
    task::block_on(async {
        let (_server, address) = start(Limits::default(), |req| async {
            if matches!(&req, IncomingRequest::Request { request, .. } if request.body == b"bad") {
                panic!("panic of the test");
            }
            echo(req).await
        })
        .await;
        let bad = format!("{HEAD}connection: close\r\ncontent-length: 3\r\n\r\nbad");
        let text = send_raw(address, bad).await;
        assert!(text.starts_with("HTTP/1.1 500 "), "{text}");
        assert!(
            text.contains("chervilwind-outcome: may-have-run\r\n"),
            "{text}"
        );
        assert_serves(address).await;
    });
}

#[test]
fn response_header_injection() {
    // A line break in an endpoint's header would allow response splitting if it were written
    // unchanged. Such a header is dropped.
    task::block_on(async {
        let (_server, address) = start(Limits::default(), |_| async {
            Response::complete(200, Outcome::Answered, Vec::new())
                .header("x-a", "1\r\nx-evil: 2")
                .header("x-b", "caf\u{e9}")
                .header("x-c", "3")
        })
        .await;
        let text = send_raw(address, format!("{HEAD}connection: close\r\n\r\n")).await;
        assert!(!text.contains("x-evil") && !text.contains("x-b"), "{text}");
        assert!(text.contains("x-c: 3\r\n"), "{text}");
    });
}

#[test]
fn stop_waits_for_running_requests() {
    // The server stops while a request runs and another connection is idle. The idle connection
    // is closed, the request gets its complete response, and only then does `stop` return.
    task::block_on(async {
        let (resume, wait) = bounded::<()>(1);
        let (started, started_events) = bounded::<()>(1);
        let (server, address) = start(Limits::default(), move |request| {
            let (wait, started) = (wait.clone(), started.clone());
            async move {
                started.send(()).await.unwrap();
                wait.recv().await.unwrap();
                echo(request).await
            }
        })
        .await;
        let mut idle = RawConnection::connect(address).await;
        let mut busy = RawConnection::connect(address).await;
        busy.send(format!("{HEAD}content-length: 2\r\n\r\nok"))
            .await;
        with_timeout(started_events.recv()).await.unwrap();
        let stopping = server.clone();
        let (done, ended) = bounded::<()>(1);
        task::spawn(async move {
            stopping.stop().await;
            done.send(()).await.unwrap();
        });
        assert_eq!(idle.read_all().await, "");
        assert!(ended.is_empty(), "the stop ended before the request");
        resume.send(()).await.unwrap();
        let text = busy.read_all().await;
        assert!(text.contains("connection: close\r\n"), "{text}");
        assert!(text.ends_with("ok"), "{text}");
        with_timeout(ended.recv()).await.unwrap();
        assert_eq!(server.connections(), 0);
    });
}

#[test]
fn stop_serves_accept_queue() {
    // A caller has connected and sent its request when the server stops, but its connection was
    // not accepted yet. Dropping the listener would reset it, and the caller could not know
    // whether the request ran.
    task::block_on(async {
        let server = Server::new(Limits::default(), echo);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let mut serving = Box::pin(server.serve(listener));
        assert!(poll_once(&mut serving).await.is_none());
        let mut raw = RawConnection::connect(address).await;
        raw.send(format!("{HEAD}content-length: 2\r\n\r\nok")).await;
        let mut stopping = Box::pin(server.stop());
        assert!(poll_once(&mut stopping).await.is_none());
        with_timeout(serving).await;
        raw.read_until("ok").await;
        drop(raw);
        with_timeout(stopping).await;
    });
}
