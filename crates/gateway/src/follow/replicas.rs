//! Reads the list of replicas from the store. The routers take turns.

use {
    super::{
        check_interval,
        startup::Startup, //
    },
    crate::{
        model::{
            Replica,
            ReplicaChange,
            ReplicaChanges,
            ReplicaList,
            State,
            StoreError, //
        },
        state::Shared, //
    },
    async_std::task,
    policy::{
        EntryChange,
        Era,
        Listed,
        ReplicaId,
        Roster,
        Span,
        Time,
        Update, //
    },
    std::{
        net::SocketAddr,
        sync::{
            atomic::Ordering,
            Arc, //
        },
        time::Duration, //
    },
};

/// How long a replica is assumed to have the shared part of a prompt cached after it was sent
/// there. An engine's memory turns over in less.
const CACHE_RETENTION_S: f64 = 30.0;
const READ_RETRY_DELAY: Duration = Duration::from_millis(150);
/// The longest delay after lists that can't be read, which doubles each time. All routers read the
/// list when they start together.
const READ_RETRY_DELAY_MAX: Duration = Duration::from_millis(2_400);

/// Reads the list whenever it is this router's turn.
pub(crate) async fn follow_replicas(gw: Arc<Shared>) {
    let startup = Startup::new(&gw);
    let mut delay = READ_RETRY_DELAY;
    loop {
        if !is_read_due(&gw, &startup) {
            task::sleep(check_interval(&gw, Roster::<()>::POLL_INTERVAL)).await;
            continue;
        }
        match read(&gw).await {
            Ok(()) => {
                delay = READ_RETRY_DELAY;
                gw.tell_untold_streams().await;
            }
            Err(e) => {
                gw.tables().roster.read_failed();
                task::sleep(delay).await;
                delay = match e.is_lasting() {
                    true => (delay * 2).min(READ_RETRY_DELAY_MAX),
                    false => READ_RETRY_DELAY,
                };
            }
        }
    }
}

/// Decides whether this router is to read the list from the store now.
fn is_read_due(gw: &Shared, startup: &Startup) -> bool {
    if !gw.tables().roster.has_list() {
        return startup.reads_store(gw, gw.list_offered.load(Ordering::Relaxed));
    }
    let now = gw.now();
    let tables = gw.tables();
    let routers = tables.fleet.eligible_count();
    let since = now - tables.fleet.standby_delay();
    tables.roster.is_due(fastrand::f64(), routers, since)
}

/// Reads what changed since the revision of this router's list, or the whole list if that isn't
/// known, and applies it.
async fn read(gw: &Shared) -> Result<(), StoreError> {
    let revision = gw.tables().roster.revision();
    if let Some(revision) = revision {
        match (gw.store.replica_changes)(revision).await {
            // The changes since the revision are no longer available, so read everything.
            Err(StoreError::Compacted) => gw.record_store_call("replica-changes", None),
            read => {
                gw.record_store_call("replica-changes", read.as_ref().err());
                apply_store_changes(gw, read?);
                return Ok(());
            }
        }
    }
    let read = (gw.store.list_replicas)().await;
    gw.record_store_call("replicas", read.as_ref().err());
    apply_store_list(gw, read?);
    Ok(())
}

/// Applies a list that was read from the store.
fn apply_store_list(gw: &Shared, list: ReplicaList) {
    let now = gw.now();
    observe_cold(gw, &list.replicas, now);
    let departed = {
        let mut tables = gw.tables();
        tables.skipped = list.skipped;
        let roster = &mut tables.roster;
        roster.set_revision(list.revision, now);
        roster.apply_list(list.replicas.into_iter().map(listed), now)
    };
    log::info!(
        "event=replicas outcome=read-whole revision={}",
        list.revision
    );
    finish_store_read(gw, &departed);
}

/// Applies changes that were read from the store.
fn apply_store_changes(gw: &Shared, read: ReplicaChanges) {
    let now = gw.now();
    for change in &read.changes {
        if let ReplicaChange::Listed(replica) = change {
            observe_cold(gw, std::slice::from_ref(replica), now);
        }
    }
    let changes = read.changes.into_iter().map(|change| match change {
        ReplicaChange::Listed(replica) => EntryChange::Listed(listed(replica)),
        ReplicaChange::Gone(id) => EntryChange::Gone(id),
    });
    let departed = {
        let mut tables = gw.tables();
        tables.skipped = read.skipped;
        tables.roster.apply_changes(changes, read.revision, now)
    };
    finish_store_read(gw, &departed);
}

fn finish_store_read(gw: &Shared, departed: &[ReplicaId]) {
    finish_update(gw, departed, "store");
    // Announce it at once. Until the peers know of this read, each may decide to read too: 85
    // routers with a gossip interval of 0.4 s read 13 times a second in place of 3.
    gw.announce();
}

/// Applies the list of a peer that reports no revisions, which was read from the store `age` ago.
pub(crate) async fn apply_peer_list(
    gw: &Shared,
    mut list: Vec<Replica>,
    era: Era,
    age: Span,
    from: SocketAddr,
) {
    let now = gw.now();
    let departed = {
        let mut tables = gw.tables();
        let roster = &mut tables.roster;
        if !roster.accepts_list_of(era, now) {
            return;
        }
        add_known_versions(roster, &mut list);
        drop(tables);
        observe_cold(gw, &list, now - age);
        let roster = &mut gw.tables().roster;
        roster.apply_peer_list(list.into_iter().map(listed), age, now)
    };
    finish_update(gw, &departed, &from.to_string());
    gw.tell_untold_streams().await;
}

/// Applies what a peer sent of its list.
pub(crate) async fn apply_peer_update(
    gw: &Shared,
    update: Update<Arc<Replica>>,
    era: Era,
    from: SocketAddr,
) {
    let now = gw.now();
    if !gw.tables().roster.accepts_list_of(era, now) {
        return;
    }
    for change in &update.changes {
        if let EntryChange::Listed(l) | EntryChange::Kept(l, _) = change {
            observe_cold(gw, std::slice::from_ref(&*l.value), now - update.age);
        }
    }
    let (complete, count) = (update.complete, update.changes.len());
    let departed = gw.tables().roster.apply_update(update, now);
    log::debug!("event=replicas outcome=updated from={from} complete={complete} entries={count}");
    finish_update(gw, &departed, &from.to_string());
    gw.tell_untold_streams().await;
}

/// Adds the versions that are known to the list of a router whose build doesn't read them.
fn add_known_versions(roster: &Roster<Arc<Replica>>, list: &mut [Replica]) {
    for replica in list.iter_mut().filter(|r| r.version.is_none()) {
        let known = roster.get(&replica.id).filter(|k| k.key() == replica.key());
        replica.version = known.and_then(|k| k.version.clone());
    }
}

/// Records which replicas of a list are cold. One that was not listed before has just started,
/// unless this is the first list.
fn observe_cold(gw: &Shared, list: &[Replica], made: Time) {
    let current = gw.current_config();
    let now = gw.now();
    let first = !gw.replicas_listed.load(Ordering::Relaxed);
    let mut tables = gw.tables();
    for replica in list {
        let known = tables.warmup.listed(replica.key(), replica.cold, made);
        let current = current.as_ref().filter(|_| !known && !first);
        let start = current.and_then(|c| gw.cold_start(&c.config, &replica.service));
        if let Some(start) = start {
            tables.warmup.started(replica.key(), start, now);
            log::info!("event=replica outcome=cold replica={}", replica.id);
        }
    }
}

/// Returns a replica as an entry of the roster. How cold it was when the list was made is left out,
/// as it changes without any change of the replica.
fn listed(replica: Replica) -> Listed<Arc<Replica>> {
    Listed {
        id: replica.id.clone(),
        key: replica.key(),
        draining: replica.state == State::Draining,
        value: Arc::new(Replica {
            cold: None,
            ..replica
        }),
    }
}

/// Finishes an update of the roster: updates all that is kept by replica, logs the replicas that
/// departed, and marks the list as present.
fn finish_update(gw: &Shared, departed: &[ReplicaId], from: &str) {
    gw.tables().apply_roster_changes(gw.now());
    for id in departed {
        gw.pool.forget(id);
        log::info!("event=replica outcome=left replica={id} from={from}");
    }
    gw.replicas_listed.store(true, Ordering::Relaxed);
}

/// Drops what has expired of the data on replicas.
pub(crate) fn forget_replicas(gw: &Shared) {
    let now = gw.now();
    let departed = {
        let mut tables = gw.tables();
        tables.cooldowns.forget(now);
        tables.warmup.forget(now);
        let is_recent = |at: &Time| now.since(*at).as_secs() < CACHE_RETENTION_S;
        tables.cached_prefixes.retain(|_, at| is_recent(at));
        let departed = tables.roster.remove_lapsed(now);
        tables.apply_roster_changes(now);
        departed
    };
    for id in departed {
        gw.pool.forget(&id);
        log::info!("event=replica outcome=left replica={id} from=outage");
    }
}
