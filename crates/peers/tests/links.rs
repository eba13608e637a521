//! Streams between two routers, with the way between them failing.

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
        Links, //
    },
    policy::{
        Incarnation,
        RouterId, //
    },
    standins::relay::Relay,
    std::{
        net::SocketAddr,
        sync::Arc,
        time::Duration, //
    },
};

/// A bound that only a hang passes.
const BOUND: Duration = Duration::from_secs(30);

struct Router {
    id: RouterId,
    addr: SocketAddr,
    links: Arc<Links<u32>>,
    inbox: Receiver<Incoming<u32>>,
}

fn quick() -> LinkTiming {
    LinkTiming {
        silence: Duration::from_millis(300),
        check: Duration::from_millis(50),
        redial: Duration::from_millis(50),
        ..LinkTiming::default()
    }
}

async fn router(name: &str, incarnation: u64) -> Router {
    paced(name, incarnation, quick()).await
}

async fn paced(name: &str, incarnation: u64, pace: LinkTiming) -> Router {
    let id: RouterId = name.parse().unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let links = Links::new(id.clone(), Incarnation(incarnation), pace);
    let (tx, inbox) = unbounded();
    let handler = Handler {
        receive: Box::new(move |m| {
            let _ = tx.try_send(m);
        }),
        answer: Box::new(|_, q: u32| Box::pin(async move { q * 2 })),
    };
    task::spawn(serve(listener, links.clone(), handler));
    Router {
        id,
        addr,
        links,
        inbox,
    }
}

async fn next(r: &Router) -> u32 {
    let m = timeout(BOUND, r.inbox.recv())
        .await
        .expect("a message")
        .unwrap();
    m.items[0]
}

/// Sends numbers until one arrives, and returns it.
async fn reach(from: &Router, to: &Router, start: u32) -> u32 {
    for n in start.. {
        from.links.send(&to.id, n);
        let got = timeout(Duration::from_millis(100), to.inbox.recv()).await;
        if let Ok(Ok(m)) = got {
            return m.items[0];
        }
        assert!(n < start + 300, "nothing arrives any more");
    }
    unreachable!()
}

#[async_std::test]
async fn send_in_order() {
    let a = router("a", 1).await;
    let b = router("b", 1).await;
    a.links.set_route(&b.id, b.addr, Duration::ZERO);
    reach(&a, &b, 0).await;
    while b.inbox.try_recv().is_ok() {}
    a.links.send(&b.id, 7);
    assert_eq!(next(&b).await, 7);
    a.links.send(&b.id, 8);
    assert_eq!(next(&b).await, 8);
}

#[async_std::test]
async fn ask_answered() {
    let a = router("a", 1).await;
    let b = router("b", 1).await;
    let got: u32 = a.links.ask(b.addr, &21u32, BOUND).await.unwrap();
    assert_eq!(got, 42);
}

#[async_std::test]
async fn ask_nobody_listens() {
    let a = router("a", 1).await;
    let free = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = free.local_addr().unwrap();
    drop(free);
    let got: Result<u32, _> = a.links.ask(addr, &1u32, BOUND).await;
    assert!(matches!(got, Err(peers::AskError::Connect(_))), "{got:?}");
}

#[async_std::test]
async fn send_connection_gone_silent() {
    // An operator sees a router that hears nothing from one peer, for good, though the
    // peer sends and new connections between them work. A device on the way lost track
    // of the open connection: writes still succeed and nothing arrives.
    let a = router("a", 1).await;
    let b = router("b", 1).await;
    let way = Relay::start(b.addr).await.unwrap();
    a.links.set_route(&b.id, way.addr, Duration::ZERO);
    b.links.set_route(&a.id, a.addr, Duration::ZERO);
    reach(&a, &b, 0).await;
    way.silence();
    let got = reach(&a, &b, 1000).await;
    assert!(got >= 1000);
}

#[async_std::test]
async fn send_after_partition() {
    // Two routers lose each other and come back. What was sent meanwhile may be lost;
    // what is sent after must arrive, without anybody restarting a process.
    let a = router("a", 1).await;
    let b = router("b", 1).await;
    let way = Relay::start(b.addr).await.unwrap();
    a.links.set_route(&b.id, way.addr, Duration::ZERO);
    b.links.set_route(&a.id, a.addr, Duration::ZERO);
    reach(&a, &b, 0).await;
    way.block("a");
    for n in 100..110 {
        a.links.send(&b.id, n);
        task::sleep(Duration::from_millis(20)).await;
    }
    way.heal();
    let got = reach(&a, &b, 1000).await;
    assert!(got >= 1000);
}

#[async_std::test]
async fn send_to_restarted_peer() {
    // A router restarts empty under its old name. Its first messages must be taken,
    // though it numbers them from 1 again.
    let a = router("a", 1).await;
    let b = router("b", 1).await;
    a.links.set_route(&b.id, b.addr, Duration::ZERO);
    for n in 0..20 {
        a.links.send(&b.id, n);
        next(&b).await;
    }
    let again = router("a", 2).await;
    again.links.set_route(&b.id, b.addr, Duration::ZERO);
    let got = reach(&again, &b, 500).await;
    assert!(got >= 500);
}

#[async_std::test]
async fn send_after_pause() {
    // In a fleet too large for everyone to beat everyone, every second heartbeat between
    // two routers that seldom speak is lost. The stream between them had been quiet for
    // longer than a silent one is waited for, so that it was given up as soon as something
    // was written to it.
    let a = router("a", 1).await;
    let b = router("b", 1).await;
    a.links.set_route(&b.id, b.addr, Duration::ZERO);
    b.links.set_route(&a.id, a.addr, Duration::ZERO);
    reach(&a, &b, 0).await;
    while b.inbox.try_recv().is_ok() {}
    for n in 100..104 {
        task::sleep(quick().silence * 2).await;
        a.links.send(&b.id, n);
        assert_eq!(next(&b).await, n);
    }
}

#[async_std::test]
async fn send_one_way_only() {
    // Two routers of which one has nothing to say keep opening connections. Nothing told
    // the one that speaks that it was heard.
    let slow = || LinkTiming {
        silence: Duration::from_secs(1),
        ..quick()
    };
    let a = paced("a", 1, slow()).await;
    let b = paced("b", 1, slow()).await;
    let way = Relay::start(b.addr).await.unwrap();
    a.links.set_route(&b.id, way.addr, Duration::ZERO);
    b.links.set_route(&a.id, a.addr, Duration::ZERO);
    reach(&a, &b, 0).await;
    for n in 1..60 {
        task::sleep(slow().silence / 10).await;
        a.links.send(&b.id, n);
        while b.inbox.try_recv().is_ok() {}
    }
    // One more is left to a machine that stands still for a second.
    assert!(way.connections() <= 2, "{} opened", way.connections());
}

#[async_std::test]
async fn send_nothing_more() {
    // An idle fleet of hundreds uses up its control traffic. Acknowledgements were
    // acknowledged in turn, for ever.
    let a = router("a", 1).await;
    let b = router("b", 1).await;
    a.links.set_route(&b.id, b.addr, Duration::ZERO);
    b.links.set_route(&a.id, a.addr, Duration::ZERO);
    reach(&a, &b, 0).await;
    reach(&b, &a, 0).await;
    task::sleep(quick().silence * 2).await;
    let before = a.links.traffic().sent() + b.links.traffic().sent();
    task::sleep(quick().silence * 3).await;
    let after = a.links.traffic().sent() + b.links.traffic().sent();
    assert_eq!(after - before, 0, "bytes between two idle routers");
}

#[async_std::test]
async fn route_back_to_first_address() {
    // A router that seemed gone comes back, and its messages are thrown away one by one.
    // The stream to it was counted from 1 again, so that the peer took each new one for an
    // old one that had been replaced.
    let a = router("a", 1).await;
    let b = router("b", 1).await;
    let way = Relay::start(b.addr).await.unwrap();
    b.links.set_route(&a.id, a.addr, Duration::ZERO);
    a.links.set_route(&b.id, way.addr, Duration::ZERO);
    reach(&a, &b, 0).await;
    way.silence();
    reach(&a, &b, 1000).await;
    a.links.retain(|_| false);
    a.links.set_route(&b.id, b.addr, Duration::ZERO);
    while b.inbox.try_recv().is_ok() {}
    a.links.send(&b.id, 5000);
    assert_eq!(next(&b).await, 5000);
}

#[async_std::test]
async fn serve_replaced_stream() {
    // A router runs out of file descriptors after some days of restarts. A peer that is
    // gone without a word never ends its request, and the library waits for the end
    // before it closes the connection.
    let b = router("b", 1).await;
    let mut old = open(b.addr, 1).await;
    old.write_all(&frame(1, 7)).await.unwrap();
    assert_eq!(next(&b).await, 7);
    let mut new = open(b.addr, 2).await;
    new.write_all(&frame(1, 8)).await.unwrap();
    assert_eq!(next(&b).await, 8);
    old.write_all(&frame(2, 9)).await.unwrap();
    let mut rest = Vec::new();
    let ended = timeout(Duration::from_secs(10), old.read_to_end(&mut rest)).await;
    assert!(ended.is_ok(), "the replaced stream stays open");
    assert!(b.inbox.is_empty(), "a replaced stream was heard");
}

/// Opens a stream of router `a` by hand.
async fn open(addr: SocketAddr, link: u32) -> TcpStream {
    let mut socket = TcpStream::connect(addr).await.unwrap();
    let head = format!(
        "POST /p HTTP/1.1\r\nhost: b\r\nchervilwind-from: a\r\nchervilwind-start: 1\r\n\
         chervilwind-link: {link}\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    socket.write_all(head.as_bytes()).await.unwrap();
    socket
}

/// One frame with one number, as a chunk.
fn frame(seq: u8, item: u8) -> Vec<u8> {
    let body = [0x93, seq, 0, 0x91, item];
    let mut out = format!("{:x}\r\n", body.len() + 4).into_bytes();
    out.extend((body.len() as u32).to_be_bytes());
    out.extend(body);
    out.extend(b"\r\n");
    out
}
