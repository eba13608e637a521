//! Questions to a router's operators' address, over real sockets.

use {
    async_std::task,
    kvstore::store::{
        split,
        Config,
        Revision, //
    },
    operators::{
        query,
        read_view,
        serve,
        start_metrics,
        Document,
        Fleet,
        InForce,
        Member,
        MemberState,
        Profiles,
        QueryError,
        ServiceStatus,
        Source,
        State,
        Status,
        Views,
        FLEET, //
    },
    policy::{
        Incarnation,
        Span,
        Units, //
    },
    std::{
        net::{
            SocketAddr,
            TcpListener,
            TcpStream, //
        },
        sync::{
            atomic::{
                AtomicBool,
                Ordering, //
            },
            Arc, //
        },
    },
};

fn status() -> Status {
    Status {
        name: "router-1".parse().unwrap(),
        incarnation: Incarnation(3),
        zone: "hall-a".parse().unwrap(),
        state: State::Ready,
        revision: 7,
        writer: "ada".to_owned(),
        platform: true,
        uptime: Span::secs(2),
        control: 10,
        members: Vec::new(),
        services: vec![ServiceStatus {
            name: "drafting-llm".parse().unwrap(),
            replicas: 2,
            limit: 16,
            lent: 8,
            running: 8,
            queued: 4,
            gap: Units(12.5),
        }],
        workspaces: Vec::new(),
    }
}

fn in_force() -> InForce {
    InForce {
        name: "router-1".parse().unwrap(),
        incarnation: Incarnation(3),
        revision: 7,
    }
}

fn member() -> Member {
    Member {
        name: "router-2".parse().unwrap(),
        incarnation: Incarnation(9),
        zone: "hall-b".parse().unwrap(),
        state: MemberState::Suspect,
        operators: Some(SocketAddr::from(([10, 0, 0, 8], 7402))),
        revision: 6,
        silent: Span::millis(1_500),
    }
}

fn profiles() -> Profiles {
    let source = Source::from_text("fleet.toml", FLEET);
    Profiles::new(7, &Fleet::new(Document::parse(&source).unwrap()))
}

fn config() -> Config {
    Config {
        revision: Revision(7),
        writer: "ada".to_owned(),
        write: "1f".parse().unwrap(),
        parts: split("fleet", FLEET),
    }
}

fn start() -> SocketAddr {
    let ready = AtomicBool::new(false);
    let views = Views {
        status: Box::new(status),
        revision: Box::new(in_force),
        members: Box::new(|| vec![member()]),
        profiles: Box::new(profiles),
        config: Box::new(|| Some(Arc::new(config()))),
        dump: Box::new(|| serde_json::json!({ "tickets": [] })),
        ready: Box::new(move || ready.fetch_or(true, Ordering::Relaxed)),
    };
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    task::spawn(serve(listener, views));
    address
}

#[async_std::test]
async fn serve_views() {
    let address = start();
    let body = query(address, "/status").await.unwrap();
    assert_eq!(read_view::<Status>(address, &body).unwrap(), status());
    let body = query(address, "/profiles").await.unwrap();
    assert_eq!(read_view::<Profiles>(address, &body).unwrap(), profiles());
    let body = query(address, "/revision").await.unwrap();
    assert_eq!(read_view::<InForce>(address, &body).unwrap(), in_force());
    let body = query(address, "/members").await.unwrap();
    assert_eq!(
        read_view::<Vec<Member>>(address, &body).unwrap(),
        [member()]
    );
    let body = query(address, "/config").await.unwrap();
    assert_eq!(read_view::<Config>(address, &body).unwrap(), config());
    let body = query(address, "/dump").await.unwrap();
    assert_eq!(body, "{\"tickets\":[]}");
}

#[async_std::test]
async fn serve_ready() {
    let address = start();
    let first = query(address, "/ready").await;
    assert!(matches!(
        first,
        Err(QueryError::Refused { status: 503, .. })
    ));
    assert_eq!(query(address, "/ready").await.unwrap(), "ready\n");
}

#[async_std::test]
async fn serve_metrics() {
    start_metrics();
    metrics::counter!("chervilwind_test_count", "part" => "server").increment(3);
    let text = query(start(), "/metrics").await.unwrap();
    let lines = [
        "chervilwind_test_count{part=\"server\"} 3",
        "# TYPE chervilwind_peers_bytes counter",
        "# HELP chervilwind_peers_bytes Bytes to and from other routers.",
        "chervilwind_peers_bytes 10",
        "chervilwind_router_members{state=\"live\"} 0",
        "chervilwind_router_queued{service=\"drafting-llm\"} 4",
        "chervilwind_router_gap{service=\"drafting-llm\"} 12.5",
    ];
    for line in lines {
        assert!(text.lines().any(|l| l == line), "no `{line}` in\n{text}");
    }
}

#[async_std::test]
async fn serve_unknown_path() {
    let asked = query(start(), "/stauts").await;
    assert!(matches!(
        asked,
        Err(QueryError::Refused { status: 404, .. })
    ));
}

#[async_std::test]
async fn serve_silent_connections() {
    // Something opens connections to the operators' address and never says a word; then an
    // operator asks for the status and gets no answer, or never one again.
    // Cause: each silent connection held a place, and all places were taken.
    let address = start();
    let silent: Vec<TcpStream> = (0..200)
        .map(|_| TcpStream::connect(address).unwrap())
        .collect();
    assert!(query(address, "/status").await.is_ok());
    drop(silent);
}

#[async_std::test]
async fn ask_nobody() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let asked = query(address, "/status").await;
    assert!(matches!(asked, Err(QueryError::NotReached { .. })));
}

#[async_std::test]
async fn ask_silent() {
    // The connection opens, as the process behind it is paused, and no answer ever comes.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let asked = query(listener.local_addr().unwrap(), "/status").await;
    assert!(matches!(asked, Err(QueryError::NotReached { .. })));
}
