//! The configuration, as the store has it.

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

/// Where a configuration comes from, in logs.
const FROM: &str = "store";

/// Puts each configuration that the store gets in force, where it is this router's turn to
/// watch; the others get it from their peers.
pub(crate) async fn follow_config(gw: Arc<Shared>) {
    // One that starts asks at once: its peers may not know of it yet, or may have none.
    if read(&gw).await.is_none() {
        pause(&gw).await;
    }
    loop {
        if !is_due(&gw) {
            task::sleep(Watch::POLL_INTERVAL.into()).await;
            continue;
        }
        match read(&gw).await {
            Some(revision) => watch(&gw, revision).await,
            None => pause(&gw).await,
        }
    }
}

/// Draws whether this router is to watch the store now.
fn is_due(gw: &Shared) -> bool {
    let now = gw.now();
    let tables = gw.tables();
    let routers = tables.fleet.eligible_count();
    let patience = tables.fleet.standby_delay();
    if tables.watch.confirmed_within(patience, now) {
        return false;
    }
    !gw.is_leaving() && tables.watch.is_due(fastrand::f64(), routers, now)
}

/// Tells whether this router, which watches, leaves that to another.
fn yields(gw: &Shared) -> bool {
    let now = gw.now();
    let tables = gw.tables();
    // One that stands by hears who else watches only every few seconds.
    let others = tables
        .watch
        .peer_confirmed_within(tables.fleet.standby_delay(), now);
    others || tables.watch.yields(&gw.settings.name, now)
}

/// Waits after a call that failed.
async fn pause(gw: &Shared) {
    let pause = {
        let tables = gw.tables();
        let routers = tables.fleet.count(gw.now());
        tables.watch.pause(fastrand::f64(), routers)
    };
    task::sleep(pause.into()).await;
}

/// Puts a configuration in force, and has all peers told at once of a new one.
fn take(gw: &Shared, document: Vec<u8>) {
    let before = gw.version();
    gw.take_config(document, FROM);
    if gw.version() > before {
        gw.announce_to_all();
    }
}

/// Reads the configuration. Returns the revision to watch from.
async fn read(gw: &Shared) -> Option<Revision> {
    let read = (gw.store.config)().await;
    gw.note_store("config", read.as_ref().err());
    if read == Ok(None) {
        log::debug!("event=config outcome=none from={FROM}");
    }
    let Ok(Some(read)) = read else {
        gw.tables().watch.failed();
        return None;
    };
    gw.tables().watch.confirmed(gw.now());
    take(gw, read.value);
    Some(read.revision)
}

/// Watches from a revision on, until the store fails or another router does it.
async fn watch(gw: &Shared, mut revision: Revision) {
    log::info!("event=watch outcome=begun revision={revision}");
    let cause = loop {
        let watched = (gw.store.watch)(revision, Watch::LONG_POLL_TIMEOUT.into()).await;
        gw.note_store("watch", watched.as_ref().err());
        match watched {
            Ok(watched) => {
                gw.tables().watch.confirmed(gw.now());
                if let Some(value) = watched.value {
                    take(gw, value);
                }
                revision.number = watched.revision.number.max(revision.number);
            }
            // What changed meanwhile is read whole.
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
