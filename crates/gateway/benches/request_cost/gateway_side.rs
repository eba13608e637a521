//! One gateway with a store in memory.

use {
    super::engine::Engines,
    async_std::task,
    gateway::{
        AddressQuery,
        Config,
        Dialect,
        Engine,
        Gateway,
        Headers,
        Lease,
        Limits,
        Notice,
        OperatorChanges,
        OperatorData,
        Replica,
        ReplicaChanges,
        ReplicaList,
        Revision,
        Route,
        RouteKind,
        Service,
        Settings,
        SkippedEntries,
        State,
        Store,
        StoreFuture, //
    },
    policy::{
        placement::{
            Part,
            Prompt, //
        },
        Era,
        EvacuationOrders, //
    },
    std::{
        collections::HashMap,
        io::Write,
        net::{
            SocketAddr,
            TcpListener,
            TcpStream, //
        },
        sync::atomic::{
            AtomicU64,
            Ordering, //
        },
        thread,
        time::Duration, //
    },
};

/// Events of a stream.
pub(crate) const EVENTS: usize = 42;
/// Slots of an engine.
const SLOTS: u32 = 8;

/// A running gateway.
pub(crate) struct GatewaySide {
    pub(crate) callers: SocketAddr,
    engines: usize,
    _gateway: Gateway,
}

/// Starts a gateway before these engines, and waits until it is ready.
pub(crate) fn start_gateway(engines: &Engines) -> GatewaySide {
    let listeners: Vec<TcpListener> = (0..5)
        .map(|_| TcpListener::bind("127.0.0.1:0").unwrap())
        .collect();
    let addr = |i: usize| listeners[i].local_addr().unwrap();
    let text = format!(
        "name = \"g1\"\nzone = \"z1\"\n[listen]\ncallers = \"{}\"\nready = \"{}\"\naddresses = \"{}\"\n\
         peers = \"{}\"\nmetrics = \"{}\"\n[fleet]\nseeds = []\n[store]\naddress = \"127.0.0.1:1\"\n\
         [bounds]\ngrace-s = 8\nretry-ratio = 0.2\nretry-slack = 50\nretry-window-s = 10\n\
         fair-window-s = 4\n[instance]\nmemory-mb = 500\ndescriptors = 60000\n",
        addr(0),
        addr(1),
        addr(2),
        addr(3),
        addr(4)
    );
    let settings = Settings::parse("bench", &text).unwrap();
    let (callers, ready) = (settings.listen.callers, settings.listen.ready);
    drop(listeners);
    let store = store(replicas(engines));
    let gateway = task::block_on(gateway::start(settings, dialect(), store)).unwrap();
    while !is_ready(ready) {
        thread::sleep(Duration::from_millis(20));
    }
    GatewaySide {
        callers,
        engines: engines.addrs.len(),
        _gateway: gateway,
    }
}

impl GatewaySide {
    /// Fills all engines with streams that nobody reads, until requests are rejected.
    pub(crate) fn fill(&self) {
        for n in 0..self.engines * SLOTS as usize * 2 {
            let mut caller = TcpStream::connect(self.callers).unwrap();
            let head =
                format!("POST /hold/ HTTP/1.1\r\nHost: a.example\r\nX-Id: h{n}\r\nX-Key: k1\r\n");
            let _ = caller.write_all(format!("{head}Content-Length: 0\r\n\r\n").as_bytes());
            thread::spawn(move || {
                thread::sleep(Duration::from_secs(3_600));
                drop(caller);
            });
        }
        thread::sleep(Duration::from_secs(2));
    }
}

fn is_ready(addr: SocketAddr) -> bool {
    use std::io::Read;
    let mut stream = TcpStream::connect(addr).unwrap();
    stream
        .write_all(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
        .unwrap();
    let mut answer = [0; 12];
    stream.read_exact(&mut answer).is_ok() && answer.ends_with(b"200")
}

fn replicas(engines: &Engines) -> Vec<Replica> {
    let replica = |(n, addr): (usize, &SocketAddr)| Replica {
        id: format!("i-{n}").parse().unwrap(),
        started_at: None,
        service: "s".parse().unwrap(),
        addr: *addr,
        zone: "z1".parse().unwrap(),
        slots: SLOTS,
        state: State::Ready,
        version: None,
        cold: None,
    };
    engines.addrs.iter().enumerate().map(replica).collect()
}

fn store(replicas: Vec<Replica>) -> Store {
    fn answer<T: Send + 'static>(value: T) -> StoreFuture<T> {
        Box::pin(async move { Ok(value) })
    }
    let revision = Revision {
        era: Era(1),
        number: 1,
    };
    let evacuations = EvacuationOrders {
        revision,
        ..EvacuationOrders::default()
    };
    Store {
        read_operators: Box::new(move || {
            answer(OperatorData {
                config: Some(b"1".to_vec()),
                evacuations: evacuations.clone(),
            })
        }),
        watch_operators: Box::new(move |_, wait| {
            Box::pin(async move {
                task::sleep(wait).await;
                Ok(OperatorChanges {
                    config: None,
                    zones: Vec::new(),
                    revision,
                })
            })
        }),
        list_replicas: Box::new(move || {
            answer(ReplicaList {
                replicas: replicas.clone(),
                revision,
                skipped: SkippedEntries::default(),
            })
        }),
        replica_changes: Box::new(move |revision| {
            answer(ReplicaChanges {
                changes: Vec::new(),
                revision,
                skipped: SkippedEntries::default(),
            })
        }),
        list_routers: Box::new(|| answer(Vec::new())),
        grant_lease: Box::new(|_| answer(Lease { era: Era(1), id: 1 })),
        renew_lease: Box::new(|_| answer(true)),
        register: Box::new(move |_, _, _| answer(revision)),
        unregister: Box::new(|_, _| answer(true)),
        newest_era: Box::new(|| Era(1)),
    }
}

fn dialect() -> Dialect {
    Dialect {
        id: "X-Id",
        deadline: "X-Deadline",
        key: "X-Key",
        workspace: "X-Workspace",
        expected_replica: "X-Expect",
        not_run: "X-Not-Run",
        signature: "X-Signature",
        last_event: "X-Last",
        resumes: "X-Resumes",
        copy_from: "X-Copy",
        engine_controls: &[],
        retry_after: "Retry-After",
        ready_path: "/ready",
        parse_prompt,
        parse_config,
        parse_replica: |_, _| Err("the store lists parsed replicas".to_owned()),
        parse_notice: |_, _| Notice::default(),
        parse_address_query: |_| Some(AddressQuery::default()),
        encode_addresses: |_, _| Vec::new(),
    }
}

/// A prompt whose shared part is one of 500.
fn parse_prompt(_: &Headers) -> Option<Prompt> {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    let part = |id, tokens| Part { id, tokens };
    Some(Prompt {
        parts: vec![part(1, 200), part(n % 500, 200), part(n + 1_000, 400)],
        total: 800,
        output: 380,
    })
}

fn parse_config(_: &[u8]) -> Result<Config, String> {
    let mut config = Config::default();
    config.version = 1;
    config.limits = Limits::default();
    for prefix in ["/stream/", "/hold/"] {
        let route = Route {
            name: prefix.replace('/', ""),
            prefix: prefix.to_owned(),
            kind: RouteKind::Stream { resume: true },
            timeout: Duration::from_secs(3_600),
            latency_target: Duration::from_millis(400),
            split: vec![("s".parse().unwrap(), 1)],
            max_attempts: 2,
            public: false,
            regions: Vec::new(),
        };
        config.add_route("a.example", route);
    }
    let service = Service {
        engine: Some(Engine {
            slots: SLOTS,
            memory_tokens: 715_203,
            copies_cache: true,
        }),
        ..Service::default()
    };
    config.services.insert("s".parse().unwrap(), service);
    let keys = HashMap::from([("k1".to_owned(), "w1".parse().unwrap())]);
    config.keys = Some(keys);
    Ok(config)
}
