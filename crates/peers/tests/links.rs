//! Streams between two routers, with the way between them failing.

use {
    async_std::{
        channel::{
            unbounded,
            Receiver, //
        },
        future::timeout,
        net::TcpListener,
        task, //
    },
    peers::{
        serve,
        Handler,
        Incoming,
        Links,
        Pace, //
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

fn quick() -> Pace {
    Pace {
        silence: Duration::from_millis(300),
        check: Duration::from_millis(50),
        redial: Duration::from_millis(50),
        ..Pace::default()
    }
}

async fn router(name: &str, incarnation: u64) -> Router {
    let id: RouterId = name.parse().unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let links = Links::new(id.clone(), Incarnation(incarnation), quick());
    let (tx, inbox) = unbounded();
    let handler = Handler {
        take: Box::new(move |m| {
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
    a.links.route(&b.id, b.addr, Duration::ZERO);
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
    a.links.route(&b.id, way.addr, Duration::ZERO);
    b.links.route(&a.id, a.addr, Duration::ZERO);
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
    a.links.route(&b.id, way.addr, Duration::ZERO);
    b.links.route(&a.id, a.addr, Duration::ZERO);
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
    a.links.route(&b.id, b.addr, Duration::ZERO);
    for n in 0..20 {
        a.links.send(&b.id, n);
        next(&b).await;
    }
    let again = router("a", 2).await;
    again.links.route(&b.id, b.addr, Duration::ZERO);
    let got = reach(&again, &b, 500).await;
    assert!(got >= 500);
}
