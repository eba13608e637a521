//! Callers that go away, or that stop reading.

mod common;

use {
    async_std::{
        channel::{
            bounded,
            Receiver,
            Sender, //
        },
        task, //
    },
    callers::{
        DisconnectSignal,
        IncomingRequest,
        Limits,
        Piece,
        Response,
        Server, //
    },
    common::{
        echo,
        soon,
        start,
        Raw,
        HEAD, //
    },
    policy::Outcome,
    std::{
        net::{
            Shutdown,
            SocketAddr, //
        },
        time::Duration, //
    },
};

/// Starts a server whose requests last until their caller is gone, which is then reported.
async fn patient() -> (Server, SocketAddr, Receiver<&'static str>) {
    let (say, heard) = bounded(8);
    let (server, address) = start(Limits::default(), move |ask| {
        let say = say.clone();
        async move {
            let IncomingRequest::Request {
                request,
                disconnect,
            } = ask
            else {
                panic!("no address was asked for");
            };
            if request.body == b"quick" {
                return echo(IncomingRequest::Request {
                    request,
                    disconnect,
                })
                .await;
            }
            say.send("began").await.unwrap();
            disconnect.wait().await;
            say.send("gone").await.unwrap();
            Response::complete(200, Outcome::Answered, Vec::new())
        }
    })
    .await;
    (server, address, heard)
}

async fn ended(server: &Server) {
    soon(async {
        while server.connections() > 0 {
            task::sleep(Duration::from_millis(1)).await;
        }
    })
    .await;
}

#[test]
fn hang_up_waiting() {
    // A caller gives up while its request is queued or runs. Without a watch on the socket the
    // router finds out only when it writes, and the endpoint works for nobody until then.
    task::block_on(async {
        let (server, address, heard) = patient().await;
        let mut raw = Raw::connect(address).await;
        raw.send(format!("{HEAD}\r\n")).await;
        assert_eq!(soon(heard.recv()).await, Ok("began"));
        drop(raw);
        assert_eq!(soon(heard.recv()).await, Ok("gone"));
        ended(&server).await;
    });
}

#[test]
fn hang_up_half() {
    // A caller that closes only its own direction counts as gone too: it can't be told from
    // one that closed both before something is written to it.
    task::block_on(async {
        let (_server, address, heard) = patient().await;
        let mut raw = Raw::connect(address).await;
        raw.send(format!("{HEAD}\r\n")).await;
        assert_eq!(soon(heard.recv()).await, Ok("began"));
        raw.0.shutdown(Shutdown::Write).unwrap();
        assert_eq!(soon(heard.recv()).await, Ok("gone"));
        assert_eq!(raw.rest().await, "");
    });
}

#[test]
fn hang_up_early_next() {
    // The caller had already sent its next request when it hung up. The bytes that wait must
    // not hide the hang-up.
    task::block_on(async {
        let (_server, address, heard) = patient().await;
        let mut raw = Raw::connect(address).await;
        raw.send(format!("{HEAD}\r\n{HEAD}\r\n")).await;
        assert_eq!(soon(heard.recv()).await, Ok("began"));
        drop(raw);
        assert_eq!(soon(heard.recv()).await, Ok("gone"));
    });
}

#[test]
fn hang_up_sending() {
    // A caller hangs up in the middle of its head, and another in the middle of its body. The
    // handler never sees either, and the body so far is not taken for the whole.
    task::block_on(async {
        let (server, address, heard) = patient().await;
        let body = format!("{HEAD}content-length: 9\r\n\r\nabc");
        let chunk = format!("{HEAD}transfer-encoding: chunked\r\n\r\n9\r\nabc");
        for text in [HEAD, &body, &chunk] {
            let mut raw = Raw::connect(address).await;
            raw.send(text).await;
            raw.0.shutdown(Shutdown::Write).unwrap();
            assert_eq!(raw.rest().await, "");
        }
        ended(&server).await;
        assert!(heard.is_empty());
    });
}

#[test]
fn hang_up_kept() {
    // A caller hangs up on a kept connection, after an answer. The next one is served.
    task::block_on(async {
        let (server, address, _heard) = patient().await;
        let quick = format!("{HEAD}content-length: 5\r\n\r\nquick");
        for _ in 0..2 {
            let mut raw = Raw::connect(address).await;
            raw.send(&quick).await;
            raw.until("quick").await;
            drop(raw);
            ended(&server).await;
        }
    });
}

/// Starts a server that streams from a channel, and reports each request's signal.
async fn streaming(
    limits: Limits,
) -> (
    Server,
    SocketAddr,
    Receiver<(Sender<Piece>, DisconnectSignal)>,
) {
    let (say, heard) = bounded(8);
    let (server, address) = start(limits, move |ask| {
        let say = say.clone();
        async move {
            let IncomingRequest::Request {
                disconnect,
                request,
            } = ask
            else {
                panic!("no address was asked for");
            };
            if request.target != "/v1/x?a=1" {
                return echo(IncomingRequest::Request {
                    disconnect,
                    request,
                })
                .await;
            }
            let (send, pieces) = bounded(1);
            say.send((send, disconnect)).await.unwrap();
            Response::stream(200, pieces)
        }
    })
    .await;
    (server, address, heard)
}

#[test]
fn hang_up_streaming() {
    // A caller hangs up between two tokens. Both ways to find out work at once: the signal
    // fires, and the channel of pieces is closed.
    task::block_on(async {
        let (server, address, heard) = streaming(Limits::default()).await;
        let mut raw = Raw::connect(address).await;
        raw.send(format!("{HEAD}\r\n")).await;
        let (send, disconnect) = soon(heard.recv()).await.unwrap();
        send.send(Piece::Data(b"one".to_vec())).await.unwrap();
        raw.until("one\r\n").await;
        drop(raw);
        soon(disconnect.wait()).await;
        soon(async { while send.send(Piece::Data(b"two".to_vec())).await.is_ok() {} }).await;
        ended(&server).await;
    });
}

#[test]
fn reading_stopped() {
    // A caller stops reading its stream but keeps the connection. What waits for it is bounded
    // by one piece and the socket's buffers; after the stall bound it is cut, and others are
    // served meanwhile.
    task::block_on(async {
        let limits = Limits {
            stall_timeout: Duration::from_millis(300),
            ..Limits::default()
        };
        let (server, address, heard) = streaming(limits).await;
        let mut raw = Raw::connect(address).await;
        raw.send(format!("{HEAD}\r\n")).await;
        let (send, disconnect) = soon(heard.recv()).await.unwrap();
        let piece = 64 * 1024;
        let mut sent = 0;
        soon(async {
            while send.send(Piece::Data(vec![b'a'; piece])).await.is_ok() {
                sent += piece;
            }
        })
        .await;
        assert!(sent < 64 * 1024 * 1024, "buffered without bound: {sent}");
        soon(disconnect.wait()).await;
        ended(&server).await;
        drop(raw);
    });
}

#[test]
fn reading_stopped_others() {
    task::block_on(async {
        let (_server, address, _heard) = patient().await;
        let mut stuck = Vec::new();
        for _ in 0..8 {
            let mut raw = Raw::connect(address).await;
            raw.send(format!("{HEAD}\r\n")).await;
            stuck.push(raw);
        }
        let quick = format!("{HEAD}content-length: 5\r\n\r\nquick");
        let mut raw = Raw::connect(address).await;
        raw.send(quick).await;
        raw.until("quick").await;
    });
}
