//! The tables of one gateway.

use {
    crate::{
        model::{
            Config,
            Dialect,
            Replica,
            Store, //
        },
        upstream::Pool,
        Settings, //
    },
    async_std::channel::{
        bounded,
        Receiver,
        Sender, //
    },
    policy::{
        actives::{
            Actives,
            RouterInfo, //
        },
        placement::{
            Board,
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
        Era,
        Eras,
        Incarnation,
        Roster,
        RouterId,
        ServiceId,
        Span,
        Time,
        Watch, //
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
            PoisonError, //
        },
        time::Instant, //
    },
};

/// File descriptors that are left for replicas, peers, the store and files, of all that the
/// process may have: 12 kept and 30 running connections to each of 12 replicas, and as much
/// again.
const DESCRIPTORS_LEFT: usize = 1_200;

/// A configuration that is in force, and the bytes it was read from, for peers.
#[derive(Debug)]
pub(crate) struct InForce {
    pub(crate) config: Config,
    pub(crate) document: Vec<u8>,
}

/// Everything that decisions are made from.
#[derive(Debug)]
pub(crate) struct Tables {
    pub(crate) roster: Roster<Arc<Replica>>,
    pub(crate) board: Board,
    pub(crate) health: ReplicaMap<Health>,
    pub(crate) speeds: Speeds,
    pub(crate) latencies: Latencies,
    /// When a prompt's shared part was last sent to a replica.
    pub(crate) cached: HashMap<(ReplicaKey, u64), Time, FxBuildHasher>,
    /// When a replica last sent anything.
    pub(crate) heard: ReplicaMap<Time>,
    pub(crate) quota: Quota,
    /// What became of the requests of each workspace, since it was last logged.
    pub(crate) tally: Tally,
    pub(crate) budgets: HashMap<ServiceId, Budget>,
    /// Requests under which replicas end.
    pub(crate) quarantine: Quarantine,
    /// The other routers.
    pub(crate) fleet: Actives,
    pub(crate) watch: Watch,
}

/// One gateway.
///
/// Lock order: `force`, `tables`, `eras`. None is held across an await.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) dialect: Dialect,
    pub(crate) store: Store,
    pub(crate) incarnation: Incarnation,
    started: Instant,
    force: Mutex<Option<Arc<InForce>>>,
    tables: Mutex<Tables>,
    pub(crate) pool: Pool,
    /// Wakes who speaks to the peers, where something is to be told before its time.
    wake: Sender<()>,
    pub(crate) woken: Receiver<()>,
    /// What is to be told concerns all, not only the active routers.
    urgent: AtomicBool,
    /// Number of the last word to peers.
    words: AtomicU32,
    /// No new callers are wanted any more.
    pub(crate) leaving: AtomicBool,
    /// Requests are refused, as they might not end before the process must.
    pub(crate) refuses: AtomicBool,
    /// The list of replicas was read at least once.
    pub(crate) listed: AtomicBool,
    /// The store did not answer this instance's last call.
    pub(crate) store_lost: AtomicBool,
    /// The eras of the store that its answers and peers named.
    eras: Mutex<Eras>,
    /// Requests that are being served.
    pub(crate) active: AtomicUsize,
    /// Connections of callers.
    pub(crate) callers: AtomicUsize,
    /// Bytes of bodies that are held.
    pub(crate) bodies: AtomicUsize,
}

impl Shared {
    pub(crate) fn new(settings: Settings, dialect: Dialect, store: Store) -> Shared {
        let (wake, woken) = bounded(1);
        let incarnation = Incarnation(fastrand::u64(..));
        let window = Span((settings.bounds.fair_window_s * 1e6) as u64);
        Shared {
            dialect,
            store,
            incarnation,
            started: Instant::now(),
            force: Mutex::new(None),
            tables: Mutex::new(Tables {
                roster: Roster::default(),
                board: Board::default(),
                health: ReplicaMap::default(),
                speeds: Speeds::default(),
                latencies: Latencies::default(),
                cached: HashMap::default(),
                heard: ReplicaMap::default(),
                quota: Quota::new(window),
                tally: Tally::default(),
                budgets: HashMap::new(),
                quarantine: Quarantine::default(),
                fleet: own_fleet(&settings, incarnation),
                watch: Watch::default(),
            }),
            pool: Pool::default(),
            wake,
            woken,
            urgent: AtomicBool::new(false),
            words: AtomicU32::new(0),
            leaving: AtomicBool::new(false),
            refuses: AtomicBool::new(false),
            listed: AtomicBool::new(false),
            store_lost: AtomicBool::new(false),
            eras: Mutex::default(),
            active: AtomicUsize::new(0),
            callers: AtomicUsize::new(0),
            bodies: AtomicUsize::new(0),
            settings,
        }
    }

    /// Returns the time on this process's monotonic clock.
    pub(crate) fn now(&self) -> Time {
        Time(self.started.elapsed().as_micros() as u64)
    }

    /// Returns the configuration in force, once there is one.
    pub(crate) fn in_force(&self) -> Option<Arc<InForce>> {
        lock(&self.force).clone()
    }

    /// Returns the version of the configuration in force, 0 without one.
    pub(crate) fn version(&self) -> u64 {
        self.in_force().map_or(0, |force| force.config.version)
    }

    /// Has the active routers told at once of what is new here.
    pub(crate) fn announce(&self) {
        // Where a word waits to be told already, it tells of this too.
        let _ = self.wake.try_send(());
    }

    /// Has all routers told at once of what is new here.
    ///
    /// Those that stand by hear a router every three seconds where there are 300. A leaving
    /// router would be named to callers for as long, and a key that is taken away would be taken.
    pub(crate) fn announce_to_all(&self) {
        self.urgent.store(true, Ordering::SeqCst);
        self.announce();
    }

    /// Tells whether all routers are to be told now, once for each time that they are to be.
    pub(crate) fn takes_urgent(&self) -> bool {
        self.urgent.swap(false, Ordering::SeqCst)
    }

    /// Returns the number of the next word to peers.
    pub(crate) fn next_word(&self) -> u32 {
        self.words.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Locks the tables for one step.
    pub(crate) fn tables(&self) -> MutexGuard<'_, Tables> {
        lock(&self.tables)
    }

    /// Returns how many connections callers may have.
    pub(crate) fn most_callers(&self) -> usize {
        let all = self.settings.instance.descriptors as usize;
        all.saturating_sub(DESCRIPTORS_LEFT).max(all / 2)
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Tells whether this instance can serve.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_leaving() && self.listed.load(Ordering::Relaxed) && self.in_force().is_some()
    }

    /// Puts a configuration in force, if it can be read and is newer than the one in force.
    ///
    /// Returns whether it can be used, newer or not. An older one never comes back in force:
    /// the store's answers may be old, and peers may be behind.
    pub(crate) fn take_config(&self, document: Vec<u8>, from: &str) -> bool {
        let config = match (self.dialect.config)(&document) {
            Ok(config) => config,
            Err(e) => {
                log::error!("event=config outcome=rejected from={from} cause={e:?}");
                return false;
            }
        };
        let mut force = lock(&self.force);
        let have = force.as_ref().map_or(0, |f| f.config.version);
        if config.version <= have {
            return true;
        }
        log::info!(
            "event=config outcome=in-force version={} before={have} from={from} routes={} \
             services={}",
            config.version,
            config.route_count(),
            config.services.len()
        );
        metrics::gauge!("chervilwind_config_version").set(config.version as f64);
        self.tables().quota.set_capacity(config.limits.capacity);
        *force = Some(Arc::new(InForce { config, document }));
        true
    }

    /// Returns what the store and the peers said of the store's era.
    pub(crate) fn eras(&self) -> Eras {
        *lock(&self.eras)
    }

    /// Notes the era of an answer of the store.
    fn note_era(&self) {
        let era = (self.store.era)();
        let mut eras = lock(&self.eras);
        let before = *eras;
        if eras.observe_answer(era) {
            log_return(era, before, "store");
        }
    }

    /// Notes the era of the store that a peer names.
    pub(crate) fn note_named_era(&self, era: Era, from: &RouterId) {
        let mut eras = lock(&self.eras);
        let before = *eras;
        if eras.observe_peer(era) {
            log_return(era, before, from.as_str());
        }
    }

    /// Notes whether the store answers, and logs the change.
    pub(crate) fn note_store(&self, call: &str, error: Option<&crate::StoreError>) {
        metrics::counter!("chervilwind_store_calls", "call" => call.to_owned()).increment(1);
        self.note_era();
        let was = self.store_lost.swap(error.is_some(), Ordering::Relaxed);
        match error {
            Some(e) if !was => log::warn!("event=store outcome=lost call={call} cause={e:?}"),
            None if was => log::info!("event=store outcome=regained call={call}"),
            _ => {}
        }
    }
}

fn log_return(era: Era, before: Eras, from: &str) {
    let before = before.confirmed();
    log::warn!("event=store outcome=went-back era={era} before={before} from={from}");
}

/// Makes the table of the other routers, of whom none is known yet.
fn own_fleet(settings: &Settings, incarnation: Incarnation) -> Actives {
    let intro = RouterInfo {
        incarnation,
        peers: settings.listen.peers,
        callers: settings.listen.callers,
        zone: settings.zone.clone(),
        processor: settings.instance.processor,
        ready: false,
    };
    let beat = Span::millis(settings.fleet.beat_ms);
    Actives::new(settings.name.clone(), intro, settings.fleet.active, beat)
}

/// Locks a table. A thread that panicked with the lock held has left a table that was
/// changed by whole steps only, so the others go on with it.
fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}
