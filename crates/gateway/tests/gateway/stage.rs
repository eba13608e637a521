//! Gateways on loopback, with a store in memory that can be taken away.

use {
    crate::{
        caller::{
            Caller,
            Got, //
        },
        replica::Replica,
    },
    async_std::task,
    gateway::{
        AddressQuery,
        Config,
        Dialect,
        Gateway,
        Headers,
        Lease,
        Limits,
        RegisteredRouter,
        ReplicaList,
        Revision,
        Route,
        RouteKind,
        Service,
        Settings,
        State,
        Store,
        StoreError,
        StoreFuture,
        Versioned,
        WatchResult, //
    },
    policy::{
        placement::Prompt,
        Era, //
    },
    serde_json::Value,
    std::{
        collections::{
            BTreeMap,
            HashMap, //
        },
        net::{
            SocketAddr,
            TcpListener,
            UdpSocket, //
        },
        process,
        sync::{
            atomic::{
                AtomicU16,
                Ordering, //
            },
            Arc,
            Mutex, //
        },
        thread,
        time::{
            Duration,
            Instant, //
        },
    },
};

/// A bound that only a hang passes.
const HANG: Duration = Duration::from_secs(20);

/// After how long a call to a silent store is given up here.
const GIVEN_UP: Duration = Duration::from_millis(300);

/// What the store holds.
#[derive(Debug, Default)]
pub(crate) struct World {
    pub(crate) config: Vec<u8>,
    pub(crate) revision: u64,
    /// The revision at which the configuration was written.
    pub(crate) written: u64,
    pub(crate) replicas: Vec<gateway::Replica>,
    /// The store turns this gateway away, in this way.
    pub(crate) down: Option<Down>,
    /// Calls that were turned away.
    pub(crate) failed: u64,
    /// The highest revision that a watch has told.
    pub(crate) told: u64,
    /// What routers have registered, by their names.
    pub(crate) registered: BTreeMap<String, Vec<u8>>,
    /// The revisions at which they did so last; a number is given out once.
    pub(crate) entry_revisions: BTreeMap<String, u64>,
    /// How often the store came back from an older copy.
    pub(crate) era: u64,
    /// The era that the last answer named.
    pub(crate) era_told: u64,
    /// The store comes back from an older copy as soon as it has given out a lease.
    pub(crate) returns_after_lease: bool,
    /// The leases that run, and the names registered under them.
    pub(crate) leases: BTreeMap<u64, String>,
}

impl World {
    /// Returns the newest lease of a router.
    pub(crate) fn lease_of(&self, name: &str) -> Option<u64> {
        let held = self.leases.iter().filter(|(_, holder)| *holder == name);
        held.map(|(lease, _)| *lease).max()
    }

    /// A world with a configuration and one replica.
    pub(crate) fn of(replica: &Replica) -> World {
        World {
            config: config(1),
            revision: 1,
            replicas: vec![entry("i-1", replica)],
            ..World::default()
        }
    }
}

/// How a store turns a router away.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Down {
    /// It says that it is busy.
    Busy,
    /// It says that there were too many calls.
    Many,
    /// It resets the connection.
    Reset,
    /// It says nothing, until the call is given up.
    Silent,
}

impl Down {
    pub(crate) const ALL: [Down; 4] = [Down::Busy, Down::Many, Down::Reset, Down::Silent];

    async fn fail(self) -> StoreError {
        match self {
            Down::Busy => StoreError::Refused(503),
            Down::Many => StoreError::Refused(429),
            Down::Reset => StoreError::Lost("connection reset".to_owned()),
            Down::Silent => {
                task::sleep(GIVEN_UP).await;
                StoreError::Lost("no answer in time".to_owned())
            }
        }
    }
}

/// One gateway on loopback.
pub(crate) struct Stage {
    pub(crate) world: Arc<Mutex<World>>,
    pub(crate) settings: Settings,
    gateway: Option<Gateway>,
}

/// Routes of the tests: `/once/`, `/again/`, `/stream/` and `/resume/`, all with service `s`,
/// and `/open/`, which needs no key.
pub(crate) fn config(version: u64) -> Vec<u8> {
    format!(r#"{{"version":{version},"keys":{{"k1":"w1","k2":"w2"}},"timeout":60000}}"#)
        .into_bytes()
}

fn read_config(bytes: &[u8]) -> Result<Config, String> {
    let json: Value = serde_json::from_slice(bytes).map_err(|e| e.to_string())?;
    let mut config = Config::default();
    config.version = json["version"].as_u64().ok_or("no version")?;
    config.limits = Limits {
        body_bytes: 13_000_000,
        ..Limits::default()
    };
    let routes = [
        ("/once/", RouteKind::Single, 2, false),
        ("/again/", RouteKind::Idempotent, 2, false),
        ("/stream/", RouteKind::Stream { resume: false }, 1, false),
        ("/resume/", RouteKind::Stream { resume: true }, 2, false),
        ("/open/", RouteKind::Idempotent, 2, true),
    ];
    for (prefix, kind, max_attempts, public) in routes {
        let route = Route {
            name: prefix.replace('/', ""),
            prefix: prefix.to_owned(),
            kind,
            timeout: Duration::from_millis(json["timeout"].as_u64().unwrap()),
            latency_target: Duration::from_millis(300),
            split: vec![("s".parse().unwrap(), 1)],
            max_attempts,
            public,
        };
        config.add_route("a.example", route);
    }
    config
        .services
        .insert("s".parse().unwrap(), Service::default());
    let keys = json["keys"].as_object().ok_or("no keys")?;
    let held = keys.iter().map(|(key, name)| {
        let name = name.as_str().unwrap();
        (key.clone(), name.parse().unwrap())
    });
    config.keys = Some(held.collect::<HashMap<_, _>>());
    Ok(config)
}

fn no_prompt(_: &Headers) -> Option<Prompt> {
    None
}

fn no_replica(_: &str, _: &[u8]) -> Result<gateway::Replica, String> {
    Err("replicas come ready made".to_owned())
}

fn query(target: &str) -> Option<AddressQuery> {
    (target == "/addresses").then(AddressQuery::default)
}

fn addresses(list: &[SocketAddr], _: Duration) -> Vec<u8> {
    let all: Vec<String> = list.iter().map(ToString::to_string).collect();
    all.join(" ").into_bytes()
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
        copy_from: "X-Copy",
        engine_controls: &["X-Reserve", "X-Keep-Ms"],
        retry_after: "Retry-After",
        ready_path: "/ready",
        parse_prompt: no_prompt,
        parse_config: read_config,
        parse_replica: no_replica,
        parse_address_query: query,
        encode_addresses: addresses,
    }
}

type Held = Arc<Mutex<World>>;

/// Answers from the world, unless the store is down.
fn from<T: Send + 'static>(
    world: &Held,
    read: impl FnOnce(&World) -> T + Send + 'static,
) -> StoreFuture<T> {
    let world = world.clone();
    Box::pin(async move {
        let down = world.lock().unwrap().down;
        match down {
            Some(how) => {
                world.lock().unwrap().failed += 1;
                Err(how.fail().await)
            }
            None => {
                let mut world = world.lock().unwrap();
                world.era_told = world.era;
                Ok(read(&world))
            }
        }
    })
}

fn versioned(world: &World) -> Option<Versioned> {
    Some(Versioned {
        value: world.config.clone(),
        revision: Revision {
            era: Era(world.era),
            number: world.revision,
        },
    })
}

fn watch(world: &Held, after: Revision, wait: Duration) -> StoreFuture<WatchResult> {
    let world = world.clone();
    Box::pin(async move {
        let until = Instant::now() + wait;
        loop {
            let read = from(&world, versioned).await?.unwrap();
            let written = world.lock().unwrap().written;
            if after.era != read.revision.era || after.number > read.revision.number {
                return Err(StoreError::Compacted);
            }
            if written > after.number || Instant::now() >= until {
                world.lock().unwrap().told = read.revision.number;
                return Ok(WatchResult {
                    value: (written > after.number).then_some(read.value),
                    revision: read.revision,
                });
            }
            task::sleep(Duration::from_millis(5)).await;
        }
    })
}

fn register(world: &Held, name: String, value: Vec<u8>, lease: Lease) -> StoreFuture<Revision> {
    let world = world.clone();
    Box::pin(async move {
        from(&world, |_| ()).await?;
        let mut world = world.lock().unwrap();
        world.leases.insert(lease.id, name.clone());
        let number = world.entry_revisions.values().max().unwrap_or(&0) + 1;
        world.entry_revisions.insert(name.clone(), number);
        world.registered.insert(name, value);
        let era = Era(world.era);
        Ok(Revision { era, number })
    })
}

fn unregister(world: &Held, name: String, written: Revision) -> StoreFuture<bool> {
    let world = world.clone();
    Box::pin(async move {
        from(&world, |_| ()).await?;
        let mut world = world.lock().unwrap();
        let as_written = world.entry_revisions.get(&name) == Some(&written.number);
        Ok(as_written && world.registered.remove(&name).is_some())
    })
}

fn take_lease(world: &Held) -> StoreFuture<Lease> {
    let world = world.clone();
    Box::pin(async move {
        from(&world, |_| ()).await?;
        let mut world = world.lock().unwrap();
        let id = world.leases.keys().last().map_or(1, |last| last + 1);
        world.leases.insert(id, String::new());
        let era = Era(world.era);
        if std::mem::take(&mut world.returns_after_lease) {
            world.era += 1;
        }
        Ok(Lease { era, id })
    })
}

fn list_replicas(world: &World) -> ReplicaList {
    ReplicaList {
        replicas: world.replicas.clone(),
        revision: Revision {
            era: Era(world.era),
            number: world.revision,
        },
    }
}

fn list_routers(world: &World) -> Vec<RegisteredRouter> {
    let entries = world.registered.iter();
    let entries = entries.map(|(name, value)| RegisteredRouter {
        value: value.clone(),
        lease: world.lease_of(name).unwrap_or(0),
    });
    entries.collect()
}

/// Renews whatever lease has that number, and tells whether it is the one that was meant.
fn renew(world: &World, lease: Lease) -> bool {
    world.leases.contains_key(&lease.id) && lease.era == Era(world.era)
}

fn store(world: &Held) -> Store {
    let of = || world.clone();
    let (a, b, c, d, e, f, g, h, i) = (of(), of(), of(), of(), of(), of(), of(), of(), of());
    Store {
        read_config: Box::new(move || from(&a, versioned)),
        watch_config: Box::new(move |after, wait| watch(&b, after, wait)),
        list_replicas: Box::new(move || from(&c, list_replicas)),
        list_routers: Box::new(move || from(&d, list_routers)),
        grant_lease: Box::new(move |_| take_lease(&e)),
        renew_lease: Box::new(move |lease| from(&f, move |w| renew(w, lease))),
        register: Box::new(move |name, value, lease| register(&g, name, value, lease)),
        unregister: Box::new(move |name, written| unregister(&h, name, written)),
        newest_era: Box::new(move || Era(i.lock().unwrap().era_told)),
    }
}

/// Returns an address that nobody has, below the ports that connections get by themselves.
///
/// Taken from among those, another test's connection may have it before it is bound.
fn free() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let base = 20_000 + (process::id() % 60) as u16 * 200;
    loop {
        let port = base + NEXT.fetch_add(1, Ordering::Relaxed);
        let addr = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok() {
            return addr;
        }
    }
}

fn settings(name: &str) -> Settings {
    let text = format!(
        r#"
        name = "{name}"
        zone = "z1"
        [listen]
        callers = "{}"
        ready = "{}"
        addresses = "{}"
        peers = "{}"
        metrics = "{}"
        [fleet]
        seeds = []
        [store]
        address = "127.0.0.1:1"
        [bounds]
        grace-s = 8
        retry-ratio = 0.2
        retry-slack = 50
        retry-window-s = 10
        fair-window-s = 4
        [instance]
        memory-mb = 100
        descriptors = 4000
        "#,
        free(),
        free(),
        free(),
        free(),
        free()
    );
    Settings::parse("stage", &text).unwrap()
}

/// A replica's entry in the list.
pub(crate) fn entry(name: &str, replica: &Replica) -> gateway::Replica {
    gateway::Replica {
        id: name.parse().unwrap(),
        started_at: None,
        service: "s".parse().unwrap(),
        addr: replica.addr,
        zone: "z1".parse().unwrap(),
        slots: 6,
        state: State::Ready,
    }
}

impl Stage {
    /// Starts a gateway that knows these replicas and is ready.
    pub(crate) fn start(replicas: &[(&str, &Replica)]) -> Stage {
        let list = replicas.iter().map(|(name, r)| entry(name, r)).collect();
        let world = World {
            config: config(1),
            revision: 1,
            replicas: list,
            ..World::default()
        };
        let stage = Stage::within(Arc::new(Mutex::new(world)), "g1", |_| {});
        stage.wait_ready();
        stage
    }

    /// Starts a gateway in a world that may be shared.
    pub(crate) fn within(
        world: Arc<Mutex<World>>,
        name: &str,
        change: impl FnOnce(&mut Settings),
    ) -> Stage {
        let mut settings = settings(name);
        change(&mut settings);
        let gateway = task::block_on(gateway::start(settings.clone(), dialect(), store(&world)));
        Stage {
            world,
            settings,
            gateway: Some(gateway.unwrap()),
        }
    }

    pub(crate) fn wait_ready(&self) {
        wait(|| self.ready());
    }

    pub(crate) fn ready(&self) -> bool {
        let mut caller = Caller::open(self.settings.listen.ready);
        caller.get("/ready", "-", "").status == 200
    }

    pub(crate) fn caller(&self) -> Caller {
        Caller::open(self.settings.listen.callers)
    }

    /// Asks over a connection of its own.
    pub(crate) fn get(&self, path: &str, id: &str) -> Got {
        self.caller().get(path, id, "")
    }

    /// Puts a configuration into the store.
    pub(crate) fn put(&self, config: Vec<u8>) {
        let mut world = self.world.lock().unwrap();
        world.config = config;
        world.revision += 1;
        world.written = world.revision;
    }

    /// The store comes back from a copy of `revision`, after which other keys than the
    /// configuration are written up to `now`.
    pub(crate) fn go_back(&self, revision: u64, config: Vec<u8>, now: u64) {
        let mut world = self.world.lock().unwrap();
        world.config = config;
        world.written = revision + 1;
        world.revision = now;
        world.era += 1;
    }

    /// Waits until the gateway was told of what the store holds.
    pub(crate) fn wait_told(&self) {
        wait(|| {
            let world = self.world.lock().unwrap();
            world.told == world.revision
        });
        // It is told before it acts; its next call comes after that.
        let asked = Instant::now();
        wait(|| asked.elapsed() > Duration::from_millis(100));
    }

    /// Begins to end the gateway; the thread returns once it has ended.
    pub(crate) fn end(&mut self) -> thread::JoinHandle<()> {
        let gateway = self.gateway.take().unwrap();
        thread::spawn(move || task::block_on(gateway.end()))
    }
}

/// Waits until something holds.
pub(crate) fn wait(holds: impl Fn() -> bool) {
    let until = Instant::now() + HANG;
    while !holds() {
        assert!(Instant::now() < until, "it never came to hold");
        thread::sleep(Duration::from_millis(5));
    }
}
