//! The list of replicas, read in turn by the routers.

use {
    crate::{
        model::{
            Replica,
            ReplicaList,
            State, //
        },
        state::Shared, //
    },
    async_std::task,
    policy::{
        placement::ReplicaKey,
        Era,
        Listed,
        ReplicaId,
        Roster,
        Span, //
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

/// How long it is remembered that a prompt's shared part was sent to a replica, in seconds: an
/// engine's memory turns over in less.
const CACHED_S: f64 = 30.0;
/// Pause after a read that failed.
const AGAIN: Duration = Duration::from_millis(150);

/// Reads the list again and again.
pub(crate) async fn follow_replicas(gw: Arc<Shared>) {
    loop {
        if !is_due(&gw) {
            task::sleep(Roster::<()>::POLL_INTERVAL.into()).await;
            continue;
        }
        let read = (gw.store.replicas)().await;
        gw.note_store("replicas", read.as_ref().err());
        match read {
            Ok(list) => take(&gw, list),
            Err(_) => {
                gw.tables().roster.read_failed();
                task::sleep(AGAIN).await;
            }
        }
    }
}

/// Draws whether this router is to read the list of the store now.
fn is_due(gw: &Shared) -> bool {
    let now = gw.now();
    let tables = gw.tables();
    let routers = tables.fleet.eligible_count();
    let since = now - tables.fleet.standby_delay();
    tables.roster.is_due(fastrand::f64(), routers, since)
}

/// Takes a list that the store gave.
fn take(gw: &Shared, list: ReplicaList) {
    let now = gw.now();
    let gone = {
        let roster = &mut gw.tables().roster;
        roster.set_revision(list.revision, now);
        roster.apply_list(entries(list.replicas), now)
    };
    note(gw, &gone, "store");
    // Until the peers hear of it, they draw who reads next: 85 routers, who speak every 0.4 s,
    // read 13 times a second in place of 3.
    gw.announce();
}

/// Takes the list of a peer, as it was `age` ago.
pub(crate) fn take_from_peer(
    gw: &Shared,
    list: Vec<Replica>,
    era: Era,
    age: Span,
    from: SocketAddr,
) {
    let now = gw.now();
    let gone = {
        let roster = &mut gw.tables().roster;
        if !roster.accepts_list_of(era, now) {
            return;
        }
        roster.apply_peer_list(entries(list), age, now)
    };
    note(gw, &gone, &from.to_string());
}

fn entries(list: Vec<Replica>) -> impl Iterator<Item = Listed<Arc<Replica>>> {
    list.into_iter().map(|r| Listed {
        id: r.id.clone(),
        key: r.key(),
        draining: r.state == State::Draining,
        value: Arc::new(r),
    })
}

/// Notes that there is a list, and which replicas no longer take work; forgets what is known of
/// those that are gone.
fn note(gw: &Shared, gone: &[ReplicaId], from: &str) {
    let now = gw.now();
    let mut tables = gw.tables();
    let known: HashSet<ReplicaKey> = tables.roster.known().map(|(_, r)| r.key()).collect();
    tables.speeds.retain(|key| known.contains(&key));
    tables.latencies.retain(|key| known.contains(&key));
    tables.health.retain(|key, _| known.contains(key));
    tables.heard.retain(|key, _| known.contains(key));
    tables
        .cached
        .retain(|(key, _), at| known.contains(key) && now.since(*at).as_secs() < CACHED_S);
    drop(tables);
    for id in gone {
        gw.pool.forget(id);
        log::info!("event=replica outcome=left replica={id} from={from}");
    }
    gw.listed.store(true, Ordering::Relaxed);
}
