//! Reads the list of replicas from the store. The routers take turns.

use {
    crate::{
        model::{
            Replica,
            ReplicaList,
            State, //
        },
        state::{
            Shared,
            Tables, //
        },
    },
    async_std::task,
    policy::{
        placement::ReplicaKey,
        streams::ListedVersion,
        Era,
        Listed,
        ReplicaId,
        Roster,
        Span,
        Time, //
    },
    std::{
        collections::HashSet,
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

/// Reads the list whenever it is this router's turn.
pub(crate) async fn follow_replicas(gw: Arc<Shared>) {
    loop {
        if !is_read_due(&gw) {
            task::sleep(Roster::<()>::POLL_INTERVAL.into()).await;
            continue;
        }
        let read = (gw.store.list_replicas)().await;
        gw.record_store_call("replicas", read.as_ref().err());
        match read {
            Ok(list) => {
                apply_store_list(&gw, list);
                gw.tell_untold_streams().await;
            }
            Err(_) => {
                gw.tables().roster.read_failed();
                task::sleep(READ_RETRY_DELAY).await;
            }
        }
    }
}

/// Decides at random whether this router is to read the list from the store now.
fn is_read_due(gw: &Shared) -> bool {
    let now = gw.now();
    let tables = gw.tables();
    let routers = tables.fleet.eligible_count();
    let since = now - tables.fleet.standby_delay();
    tables.roster.is_due(fastrand::f64(), routers, since)
}

/// Applies a list that was read from the store.
fn apply_store_list(gw: &Shared, list: ReplicaList) {
    let now = gw.now();
    observe_cold(gw, &list.replicas, now);
    let departed = {
        let roster = &mut gw.tables().roster;
        roster.set_revision(list.revision, now);
        roster.apply_list(listed_replicas(list.replicas), now)
    };
    finish_update(gw, &departed, "store");
    // Announce it at once. Until the peers know of this read, each may decide to read too: 85
    // routers with a gossip interval of 0.4 s read 13 times a second in place of 3.
    gw.announce();
}

/// Applies the list of a peer, which was read from the store `age` ago.
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
        roster.apply_peer_list(listed_replicas(list), age, now)
    };
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

fn listed_replicas(list: Vec<Replica>) -> impl Iterator<Item = Listed<Arc<Replica>>> {
    list.into_iter().map(|r| Listed {
        id: r.id.clone(),
        key: r.key(),
        draining: r.state == State::Draining,
        value: Arc::new(r),
    })
}

impl Tables {
    /// Records the software versions of the known replicas.
    fn observe_versions(&mut self, now: Time) {
        let listed = self
            .roster
            .all()
            .map(|(_, replica, draining)| ListedVersion {
                key: replica.key(),
                origin: replica.origin(),
                draining,
            });
        self.versions.observe(listed, now);
    }
}

/// Finishes an update of the roster: drops all data on replicas that departed, logs them, and marks
/// the list as present.
fn finish_update(gw: &Shared, departed: &[ReplicaId], from: &str) {
    let now = gw.now();
    let mut tables = gw.tables();
    tables.observe_versions(now);
    let known: HashSet<ReplicaKey> = tables.roster.known().map(|(_, r)| r.key()).collect();
    tables.speeds.retain(|key| known.contains(&key));
    tables.fleet_speeds.retain(|key| known.contains(&key));
    tables.latencies.retain(|key| known.contains(&key));
    tables.health.retain(|key, _| known.contains(key));
    tables.cooldowns.forget(now);
    tables.last_received.retain(|key, _| known.contains(key));
    tables.warmup.retain(|key| known.contains(&key), now);
    tables
        .cached_prefixes
        .retain(|(key, _), at| known.contains(key) && now.since(*at).as_secs() < CACHE_RETENTION_S);
    drop(tables);
    for id in departed {
        gw.pool.forget(id);
        log::info!("event=replica outcome=left replica={id} from={from}");
    }
    gw.replicas_listed.store(true, Ordering::Relaxed);
}
