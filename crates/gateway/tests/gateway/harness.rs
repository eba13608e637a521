//! Gateways on loopback, with an in-memory store that can fail.

use {
    crate::{
        caller::{
            Answer,
            Caller, //
        },
        replica::Replica,
    },
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
        RegisteredRouter,
        ReplicaChange,
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
        StoreError,
        StoreFuture,
        WarmupRate, //
    },
    policy::{
        placement::{
            Part,
            Prompt, //
        },
        Era,
        EvacuationOrders,
        Region,
        ServiceId,
        WorkspaceId,
        Zone,
        ZoneChange, //
    },
    serde_json::Value,
    std::{
        collections::{
            BTreeMap,
            BTreeSet,
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

/// Time limit that only a hang exceeds.
const HANG_TIMEOUT: Duration = Duration::from_secs(20);

/// Time after which a call to a silent store fails.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// A store in memory.
#[derive(Debug, Default)]
pub(crate) struct FakeStore {
    pub(crate) config: Vec<u8>,
    pub(crate) revision: u64,
    /// The revision at which the configuration was written.
    pub(crate) config_revision: u64,
    /// Zones that the operators evacuate.
    pub(crate) evacuated: BTreeSet<Zone>,
    /// Changes of these, with their revisions.
    pub(crate) zone_changes: Vec<(u64, ZoneChange)>,
    pub(crate) replicas: Vec<gateway::Replica>,
    /// The replicas at the last call, and all changes that calls have found since.
    pub(crate) last_replicas: Vec<gateway::Replica>,
    pub(crate) replica_log: Vec<ReplicaChange>,
    /// Calls for the list of replicas, or for changes of it.
    pub(crate) list_calls: u64,
    /// The way in which calls fail, if the store is down.
    pub(crate) fault: Option<StoreFault>,
    /// What calls for the list of replicas fail with.
    pub(crate) list_error: Option<StoreError>,
    /// So many of the next calls panic.
    pub(crate) panics: u32,
    /// Calls that have failed.
    pub(crate) failed_calls: u64,
    /// The highest revision that a watch has reported.
    pub(crate) reported: u64,
    /// Routers' registered entries, by name.
    pub(crate) registered: BTreeMap<String, Vec<u8>>,
    /// The revisions at which they were last written; no number is used twice.
    pub(crate) entry_revisions: BTreeMap<String, u64>,
    /// Raised each time that the store is restored from a backup.
    pub(crate) era: u64,
    /// The era that the last answer reported.
    pub(crate) reported_era: u64,
    /// The store is restored from a backup right after the next lease that it grants.
    pub(crate) restored_after_lease: bool,
    /// Active leases, and the names registered under them.
    pub(crate) leases: BTreeMap<u64, String>,
}

impl FakeStore {
    /// Returns the newest lease of a router.
    pub(crate) fn lease_of(&self, name: &str) -> Option<u64> {
        let holders = self.leases.iter().filter(|(_, holder)| *holder == name);
        holders.map(|(lease, _)| *lease).max()
    }

    /// A store with a configuration and one replica.
    pub(crate) fn with_replica(replica: &Replica) -> FakeStore {
        FakeStore {
            config: config(1),
            revision: 1,
            replicas: vec![entry("i-1", replica)],
            ..FakeStore::default()
        }
    }
}

/// How calls to the store fail.
#[derive(Debug, Clone, Copy)]
pub(crate) enum StoreFault {
    /// The store answers that it is busy.
    Busy,
    /// The store answers that there were too many calls.
    TooManyCalls,
    /// The store resets the connection.
    Reset,
    /// The store doesn't answer, until the call times out.
    Silent,
}

impl StoreFault {
    pub(crate) const ALL: [StoreFault; 4] = [
        StoreFault::Busy,
        StoreFault::TooManyCalls,
        StoreFault::Reset,
        StoreFault::Silent,
    ];

    async fn fail(self) -> StoreError {
        match self {
            StoreFault::Busy => StoreError::Refused(503),
            StoreFault::TooManyCalls => StoreError::Refused(429),
            StoreFault::Reset => StoreError::Lost("connection reset".to_owned()),
            StoreFault::Silent => {
                task::sleep(CALL_TIMEOUT).await;
                StoreError::Lost("no answer in time".to_owned())
            }
        }
    }
}

/// A gateway on loopback.
pub(crate) struct TestGateway {
    pub(crate) store: Arc<Mutex<FakeStore>>,
    pub(crate) settings: Settings,
    gateway: Option<Gateway>,
}

/// Routes of the tests: `/once/`, `/again/`, `/stream/` and `/resume/`, all with service `s`,
/// `/open/`, which needs no key, and `/split/`, which is split between the services `s` and `t`.
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
        ("/split/", RouteKind::Stream { resume: true }, 2, false),
    ];
    for (prefix, kind, max_attempts, public) in routes {
        let route = Route {
            name: prefix.replace('/', ""),
            prefix: prefix.to_owned(),
            kind,
            timeout: Duration::from_millis(json["timeout"].as_u64().unwrap()),
            latency_target: Duration::from_millis(300),
            split: split(prefix),
            max_attempts,
            public,
            regions: regions(&json[prefix]),
        };
        config.add_route("a.example", route);
    }
    let warmup = json["cold-requests"].as_f64().map(|requests| WarmupRate {
        lasts: Duration::from_secs(3),
        requests,
    });
    let engine = json["engine-slots"].as_u64().map(|slots| Engine {
        slots: slots as u32,
        memory_tokens: 100_000,
        copies_cache: false,
    });
    let service = Service { warmup, engine };
    config.services.insert("s".parse().unwrap(), service);
    let keys = json["keys"].as_object().ok_or("no keys")?;
    let mut holders = HashMap::new();
    for (key, name) in keys {
        let name = name.as_str().unwrap();
        let id = WorkspaceId::from_text(name);
        config.display_names.insert(id.clone(), name.parse().ok());
        holders.insert(key.clone(), id);
    }
    config.keys = Some(holders);
    Ok(config)
}

fn split(prefix: &str) -> Vec<(ServiceId, u32)> {
    let names: &[&str] = match prefix {
        "/split/" => &["s", "t"],
        _ => &["s"],
    };
    let names = names.iter().map(|name| (name.parse().unwrap(), 1));
    names.collect()
}

fn regions(names: &Value) -> Vec<Region> {
    let names = names.as_array().into_iter().flatten();
    names
        .map(|n| n.as_str().unwrap().parse().unwrap())
        .collect()
}

/// Parses the parts of a prompt: `X-Prompt: ID,ID`, in hexadecimal. `X-Tokens` has its length.
fn prompt(headers: &Headers) -> Option<Prompt> {
    let parts = headers.get("x-prompt")?.split(',').map(|id| Part {
        id: u64::from_str_radix(id, 16).unwrap(),
        tokens: 100,
    });
    let total = headers.get("x-tokens").map_or(0, |n| n.parse().unwrap());
    Some(Prompt {
        parts: parts.collect(),
        total,
        ..Prompt::default()
    })
}

fn no_replica(_: &str, _: &[u8]) -> Result<gateway::Replica, String> {
    Err("the fake store lists parsed replicas".to_owned())
}

fn query(target: &str) -> Option<AddressQuery> {
    (target == "/addresses").then(AddressQuery::default)
}

fn addresses(list: &[SocketAddr], _: Duration) -> Vec<u8> {
    let all: Vec<String> = list.iter().map(ToString::to_string).collect();
    all.join(" ").into_bytes()
}

/// Announcements of replicas: `X-Leaving: 1`, and `Retry-After` in whole seconds.
fn notice(status: u16, headers: &Headers) -> Notice {
    let seconds = headers.get("retry-after").filter(|_| status == 503);
    Notice {
        leaving: headers.get("x-leaving") == Some("1"),
        retry_after: seconds.map(|s| Duration::from_secs(s.parse().unwrap())),
        ..Notice::default()
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
        engine_controls: &["X-Reserve", "X-Keep-Ms"],
        retry_after: "Retry-After",
        ready_path: "/ready",
        parse_prompt: prompt,
        parse_config: read_config,
        parse_replica: no_replica,
        parse_notice: notice,
        parse_address_query: query,
        encode_addresses: addresses,
    }
}

type SharedStore = Arc<Mutex<FakeStore>>;

/// Answers a call from the store's content, or fails if the store is down.
fn respond<T: Send + 'static>(
    store: &SharedStore,
    read: impl FnOnce(&FakeStore) -> T + Send + 'static,
) -> StoreFuture<T> {
    let store = store.clone();
    Box::pin(async move {
        let (fault, panics) = {
            let mut store = store.lock().unwrap();
            let panics = store.panics;
            store.panics = panics.saturating_sub(1);
            (store.fault, panics)
        };
        assert!(panics == 0, "this call of the store panics");
        match fault {
            Some(how) => {
                store.lock().unwrap().failed_calls += 1;
                Err(how.fail().await)
            }
            None => {
                let mut store = store.lock().unwrap();
                store.reported_era = store.era;
                Ok(read(&store))
            }
        }
    })
}

fn operator_data(store: &FakeStore) -> OperatorData {
    OperatorData {
        config: Some(store.config.clone()),
        evacuations: EvacuationOrders {
            revision: Revision {
                era: Era(store.era),
                number: store.revision,
            },
            zones: store.evacuated.clone(),
        },
    }
}

fn watch(store: &SharedStore, after: Revision, wait: Duration) -> StoreFuture<OperatorChanges> {
    let store = store.clone();
    Box::pin(async move {
        let until = Instant::now() + wait;
        loop {
            let read = respond(&store, operator_data).await?;
            let revision = read.evacuations.revision;
            let (config_revision, changes) = {
                let store = store.lock().unwrap();
                (store.config_revision, store.zone_changes.clone())
            };
            if after.era != revision.era || after.number > revision.number {
                return Err(StoreError::Compacted);
            }
            let changes = changes.into_iter().filter(|(at, _)| *at > after.number);
            let zones: Vec<ZoneChange> = changes.map(|(_, change)| change).collect();
            let changed = config_revision > after.number || !zones.is_empty();
            if changed || Instant::now() >= until {
                store.lock().unwrap().reported = revision.number;
                return Ok(OperatorChanges {
                    config: read.config.filter(|_| config_revision > after.number),
                    zones,
                    revision,
                });
            }
            task::sleep(Duration::from_millis(5)).await;
        }
    })
}

fn register(
    store: &SharedStore,
    name: String,
    value: Vec<u8>,
    lease: Lease,
) -> StoreFuture<Revision> {
    let store = store.clone();
    Box::pin(async move {
        respond(&store, |_| ()).await?;
        let mut store = store.lock().unwrap();
        store.leases.insert(lease.id, name.clone());
        let number = store.entry_revisions.values().max().unwrap_or(&0) + 1;
        store.entry_revisions.insert(name.clone(), number);
        store.registered.insert(name, value);
        let era = Era(store.era);
        Ok(Revision { era, number })
    })
}

fn unregister(store: &SharedStore, name: String, written: Revision) -> StoreFuture<bool> {
    let store = store.clone();
    Box::pin(async move {
        respond(&store, |_| ()).await?;
        let mut store = store.lock().unwrap();
        let as_written = store.entry_revisions.get(&name) == Some(&written.number);
        Ok(as_written && store.registered.remove(&name).is_some())
    })
}

fn take_lease(store: &SharedStore) -> StoreFuture<Lease> {
    let store = store.clone();
    Box::pin(async move {
        respond(&store, |_| ()).await?;
        let mut store = store.lock().unwrap();
        let id = store.leases.keys().last().map_or(1, |last| last + 1);
        store.leases.insert(id, String::new());
        let era = Era(store.era);
        if std::mem::take(&mut store.restored_after_lease) {
            store.era += 1;
        }
        Ok(Lease { era, id })
    })
}

/// How far apart the numbers of the list's revisions are for one change of the store's revision.
const LIST_REVISIONS: u64 = 10_000;

impl FakeStore {
    /// Records how the replicas changed since the last call, and returns the revision of the list.
    fn log_replicas(&mut self) -> Revision {
        self.list_calls += 1;
        let listed = self.replicas.iter();
        let listed = listed.filter(|r| !self.last_replicas.contains(r)).cloned();
        self.replica_log.extend(listed.map(ReplicaChange::Listed));
        let is_listed = |id| self.replicas.iter().any(|r| r.id == id);
        let gone = self.last_replicas.iter().map(|r| r.id.clone());
        let gone = gone.filter(|id| !is_listed(id.clone()));
        self.replica_log.extend(gone.map(ReplicaChange::Gone));
        self.last_replicas = self.replicas.clone();
        Revision {
            era: Era(self.era),
            number: self.revision * LIST_REVISIONS + self.replica_log.len() as u64,
        }
    }
}

async fn list_replicas(store: SharedStore) -> Result<ReplicaList, StoreError> {
    respond(&store, |_| ()).await?;
    let mut store = store.lock().unwrap();
    if let Some(e) = store.list_error.clone() {
        store.list_calls += 1;
        return Err(e);
    }
    Ok(ReplicaList {
        revision: store.log_replicas(),
        replicas: store.replicas.clone(),
        skipped: SkippedEntries::default(),
    })
}

async fn replica_changes(
    store: SharedStore,
    after: Revision,
) -> Result<ReplicaChanges, StoreError> {
    respond(&store, |_| ()).await?;
    let mut store = store.lock().unwrap();
    let revision = store.log_replicas();
    if after.era != revision.era || after.number > revision.number {
        return Err(StoreError::Compacted);
    }
    let known = (after.number % LIST_REVISIONS) as usize;
    Ok(ReplicaChanges {
        changes: store.replica_log[known..].to_vec(),
        revision,
        skipped: SkippedEntries::default(),
    })
}

fn list_routers(store: &FakeStore) -> Vec<RegisteredRouter> {
    let entries = store.registered.iter();
    let entries = entries.map(|(name, value)| RegisteredRouter {
        value: value.clone(),
        lease: store.lease_of(name).unwrap_or(0),
    });
    entries.collect()
}

/// Renews any lease with this number, and returns whether it is the one that was meant.
fn renew(store: &FakeStore, lease: Lease) -> bool {
    store.leases.contains_key(&lease.id) && lease.era == Era(store.era)
}

fn store_api(store: &SharedStore) -> Store {
    let handle = || store.clone();
    let (a, b, c, d, e, f, g, h, i, j) = (
        handle(),
        handle(),
        handle(),
        handle(),
        handle(),
        handle(),
        handle(),
        handle(),
        handle(),
        handle(),
    );
    Store {
        read_operators: Box::new(move || respond(&a, operator_data)),
        watch_operators: Box::new(move |after, wait| watch(&b, after, wait)),
        list_replicas: Box::new(move || Box::pin(list_replicas(c.clone()))),
        replica_changes: Box::new(move |after| Box::pin(replica_changes(j.clone(), after))),
        list_routers: Box::new(move || respond(&d, list_routers)),
        grant_lease: Box::new(move |_| take_lease(&e)),
        renew_lease: Box::new(move |lease| respond(&f, move |w| renew(w, lease))),
        register: Box::new(move |name, value, lease| register(&g, name, value, lease)),
        unregister: Box::new(move |name, written| unregister(&h, name, written)),
        newest_era: Box::new(move || Era(i.lock().unwrap().reported_era)),
    }
}

/// Returns an unused address, with a port below the ephemeral range.
///
/// An ephemeral port could be taken by a connection of another test before it is bound.
fn free_address() -> SocketAddr {
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
        region = "north"
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
        free_address(),
        free_address(),
        free_address(),
        free_address(),
        free_address()
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
        version: None,
        cold: None,
    }
}

impl TestGateway {
    /// Starts a gateway that knows these replicas, and waits until it is ready.
    pub(crate) fn start(replicas: &[(&str, &Replica)]) -> TestGateway {
        let list = replicas.iter().map(|(name, r)| entry(name, r)).collect();
        let store = FakeStore {
            config: config(1),
            revision: 1,
            replicas: list,
            ..FakeStore::default()
        };
        let gw = TestGateway::start_with(Arc::new(Mutex::new(store)), "g1", |_| {});
        gw.wait_ready();
        gw
    }

    /// Starts a gateway with a store that may be shared.
    pub(crate) fn start_with(
        store: Arc<Mutex<FakeStore>>,
        name: &str,
        change: impl FnOnce(&mut Settings),
    ) -> TestGateway {
        let mut settings = settings(name);
        change(&mut settings);
        let gateway = task::block_on(gateway::start(
            settings.clone(),
            dialect(),
            store_api(&store),
        ));
        TestGateway {
            store,
            settings,
            gateway: Some(gateway.unwrap()),
        }
    }

    pub(crate) fn wait_ready(&self) {
        wait_until(|| self.ready());
    }

    pub(crate) fn ready(&self) -> bool {
        let mut caller = Caller::open(self.settings.listen.ready);
        caller.get("/ready", "-", "").status == 200
    }

    pub(crate) fn caller(&self) -> Caller {
        Caller::open(self.settings.listen.callers)
    }

    /// Sends a GET request over a new connection.
    pub(crate) fn get(&self, path: &str, id: &str) -> Answer {
        self.caller().get(path, id, "")
    }

    /// Puts a configuration into the store.
    pub(crate) fn put_config(&self, config: Vec<u8>) {
        let mut store = self.store.lock().unwrap();
        store.config = config;
        store.revision += 1;
        store.config_revision = store.revision;
    }

    /// Begins or ends the evacuation of a zone.
    pub(crate) fn evacuate(&self, zone: &str, evacuated: bool) {
        let mut store = self.store.lock().unwrap();
        let zone: Zone = zone.parse().unwrap();
        match evacuated {
            true => store.evacuated.insert(zone.clone()),
            false => store.evacuated.remove(&zone),
        };
        store.revision += 1;
        let change = (store.revision, ZoneChange { zone, evacuated });
        store.zone_changes.push(change);
    }

    /// Restores the store from a backup of `revision`, after which other keys than the
    /// configuration were written up to revision `now`.
    pub(crate) fn restore(&self, revision: u64, config: Vec<u8>, now: u64) {
        let mut store = self.store.lock().unwrap();
        store.config = config;
        store.config_revision = revision + 1;
        store.revision = now;
        store.era += 1;
    }

    /// Waits until the gateway has received the current content of the store.
    pub(crate) fn wait_synced(&self) {
        wait_until(|| {
            let store = self.store.lock().unwrap();
            store.reported == store.revision
        });
        // The gateway has the content before it acts on it; its next call comes after that.
        let asked = Instant::now();
        wait_until(|| asked.elapsed() > Duration::from_millis(100));
    }

    /// Waits until the gateway has applied the current list of replicas.
    pub(crate) fn wait_listed(&self) {
        let calls = || self.store.lock().unwrap().list_calls;
        let before = calls();
        // A gateway applies the answer to a call before it makes the next one.
        wait_until(|| calls() >= before + 2);
    }

    /// Starts the shutdown of the gateway; the thread returns when it has ended.
    pub(crate) fn end(&mut self) -> thread::JoinHandle<()> {
        let gateway = self.gateway.take().unwrap();
        thread::spawn(move || task::block_on(gateway.end()))
    }
}

/// Waits until a condition holds.
pub(crate) fn wait_until(holds: impl Fn() -> bool) {
    let until = Instant::now() + HANG_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < until, "the condition was not met in time");
        thread::sleep(Duration::from_millis(5));
    }
}
