//! Shared state of one gateway.

use {
    crate::{
        fleet::{
            ListTransfers,
            Lookups, //
        },
        index::ReplicaIndex,
        model::{
            Config,
            Dialect,
            Replica,
            SkippedEntries,
            Store, //
        },
        upstream::Pool,
        Settings, //
    },
    async_std::{
        channel::{
            bounded,
            Receiver,
            Sender, //
        },
        net::UdpSocket, //
    },
    policy::{
        actives::{
            Actives,
            RouterInfo,
            Urgency, //
        },
        placement::{
            Board,
            Cooldowns,
            FleetSpeeds,
            Health,
            Latencies,
            ReplicaKey,
            ReplicaMap,
            Speeds, //
        },
        quarantine::Quarantine,
        quota::{
            Quota,
            Tally, //
        },
        retry::Budget,
        streams::{
            StreamTable,
            VersionHistory, //
        },
        warmup::{
            ColdStart,
            Warmup, //
        },
        Era,
        Eras,
        EvacuationOrders,
        EvacuationUpdate,
        Evacuations,
        Incarnation,
        Overload,
        Revision,
        Roster,
        RouterId,
        ServiceId,
        Span,
        Time,
        Watch,
        Zone,
        ZoneChange, //
    },
    resources::{
        Limiter,
        ListenerId, //
    },
    rustc_hash::FxBuildHasher,
    std::{
        collections::HashMap,
        sync::{
            atomic::{
                AtomicBool,
                AtomicU32,
                AtomicUsize,
                Ordering, //
            },
            Arc,
            Mutex,
            MutexGuard,
            OnceLock,
            PoisonError, //
        },
        time::{
            Duration,
            Instant, //
        },
    },
};

/// Unusable entries of one configuration that are logged.
const MAX_LOGGED_ENTRIES: usize = 16;

/// The configuration in force, and the document that it was parsed from, for peers.
#[derive(Debug)]
pub(crate) struct CurrentConfig {
    pub(crate) config: Config,
    pub(crate) document: Vec<u8>,
}

/// State that decisions are based on.
#[derive(Debug)]
pub(crate) struct Tables {
    pub(crate) roster: Roster<Arc<Replica>>,
    /// Other entries of the list that this router last read from the store.
    pub(crate) skipped: SkippedEntries,
    /// The replicas of the roster, by service and version.
    pub(crate) index: ReplicaIndex,
    pub(crate) board: Board,
    pub(crate) health: ReplicaMap<Health>,
    /// Replicas that asked this router for a pause.
    pub(crate) cooldowns: Cooldowns,
    pub(crate) speeds: Speeds,
    /// Speeds that are shared with the peers, for tolerant services.
    pub(crate) fleet_speeds: FleetSpeeds,
    pub(crate) latencies: Latencies,
    /// When the shared part of a prompt was last sent to a replica.
    pub(crate) cached_prefixes: HashMap<(ReplicaKey, u64), Time, FxBuildHasher>,
    /// When a replica last sent anything.
    pub(crate) last_received: ReplicaMap<Time>,
    pub(crate) quota: Quota,
    /// Outcomes of the requests of each workspace since they were last logged.
    pub(crate) tally: Tally,
    pub(crate) budgets: HashMap<ServiceId, Budget>,
    /// Quarantined requests, under which replicas end.
    pub(crate) quarantine: Quarantine,
    /// The other routers.
    pub(crate) fleet: Actives,
    pub(crate) watch: Watch,
    /// Zones whose replicas get no requests.
    pub(crate) evacuations: Evacuations,
    /// Replicas that are cold.
    pub(crate) warmup: Warmup,
    /// How short this instance is of processor time.
    pub(crate) overload: Overload,
    /// The software versions that were listed lately.
    pub(crate) versions: VersionHistory,
    /// What began the streams that may be taken up again.
    pub(crate) streams: StreamTable,
}

/// State that all tasks of one gateway share.
///
/// Lock order: `current_config`, `tables`, `eras`. None is held across an await.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) dialect: Dialect,
    pub(crate) store: Store,
    /// Sends messages to peers and receives theirs.
    pub(crate) peer_socket: Arc<UdpSocket>,
    /// Questions to peers about streams.
    pub(crate) lookups: Lookups,
    /// Lists of replicas that are being sent to peers.
    pub(crate) transfers: ListTransfers,
    pub(crate) incarnation: Incarnation,
    started: Instant,
    current_config: Mutex<Option<Arc<CurrentConfig>>>,
    tables: Mutex<Tables>,
    pub(crate) pool: Pool,
    /// Wakes the task that sends messages to peers, for an update before the next interval.
    wake: Sender<()>,
    pub(crate) woken: Receiver<()>,
    /// For whom the update is, beside the active routers.
    urgency: Mutex<Urgency>,
    /// Number of the last message to peers.
    message_number: AtomicU32,
    /// The instance is shutting down and wants no new callers.
    pub(crate) leaving: AtomicBool,
    /// When requests that still run get their last answer, if the instance stops.
    pub(crate) stops_at: OnceLock<Instant>,
    /// Requests are rejected, as they might not finish before the process ends.
    pub(crate) rejecting: AtomicBool,
    /// The list of replicas was received at least once.
    pub(crate) replicas_listed: AtomicBool,
    /// A peer has a list of replicas.
    pub(crate) list_offered: AtomicBool,
    /// A peer has a configuration.
    pub(crate) config_offered: AtomicBool,
    /// The zones to evacuate were received at least once.
    evacuations_known: AtomicBool,
    /// The last call to the store failed.
    pub(crate) store_lost: AtomicBool,
    /// The eras of the store that its answers and the peers reported.
    eras: Mutex<Eras>,
    /// Requests that are being served.
    pub(crate) active_requests: AtomicUsize,
    /// Open connections of callers.
    pub(crate) caller_connections: AtomicUsize,
    /// What clients' connections hold.
    pub(crate) limiter: Limiter,
    /// The callers' listener in it.
    pub(crate) callers: ListenerId,
}

impl Shared {
    pub(crate) fn new(
        settings: Settings,
        dialect: Dialect,
        store: Store,
        peer_socket: Arc<UdpSocket>,
    ) -> Shared {
        let (wake, woken) = bounded(1);
        let incarnation = Incarnation(fastrand::u64(..));
        let limiter = Limiter::new(settings.memory_limits());
        let window = Span((settings.bounds.fair_window_s * 1e6) as u64);
        Shared {
            dialect,
            store,
            peer_socket,
            lookups: Lookups::default(),
            transfers: ListTransfers::default(),
            incarnation,
            started: Instant::now(),
            current_config: Mutex::new(None),
            tables: Mutex::new(Tables {
                roster: Roster::default(),
                skipped: SkippedEntries::default(),
                index: ReplicaIndex::default(),
                board: Board::default(),
                health: ReplicaMap::default(),
                cooldowns: Cooldowns::default(),
                speeds: Speeds::default(),
                fleet_speeds: FleetSpeeds::default(),
                latencies: Latencies::default(),
                cached_prefixes: HashMap::default(),
                last_received: ReplicaMap::default(),
                quota: Quota::new(window),
                tally: Tally::default(),
                budgets: HashMap::new(),
                quarantine: Quarantine::default(),
                fleet: new_fleet(&settings, incarnation),
                watch: Watch::default(),
                evacuations: Evacuations::default(),
                warmup: Warmup::default(),
                overload: Overload::default(),
                versions: VersionHistory::default(),
                streams: StreamTable::default(),
            }),
            pool: Pool::default(),
            wake,
            woken,
            urgency: Mutex::default(),
            message_number: AtomicU32::new(0),
            leaving: AtomicBool::new(false),
            stops_at: OnceLock::new(),
            rejecting: AtomicBool::new(false),
            replicas_listed: AtomicBool::new(false),
            list_offered: AtomicBool::new(false),
            config_offered: AtomicBool::new(false),
            evacuations_known: AtomicBool::new(false),
            store_lost: AtomicBool::new(false),
            eras: Mutex::default(),
            active_requests: AtomicUsize::new(0),
            caller_connections: AtomicUsize::new(0),
            callers: limiter.add_listener(settings.max_callers()),
            limiter,
            settings,
        }
    }

    /// Returns whether a service is tolerant, given the shortest latency target among its streaming
    /// routes, if it has any.
    pub(crate) fn is_tolerant(&self, stream_target: Option<Duration>) -> bool {
        let tuning = &self.settings.placement;
        stream_target.is_some_and(|target| tuning.is_tolerant(target.into()))
    }

    /// Returns the time on this process's monotonic clock.
    pub(crate) fn now(&self) -> Time {
        Time(self.started.elapsed().as_micros() as u64)
    }

    /// Returns the configuration in force, once there is one.
    pub(crate) fn current_config(&self) -> Option<Arc<CurrentConfig>> {
        lock(&self.current_config).clone()
    }

    /// Returns the version of the configuration in force, 0 without one.
    pub(crate) fn config_version(&self) -> u64 {
        self.current_config()
            .map_or(0, |current| current.config.version)
    }

    /// Sends updates to the active routers at once.
    pub(crate) fn announce(&self) {
        // The channel is full if a wake-up is pending already.
        let _ = self.wake.try_send(());
    }

    /// Sends updates to all routers at once.
    ///
    /// A standby gets a message of each router only every few seconds. For that long it would name a
    /// router that shuts down to callers.
    pub(crate) fn announce_to_all(&self) {
        self.announce_with(Urgency::All);
    }

    /// Sends updates to the active routers and to this router's followers at once. The active
    /// routers pass them on to their own.
    ///
    /// If one router sent a new configuration to all others, the time until all have it would grow
    /// with the fleet.
    pub(crate) fn announce_relayed(&self) {
        self.announce_with(Urgency::Relayed);
    }

    /// Passes an update of a peer on to this router's followers, if it is an active one.
    pub(crate) fn relay(&self) {
        if self.tables().fleet.is_active() {
            self.announce_relayed();
        }
    }

    fn announce_with(&self, urgency: Urgency) {
        let mut pending = lock(&self.urgency);
        *pending = urgency.max(*pending);
        drop(pending);
        self.announce();
    }

    /// Returns for whom the pending update is, and resets that.
    pub(crate) fn take_urgency(&self) -> Urgency {
        std::mem::take(&mut lock(&self.urgency))
    }

    /// Returns the number of the next message to peers.
    pub(crate) fn next_message_number(&self) -> u32 {
        self.message_number.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Locks the tables.
    pub(crate) fn tables(&self) -> MutexGuard<'_, Tables> {
        lock(&self.tables)
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Returns whether this instance can serve requests.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_leaving()
            && self.replicas_listed.load(Ordering::Relaxed)
            && self.served_config().is_some()
    }

    /// Returns the configuration in force, once it is also known which zones get no requests.
    pub(crate) fn served_config(&self) -> Option<Arc<CurrentConfig>> {
        let known = self.evacuations_known.load(Ordering::Relaxed);
        known.then(|| self.current_config()).flatten()
    }

    /// Puts a configuration in force if it is valid and newer than the one in force.
    ///
    /// Returns whether it is valid. An older one never replaces a newer one, as answers of the
    /// store and of peers may be outdated.
    pub(crate) fn apply_config(&self, document: Vec<u8>, from: &str) -> bool {
        let config = match (self.dialect.parse_config)(&document) {
            Ok(config) => config,
            Err(e) => {
                metrics::counter!("chervilwind_configs_rejected").increment(1);
                log::error!("event=config outcome=rejected from={from} cause={e:?}");
                return false;
            }
        };
        let mut current = lock(&self.current_config);
        let before = current.as_ref().map_or(0, |c| c.config.version);
        if config.version <= before {
            return true;
        }
        log::info!(
            "event=config outcome=in-force version={} before={before} from={from} routes={} \
             services={} unusable={}",
            config.version,
            config.route_count(),
            config.services.len(),
            config.unusable.len()
        );
        log_unusable(&config);
        metrics::gauge!("chervilwind_config_version").set(config.version as f64);
        metrics::gauge!("chervilwind_config_unusable_entries").set(config.unusable.len() as f64);
        self.tables().quota.set_capacity(config.limits.capacity);
        *current = Some(Arc::new(CurrentConfig { config, document }));
        true
    }

    /// Applies the zones to evacuate that the store or a peer reports. Returns whether any began or
    /// ended.
    pub(crate) fn apply_evacuations(&self, orders: EvacuationOrders, from: &str) -> bool {
        let now = self.now();
        let update = self.tables().evacuations.apply(orders, now);
        self.evacuations_known.store(true, Ordering::Relaxed);
        self.finish_evacuations(&update, from)
    }

    /// Applies changes of the zones to evacuate that the store reports up to a revision. Returns
    /// whether any began or ended.
    pub(crate) fn apply_zone_changes(
        &self,
        changes: &[ZoneChange],
        at: Revision,
        from: &str,
    ) -> bool {
        let now = self.now();
        let update = self.tables().evacuations.apply_changes(changes, at, now);
        self.finish_evacuations(&update, from)
    }

    /// Ends evacuations that were only held after the store came back from an older copy.
    pub(crate) fn forget_evacuations(&self) {
        let now = self.now();
        let update = self.tables().evacuations.forget(now);
        if self.finish_evacuations(&update, "hold") {
            self.relay();
        }
    }

    /// Returns how replicas of a service start, if the number of requests to cold ones is limited.
    pub(crate) fn cold_start(&self, config: &Config, service: &ServiceId) -> Option<ColdStart> {
        let rate = config.services.get(service).and_then(|s| s.warmup);
        self.settings.bounds.cold_start(rate)
    }

    /// Records that the replicas of these zones are cold, as they got no requests for some time.
    fn mark_cold(&self, zones: &[Zone]) {
        let now = self.now();
        let Some(current) = self.current_config() else {
            return;
        };
        let mut tables = self.tables();
        let tables = &mut *tables;
        for (id, replica) in tables.roster.known() {
            let start = self.cold_start(&current.config, &replica.service);
            if let Some(start) = start.filter(|_| zones.contains(&replica.zone)) {
                tables.warmup.started(replica.key(), start, now);
                log::info!("event=replica outcome=cold replica={id}");
            }
        }
    }

    /// Logs changes of the zones to evacuate. Returns whether there are any.
    fn finish_evacuations(&self, update: &EvacuationUpdate, from: &str) -> bool {
        let EvacuationUpdate { begun, ended } = update;
        for (zones, outcome) in [(begun, "begun"), (ended, "ended")] {
            for zone in zones {
                log::warn!("event=evacuation outcome={outcome} zone={zone} from={from}");
            }
        }
        if !begun.is_empty() || !ended.is_empty() {
            self.mark_cold(ended);
            let covered = self.tables().evacuations.covered(self.now()).len();
            metrics::gauge!("chervilwind_zones_evacuated").set(covered as f64);
        }
        !begun.is_empty() || !ended.is_empty()
    }

    /// Returns the eras of the store that its answers and the peers reported.
    pub(crate) fn eras(&self) -> Eras {
        *lock(&self.eras)
    }

    /// Records the newest era that the store reported, and logs a change.
    fn record_era(&self) {
        let era = (self.store.newest_era)();
        let mut eras = lock(&self.eras);
        let before = *eras;
        if eras.observe_answer(era) {
            log_restored_store(era, before, "store");
        }
    }

    /// Records the era of the store that a peer reported, and logs a change.
    pub(crate) fn record_peer_era(&self, era: Era, from: &RouterId) {
        let mut eras = lock(&self.eras);
        let before = *eras;
        if eras.observe_peer(era) {
            log_restored_store(era, before, from.as_str());
        }
    }

    /// Records whether a call to the store succeeded, and logs a change.
    pub(crate) fn record_store_call(&self, call: &str, error: Option<&crate::StoreError>) {
        metrics::counter!("chervilwind_store_calls", "call" => call.to_owned()).increment(1);
        self.record_era();
        let was = self.store_lost.swap(error.is_some(), Ordering::Relaxed);
        match error {
            Some(e) if !was => log::warn!("event=store outcome=lost call={call} cause={e:?}"),
            None if was => log::info!("event=store outcome=regained call={call}"),
            _ => {}
        }
    }
}

fn log_unusable(config: &Config) {
    for entry in config.unusable.iter().take(MAX_LOGGED_ENTRIES) {
        log::warn!(
            "event=config outcome=entry-unusable version={} kind={} entry={:?} cause={:?}",
            config.version,
            entry.kind,
            entry.text,
            entry.cause
        );
    }
}

fn log_restored_store(era: Era, before: Eras, from: &str) {
    let before = before.confirmed();
    log::warn!("event=store outcome=went-back era={era} before={before} from={from}");
}

/// Makes the table of routers, which contains only this one.
fn new_fleet(settings: &Settings, incarnation: Incarnation) -> Actives {
    let intro = RouterInfo {
        incarnation,
        peers: settings.listen.peers,
        callers: settings.listen.callers,
        zone: settings.zone.clone(),
        processor: settings.instance.processor,
        ready: false,
    };
    let heartbeat = Span::millis(settings.fleet.heartbeat_ms);
    Actives::new(
        settings.name.clone(),
        intro,
        settings.fleet.min_active,
        heartbeat,
    )
}

/// Locks a mutex, even if a thread panicked while it held it: the state is changed in complete
/// steps only, so it remains consistent.
fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}
