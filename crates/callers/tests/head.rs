//! Answers to HEAD requests, which have no body.

mod common;

use {
    async_std::{
        channel::bounded,
        task, //
    },
    callers::{
        IncomingRequest,
        Limits,
        Piece,
        Response, //
    },
    common::{
        echo,
        send_raw,
        start,
        RawConnection,
        HEAD, //
    },
    policy::Outcome,
};

/// The text after the head of an answer.
fn rest(text: &str) -> &str {
    text.split_once("\r\n\r\n").expect("a whole head").1
}

/// Guards against a body in an answer to HEAD, which the caller takes for its next answer.
#[test]
fn head_answered_on_a_kept_connection() {
    task::block_on(async {
        let respond = |incoming: IncomingRequest| async {
            let IncomingRequest::Request { request, .. } = incoming else {
                return echo(incoming).await;
            };
            if request.target.starts_with("/v1/stream") {
                let (sender, pieces) = bounded(2);
                sender
                    .send(Piece::Data(b"data: a\n\n".to_vec()))
                    .await
                    .unwrap();
                sender.send(Piece::End).await.unwrap();
                return Response::stream(200, pieces).header("content-type", "text/event-stream");
            }
            Response::complete(200, Outcome::Answered, b"hello".to_vec())
        };
        let (_server, address) = start(Limits::default(), respond).await;
        for path in ["/v1/x", "/v1/stream"] {
            let mut raw = RawConnection::connect(address).await;
            let head = HEAD.replace("POST /v1/x", &format!("HEAD {path}"));
            raw.send(format!("{head}\r\n")).await;
            let text = raw.read_until("\r\n\r\n").await;
            assert!(text.starts_with("HTTP/1.1 200 OK"), "{text}");
            raw.send(format!("{HEAD}connection: close\r\n\r\n")).await;
            let text = raw.read_all().await;
            assert!(text.starts_with("HTTP/1.1 200 OK"), "{path}: {text}");
            assert_eq!(rest(&text), "hello", "{path}");
        }
    });
}

/// Guards against a body after the head of a rejection, which ends the connection.
#[test]
fn head_rejected() {
    task::block_on(async {
        let (_server, address) = start(Limits::default(), echo).await;
        for (head, status) in [
            ("HEAD /v1/x HTTP/1.1\r\nhost: r\r\n\r\n".to_owned(), "400"),
            (
                HEAD.replace("POST", "HEAD") + "content-length: 99999999999\r\n\r\n",
                "413",
            ),
        ] {
            let text = send_raw(address, head).await;
            assert!(text.starts_with(&format!("HTTP/1.1 {status}")), "{text}");
            assert_eq!(rest(&text), "");
        }
    });
}
