//! Reads and watches what operators write to the store: the configuration, and zones to evacuate.

use {
    super::{
        check_interval,
        startup::Startup, //
    },
    crate::{
        state::Shared,
        OperatorData,
        Revision,
        StoreError, //
    },
    async_std::task,
    policy::Watch,
    std::sync::{
        atomic::Ordering,
        Arc, //
    },
};

/// Source of the operators' data, in log lines.
const SOURCE: &str = "store";

/// Puts what operators write in force while this router watches the store. A few routers watch at a
/// time, and the others get it from them.
pub(crate) async fn follow_operators(gw: Arc<Shared>) {
    let startup = Startup::new(&gw);
    // Peers may not know this router yet, or have no configuration.
    while gw.served_config().is_none() {
        let offered = gw.config_offered.load(Ordering::Relaxed);
        match startup.reads_store(&gw, offered) {
            true if read(&gw).await.is_some() => break,
            true => back_off(&gw).await,
            false => task::sleep(Watch::POLL_INTERVAL.into()).await,
        }
    }
    loop {
        if !is_watch_due(&gw) {
            task::sleep(check_interval(&gw, Watch::POLL_INTERVAL)).await;
            continue;
        }
        match read(&gw).await {
            Some(revision) => watch(&gw, revision).await,
            None => back_off(&gw).await,
        }
    }
}

/// Decides at random whether this router is to watch the store now.
fn is_watch_due(gw: &Shared) -> bool {
    let now = gw.now();
    let tables = gw.tables();
    let routers = tables.fleet.eligible_count();
    let delay = tables.fleet.standby_delay();
    if tables.evacuations.needs_reading(now) {
        return !gw.is_leaving();
    }
    if tables.watch.confirmed_within(delay, now) {
        return false;
    }
    !gw.is_leaving() && tables.watch.is_due(fastrand::f64(), routers, now)
}

/// Returns whether this router is to stop watching because another one watches.
fn yields(gw: &Shared) -> bool {
    let now = gw.now();
    let tables = gw.tables();
    // A standby learns only every few seconds which other routers watch.
    let others = tables
        .watch
        .peer_confirmed_within(tables.fleet.standby_delay(), now);
    others || tables.watch.yields(&gw.settings.name, now)
}

/// Waits after a failed call.
async fn back_off(gw: &Shared) {
    let delay = {
        let tables = gw.tables();
        let routers = tables.fleet.count(gw.now());
        tables.watch.pause(fastrand::f64(), routers)
    };
    task::sleep(delay.into()).await;
}

/// Puts a configuration in force, and announces a new one at once.
fn apply_config(gw: &Shared, document: Vec<u8>) {
    let before = gw.config_version();
    gw.apply_config(document, SOURCE);
    if gw.config_version() > before {
        gw.announce_relayed();
    }
}

/// Reads all that operators have written and applies it. Returns the revision to watch from.
async fn read(gw: &Shared) -> Option<Revision> {
    let read = (gw.store.read_operators)().await;
    gw.record_store_call("config", read.as_ref().err());
    let Ok(OperatorData {
        config,
        evacuations,
    }) = read
    else {
        gw.tables().watch.failed();
        return None;
    };
    let revision = evacuations.revision;
    if gw.apply_evacuations(evacuations, SOURCE) {
        gw.announce_relayed();
    }
    let Some(config) = config else {
        log::debug!("event=config outcome=none from={SOURCE}");
        gw.tables().watch.failed();
        return None;
    };
    gw.tables().watch.confirmed(gw.now());
    apply_config(gw, config);
    Some(revision)
}

/// Watches for changes after a revision, until the store fails or another router watches.
async fn watch(gw: &Shared, mut revision: Revision) {
    log::info!("event=watch outcome=begun revision={revision}");
    let cause = loop {
        let watched = (gw.store.watch_operators)(revision, Watch::LONG_POLL_TIMEOUT.into()).await;
        gw.record_store_call("watch", watched.as_ref().err());
        match watched {
            Ok(changes) => {
                gw.tables().watch.confirmed(gw.now());
                revision.number = changes.revision.number.max(revision.number);
                if gw.apply_zone_changes(&changes.zones, revision, SOURCE) {
                    gw.announce_relayed();
                }
                if let Some(config) = changes.config {
                    apply_config(gw, config);
                }
            }
            // The changes since the revision are no longer available, so read everything.
            Err(StoreError::Compacted) => match read(gw).await {
                Some(newest) => revision = newest,
                None => break "the store no longer answers",
            },
            Err(_) => {
                gw.tables().watch.failed();
                break "the store no longer answers";
            }
        }
        if gw.is_leaving() {
            gw.tables().watch.ended();
            break "this instance is shutting down";
        }
        if yields(gw) {
            gw.tables().watch.ended();
            break "another router watches";
        }
    };
    log::info!("event=watch outcome=ended revision={revision} cause={cause:?}");
}
