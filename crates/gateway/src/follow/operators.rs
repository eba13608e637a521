//! Reads and watches the configuration in the store.

use {
    crate::{
        state::Shared,
        Revision,
        StoreError, //
    },
    async_std::task,
    policy::Watch,
    std::sync::Arc, //
};

/// Source of a configuration, in log lines.
const SOURCE: &str = "store";

/// Puts each new configuration of the store in force while this router watches the store. A few
/// routers watch at a time, and the others fetch the configuration from them.
pub(crate) async fn follow_config(gw: Arc<Shared>) {
    // Read once at startup: peers may not know this router yet, or have no configuration.
    if read(&gw).await.is_none() {
        back_off(&gw).await;
    }
    loop {
        if !is_watch_due(&gw) {
            task::sleep(Watch::POLL_INTERVAL.into()).await;
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

/// Puts a configuration in force, and announces a new one to all peers at once.
fn apply(gw: &Shared, document: Vec<u8>) {
    let before = gw.config_version();
    gw.apply_config(document, SOURCE);
    if gw.config_version() > before {
        gw.announce_to_all();
    }
}

/// Reads the configuration and applies it. Returns the revision to watch from.
async fn read(gw: &Shared) -> Option<Revision> {
    let read = (gw.store.read_config)().await;
    gw.record_store_call("config", read.as_ref().err());
    if read == Ok(None) {
        log::debug!("event=config outcome=none from={SOURCE}");
    }
    let Ok(Some(read)) = read else {
        gw.tables().watch.failed();
        return None;
    };
    gw.tables().watch.confirmed(gw.now());
    apply(gw, read.value);
    Some(read.revision)
}

/// Watches for changes after a revision, until the store fails or another router watches.
async fn watch(gw: &Shared, mut revision: Revision) {
    log::info!("event=watch outcome=begun revision={revision}");
    let cause = loop {
        let watched = (gw.store.watch_config)(revision, Watch::LONG_POLL_TIMEOUT.into()).await;
        gw.record_store_call("watch", watched.as_ref().err());
        match watched {
            Ok(watched) => {
                gw.tables().watch.confirmed(gw.now());
                if let Some(value) = watched.value {
                    apply(gw, value);
                }
                revision.number = watched.revision.number.max(revision.number);
            }
            // The changes since the revision are no longer available, so read the full value.
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
