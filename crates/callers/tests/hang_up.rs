//! Callers that disconnect or stop reading.

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
        start,
        with_timeout,
        RawConnection,
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

/// Starts a server whose requests run until their caller disconnects, and reports both events.
async fn start_waiting() -> (Server, SocketAddr, Receiver<&'static str>) {
    let (sender, events) = bounded(8);
    let (server, address) = start(Limits::default(), move |request| {
        let sender = sender.clone();
        async move {
            let IncomingRequest::Request {
                request,
                disconnect,
            } = request
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
            sender.send("began").await.unwrap();
            disconnect.wait().await;
            sender.send("gone").await.unwrap();
            Response::complete(200, Outcome::Answered, Vec::new())
        }
    })
    .await;
    (server, address, events)
}

async fn connections_closed(server: &Server) {
    with_timeout(async {
        while server.connections() > 0 {
            task::sleep(Duration::from_millis(1)).await;
        }
    })
    .await;
}

#[test]
fn hang_up_while_request_runs() {
    // A caller disconnects while its request is queued or running. If the socket were not read
    // meanwhile, the router would detect this only when writing, and the endpoint would keep
    // working on a request that nobody waits for.
    task::block_on(async {
        let (server, address, events) = start_waiting().await;
        let mut raw = RawConnection::connect(address).await;
        raw.send(format!("{HEAD}\r\n")).await;
        assert_eq!(with_timeout(events.recv()).await, Ok("began"));
        drop(raw);
        assert_eq!(with_timeout(events.recv()).await, Ok("gone"));
        connections_closed(&server).await;
    });
}

#[test]
fn hang_up_half_closed() {
    // A half-closed connection counts as a disconnect, because it can't be distinguished from
    // a fully closed one until something is written.
    task::block_on(async {
        let (_server, address, events) = start_waiting().await;
        let mut raw = RawConnection::connect(address).await;
        raw.send(format!("{HEAD}\r\n")).await;
        assert_eq!(with_timeout(events.recv()).await, Ok("began"));
        raw.0.shutdown(Shutdown::Write).unwrap();
        assert_eq!(with_timeout(events.recv()).await, Ok("gone"));
        assert_eq!(raw.read_to_end().await, "");
    });
}

#[test]
fn hang_up_with_pipelined_request() {
    // Buffered bytes of a pipelined request must not hide the disconnect.
    task::block_on(async {
        let (_server, address, events) = start_waiting().await;
        let mut raw = RawConnection::connect(address).await;
        raw.send(format!("{HEAD}\r\n{HEAD}\r\n")).await;
        assert_eq!(with_timeout(events.recv()).await, Ok("began"));
        drop(raw);
        assert_eq!(with_timeout(events.recv()).await, Ok("gone"));
    });
}

#[test]
fn hang_up_while_sending() {
    // Callers disconnect within the head and within the body. The handler must not be called,
    // and a partial body must not be treated as complete.
    task::block_on(async {
        let (server, address, events) = start_waiting().await;
        let body = format!("{HEAD}content-length: 9\r\n\r\nabc");
        let chunk = format!("{HEAD}transfer-encoding: chunked\r\n\r\n9\r\nabc");
        for text in [HEAD, &body, &chunk] {
            let mut raw = RawConnection::connect(address).await;
            raw.send(text).await;
            raw.0.shutdown(Shutdown::Write).unwrap();
            assert_eq!(raw.read_to_end().await, "");
        }
        connections_closed(&server).await;
        assert!(events.is_empty());
    });
}

#[test]
fn hang_up_after_response() {
    // A caller disconnects after a response. The next caller is served.
    task::block_on(async {
        let (server, address, _events) = start_waiting().await;
        let quick = format!("{HEAD}content-length: 5\r\n\r\nquick");
        for _ in 0..2 {
            let mut raw = RawConnection::connect(address).await;
            raw.send(&quick).await;
            raw.read_until("quick").await;
            drop(raw);
            connections_closed(&server).await;
        }
    });
}

/// Starts a server that streams from a channel, and passes the channel and the signal to the test.
async fn start_streaming(
    limits: Limits,
) -> (
    Server,
    SocketAddr,
    Receiver<(Sender<Piece>, DisconnectSignal)>,
) {
    let (sender, events) = bounded(8);
    let (server, address) = start(limits, move |request| {
        let sender = sender.clone();
        async move {
            let IncomingRequest::Request {
                disconnect,
                request,
            } = request
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
            sender.send((send, disconnect)).await.unwrap();
            Response::stream(200, pieces)
        }
    })
    .await;
    (server, address, events)
}

#[test]
fn hang_up_during_stream() {
    // A caller disconnects between two pieces. The signal fires, and the channel of pieces is
    // closed.
    task::block_on(async {
        let (server, address, events) = start_streaming(Limits::default()).await;
        let mut raw = RawConnection::connect(address).await;
        raw.send(format!("{HEAD}\r\n")).await;
        let (pieces, disconnect) = with_timeout(events.recv()).await.unwrap();
        pieces.send(Piece::Data(b"one".to_vec())).await.unwrap();
        raw.read_until("one\r\n").await;
        drop(raw);
        with_timeout(disconnect.wait()).await;
        with_timeout(async { while pieces.send(Piece::Data(b"two".to_vec())).await.is_ok() {} })
            .await;
        connections_closed(&server).await;
    });
}

#[test]
fn stalled_reader_is_disconnected() {
    // A caller stops reading its stream but keeps the connection open. The buffered data is
    // bounded by one piece and the socket buffers, and the connection is closed after the stall
    // timeout.
    task::block_on(async {
        let limits = Limits {
            stall_timeout: Duration::from_millis(300),
            ..Limits::default()
        };
        let (server, address, events) = start_streaming(limits).await;
        let mut raw = RawConnection::connect(address).await;
        raw.send(format!("{HEAD}\r\n")).await;
        let (pieces, disconnect) = with_timeout(events.recv()).await.unwrap();
        let piece = 64 * 1024;
        let mut sent = 0;
        with_timeout(async {
            while pieces.send(Piece::Data(vec![b'a'; piece])).await.is_ok() {
                sent += piece;
            }
        })
        .await;
        assert!(sent < 64 * 1024 * 1024, "buffered without bound: {sent}");
        with_timeout(disconnect.wait()).await;
        connections_closed(&server).await;
        drop(raw);
    });
}

#[test]
fn waiting_requests_do_not_block_others() {
    task::block_on(async {
        let (_server, address, _events) = start_waiting().await;
        let mut stuck = Vec::new();
        for _ in 0..8 {
            let mut raw = RawConnection::connect(address).await;
            raw.send(format!("{HEAD}\r\n")).await;
            stuck.push(raw);
        }
        let quick = format!("{HEAD}content-length: 5\r\n\r\nquick");
        let mut raw = RawConnection::connect(address).await;
        raw.send(quick).await;
        raw.read_until("quick").await;
    });
}
