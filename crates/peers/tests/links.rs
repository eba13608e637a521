//! Streams between two routers over a network that fails.

use {
    async_std::{
        channel::{
            unbounded,
            Receiver, //
        },
        future::timeout,
        net::{
            TcpListener,
            TcpStream, //
        },
        task, //
    },
    futures_lite::io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    peers::{
        serve,
        Handler,
        Incoming,
        LinkTiming,
        Links,
        PeerLimits, //
    },
    policy::{
        Incarnation,
        RouterId, //
    },
    resources::Bytes,
    standins::relay::Relay,
    std::{
        net::SocketAddr,
        sync::Arc,
        time::Duration, //
    },
};

/// Longer than any test takes, unless it hangs.
const TIMEOUT: Duration = Duration::from_secs(30);

struct Router {
    id: RouterId,
    addr: SocketAddr,
    links: Arc<Links<u32>>,
    inbox: Receiver<Incoming<u32>>,
}

fn short_timing() -> LinkTiming {
    LinkTiming {
        ack_timeout: Duration::from_millis(300),
        check_interval: Duration::from_millis(50),
        reconnect_delay: Duration::from_millis(50),
        ..LinkTiming::default()
    }
}

async fn router(name: &str, incarnation: u64) -> Router {
    router_with_timing(name, incarnation, short_timing()).await
}

async fn router_with_timing(name: &str, incarnation: u64, timing: LinkTiming) -> Router {
    router_with(name, incarnation, timing, PeerLimits::default()).await
}

async fn router_with(
    name: &str,
    incarnation: u64,
    timing: LinkTiming,
    limits: PeerLimits,
) -> Router {
    let id: RouterId = name.parse().unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let links = Links::new(id.clone(), Incarnation(incarnation), timing);
    let (tx, inbox) = unbounded();
    let handler = Handler {
        receive: Box::new(move |m| {
            let _ = tx.try_send(m);
        }),
        answer: Box::new(|_, q: u32| Box::pin(async move { q * 2 })),
    };
    task::spawn(serve(listener, links.clone(), handler, limits));
    Router {
        id,
        addr,
        links,
        inbox,
    }
}

async fn receive(r: &Router) -> u32 {
    let m = timeout(TIMEOUT, r.inbox.recv())
        .await
        .expect("a message")
        .unwrap();
    m.items[0]
}

/// Sends increasing numbers until one is received, and returns it.
async fn send_until_received(from: &Router, to: &Router, start: u32) -> u32 {
    for n in start.. {
        from.links.send(&to.id, n);
        let got = timeout(Duration::from_millis(100), to.inbox.recv()).await;
        if let Ok(Ok(m)) = got {
            return m.items[0];
        }
        assert!(n < start + 300, "no message is received any more");
    }
    unreachable!()
}

#[async_std::test]
async fn send_in_order() {
    let a = router("a", 1).await;
    let b = router("b", 1).await;
    a.links.set_route(&b.id, b.addr, Duration::ZERO);
    send_until_received(&a, &b, 0).await;
    while b.inbox.try_recv().is_ok() {}
    a.links.send(&b.id, 7);
    assert_eq!(receive(&b).await, 7);
    a.links.send(&b.id, 8);
    assert_eq!(receive(&b).await, 8);
}

#[async_std::test]
async fn ask_answered() {
    let a = router("a", 1).await;
    let b = router("b", 1).await;
    let got: u32 = a.links.ask(b.addr, &21u32, TIMEOUT).await.unwrap();
    assert_eq!(got, 42);
}

#[async_std::test]
async fn ask_nobody_listens() {
    let a = router("a", 1).await;
    let free = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = free.local_addr().unwrap();
    drop(free);
    let got: Result<u32, _> = a.links.ask(addr, &1u32, TIMEOUT).await;
    assert!(matches!(got, Err(peers::AskError::Connect(_))), "{got:?}");
}

/// Guards against an answer without end that is kept in memory until the time for it is over.
#[async_std::test]
async fn ask_endless_answer() {
    const TAKEN_MAX: usize = 64 << 20;
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    for (start, piece) in [
        ("HTTP/1.1 200 OK", "x"),
        ("HTTP/1.1 200 OK\r\nx-odd: ", "x"),
        (chunked, "4\r\nabcd\r\n"),
    ] {
        let a = router("a", 1).await;
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let peer = task::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut taken = 0;
            let piece = piece.repeat(64 * 1024 / piece.len());
            let mut next = start.as_bytes();
            while taken < 2 * TAKEN_MAX {
                match stream.write(next).await {
                    Ok(n) if n > 0 => taken += n,
                    _ => break,
                }
                next = piece.as_bytes();
            }
            taken
        });
        // Only the limit on bytes ends it.
        let asked: Result<u32, _> = a.links.ask(addr, &1u32, Duration::from_secs(600)).await;
        assert!(matches!(asked, Err(peers::AskError::Lost(_))), "{asked:?}");
        let taken = peer.await;
        assert!(taken < TAKEN_MAX, "{start:?} {piece:?}: {taken} bytes");
    }
}

#[async_std::test]
async fn send_over_silently_dropped_connection() {
    // A network device lost its state of an open connection: writes to it succeed, but all data is
    // dropped, while new connections work. The receiver got no more messages of that peer.
    let a = router("a", 1).await;
    let b = router("b", 1).await;
    let relay = Relay::start(b.addr).await.unwrap();
    a.links.set_route(&b.id, relay.addr, Duration::ZERO);
    b.links.set_route(&a.id, a.addr, Duration::ZERO);
    send_until_received(&a, &b, 0).await;
    relay.silence();
    let got = send_until_received(&a, &b, 1000).await;
    assert!(got >= 1000);
}

#[async_std::test]
async fn send_after_partition() {
    // Messages sent during a network partition may be lost. Those sent after it must be received
    // without a restart of either router.
    let a = router("a", 1).await;
    let b = router("b", 1).await;
    let relay = Relay::start(b.addr).await.unwrap();
    a.links.set_route(&b.id, relay.addr, Duration::ZERO);
    b.links.set_route(&a.id, a.addr, Duration::ZERO);
    send_until_received(&a, &b, 0).await;
    relay.block("a");
    for n in 100..110 {
        a.links.send(&b.id, n);
        task::sleep(Duration::from_millis(20)).await;
    }
    relay.heal();
    let got = send_until_received(&a, &b, 1000).await;
    assert!(got >= 1000);
}

#[async_std::test]
async fn send_from_restarted_router() {
    // A restarted router numbers its frames from 1 again. Its peer must accept them all the same.
    let a = router("a", 1).await;
    let b = router("b", 1).await;
    a.links.set_route(&b.id, b.addr, Duration::ZERO);
    for n in 0..20 {
        a.links.send(&b.id, n);
        receive(&b).await;
    }
    let restarted = router("a", 2).await;
    restarted.links.set_route(&b.id, b.addr, Duration::ZERO);
    let got = send_until_received(&restarted, &b, 500).await;
    assert!(got >= 500);
}

#[async_std::test]
async fn send_after_pause() {
    // Two routers exchange messages at intervals longer than the acknowledgement timeout. The
    // timeout counted from the last acknowledgement, so the stream was replaced as soon as a frame
    // was written to it, and every second message was lost.
    let a = router("a", 1).await;
    let b = router("b", 1).await;
    a.links.set_route(&b.id, b.addr, Duration::ZERO);
    b.links.set_route(&a.id, a.addr, Duration::ZERO);
    send_until_received(&a, &b, 0).await;
    while b.inbox.try_recv().is_ok() {}
    for n in 100..104 {
        task::sleep(short_timing().ack_timeout * 2).await;
        a.links.send(&b.id, n);
        assert_eq!(receive(&b).await, n);
    }
}

#[async_std::test]
async fn send_in_one_direction_keeps_connection() {
    // Only one of two routers sends messages. Without acknowledgements from the other one it kept
    // opening new connections.
    let slower_timing = || LinkTiming {
        ack_timeout: Duration::from_secs(1),
        ..short_timing()
    };
    let a = router_with_timing("a", 1, slower_timing()).await;
    let b = router_with_timing("b", 1, slower_timing()).await;
    let relay = Relay::start(b.addr).await.unwrap();
    a.links.set_route(&b.id, relay.addr, Duration::ZERO);
    b.links.set_route(&a.id, a.addr, Duration::ZERO);
    send_until_received(&a, &b, 0).await;
    for n in 1..60 {
        task::sleep(slower_timing().ack_timeout / 10).await;
        a.links.send(&b.id, n);
        while b.inbox.try_recv().is_ok() {}
    }
    // Allows for one reconnect, as the machine may stall for a second.
    assert!(relay.connections() <= 2, "{} opened", relay.connections());
}

#[async_std::test]
async fn idle_routers_send_nothing() {
    // Acknowledgements were acknowledged in turn, endlessly, so that an idle fleet of hundreds used
    // up the limit on control traffic.
    let a = router("a", 1).await;
    let b = router("b", 1).await;
    a.links.set_route(&b.id, b.addr, Duration::ZERO);
    b.links.set_route(&a.id, a.addr, Duration::ZERO);
    send_until_received(&a, &b, 0).await;
    send_until_received(&b, &a, 0).await;
    task::sleep(short_timing().ack_timeout * 2).await;
    let before = a.links.traffic().sent() + b.links.traffic().sent();
    task::sleep(short_timing().ack_timeout * 3).await;
    let after = a.links.traffic().sent() + b.links.traffic().sent();
    assert_eq!(after - before, 0, "bytes between two idle routers");
}

#[async_std::test]
async fn set_route_back_to_first_address() {
    // A peer was considered departed and came back. Streams to it were numbered from 1 again, so it
    // took each new one for an old one that had been replaced, and discarded its messages.
    let a = router("a", 1).await;
    let b = router("b", 1).await;
    let relay = Relay::start(b.addr).await.unwrap();
    b.links.set_route(&a.id, a.addr, Duration::ZERO);
    a.links.set_route(&b.id, relay.addr, Duration::ZERO);
    send_until_received(&a, &b, 0).await;
    relay.silence();
    send_until_received(&a, &b, 1000).await;
    a.links.retain(|_| false);
    a.links.set_route(&b.id, b.addr, Duration::ZERO);
    while b.inbox.try_recv().is_ok() {}
    a.links.send(&b.id, 5000);
    assert_eq!(receive(&b).await, 5000);
}

#[async_std::test]
async fn serve_closes_replaced_stream() {
    // Failed peers never end their requests, and the HTTP library waits for the end before it
    // closes the connection. Each restart of a peer leaked a file descriptor.
    let b = router("b", 1).await;
    let mut old = open(b.addr, 1).await;
    old.write_all(&frame(1, 7)).await.unwrap();
    assert_eq!(receive(&b).await, 7);
    let mut new = open(b.addr, 2).await;
    new.write_all(&frame(1, 8)).await.unwrap();
    assert_eq!(receive(&b).await, 8);
    old.write_all(&frame(2, 9)).await.unwrap();
    let mut rest = Vec::new();
    let ended = timeout(Duration::from_secs(10), old.read_to_end(&mut rest)).await;
    assert!(ended.is_ok(), "the replaced stream stays open");
    assert!(
        b.inbox.is_empty(),
        "a message of the replaced stream was received"
    );
}

/// Opens a stream as router `a` without using [`Links`].
async fn open(addr: SocketAddr, link: u32) -> TcpStream {
    let mut socket = TcpStream::connect(addr).await.unwrap();
    let head = format!(
        "POST /p HTTP/1.1\r\nhost: b\r\nchervilwind-from: a\r\nchervilwind-start: 1\r\n\
         chervilwind-link: {link}\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    socket.write_all(head.as_bytes()).await.unwrap();
    socket
}

/// Returns a frame with one message, as an HTTP chunk.
fn frame(seq: u8, item: u8) -> Vec<u8> {
    let body = [0x93, seq, 0, 0x91, item];
    let mut out = format!("{:x}\r\n", body.len() + 4).into_bytes();
    out.extend((body.len() as u32).to_be_bytes());
    out.extend(body);
    out.extend(b"\r\n");
    out
}

/// Opens a connection and sends bytes. The connection stays open until it is dropped.
async fn stalled(addr: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut socket = TcpStream::connect(addr).await.unwrap();
    let _ = socket.write_all(bytes).await;
    socket
}

/// Guards against peers that take the memory or the connections of all others.
#[async_std::test]
async fn messages_arrive_beside_stalled_connections() {
    const FRAME: u32 = 1_000_000;
    let limits = PeerLimits {
        max_connections: 20,
        memory: Bytes::mib(4),
    };
    let a = router("a", 1).await;
    let b = router_with("b", 1, short_timing(), limits).await;
    a.links.set_route(&b.id, b.addr, Duration::ZERO);
    send_until_received(&a, &b, 0).await;
    let lines = "POST /p HTTP/1.1\r\nhost: b\r\nchervilwind-from: c\r\n";
    let head = format!("{lines}content-length: {}\r\n\r\n", FRAME + 4);
    let part = [head.as_bytes(), &FRAME.to_be_bytes(), &[7; 900_000]].concat();
    let mut crowd = Vec::new();
    for _ in 0..60 {
        crowd.push(stalled(b.addr, &part).await);
        crowd.push(stalled(b.addr, b"P").await);
    }
    let sent = send_until_received(&a, &b, 1000).await;
    assert!(sent >= 1000);
    let answer: u32 = a.links.ask(b.addr, &21u32, TIMEOUT).await.unwrap();
    assert_eq!(answer, 42);
}
