//! The list of replicas, read in turn by the routers.

use {
    crate::{
        model::State,
        state::Shared, //
    },
    async_std::task,
    policy::{
        placement::ReplicaKey,
        Span, //
    },
    std::{
        collections::HashSet,
        sync::{
            atomic::Ordering,
            Arc, //
        },
        time::Duration, //
    },
};

/// How often it is looked whether it is this router's turn to read the list.
const LOOK: Duration = Duration::from_millis(50);
/// The most that a router waits of its own choice for each router there is, so that not all
/// read at once: 0.3 s at nine.
const SPREAD_MS: u64 = 33;
/// How long it is remembered that a prompt's shared part was sent to a replica, in seconds: an
/// engine's memory turns over in less.
const CACHED_S: f64 = 30.0;
/// Pause after a read that failed.
const AGAIN: Duration = Duration::from_millis(150);

/// Reads the list again and again.
pub(crate) async fn follow_replicas(gw: Arc<Shared>) {
    let mut wait = Span::ZERO;
    loop {
        let now = gw.now();
        if !gw.tables().roster.is_due(wait, now) {
            task::sleep(LOOK).await;
            continue;
        }
        let read = (gw.store.replicas)().await;
        gw.note_store("replicas", read.as_ref().err());
        match read {
            Ok(list) => {
                take(&gw, list);
                let routers = gw.tables().peers.count(gw.now()) as u64;
                wait = Span::millis(fastrand::u64(..SPREAD_MS * routers));
            }
            Err(_) => {
                gw.tables().roster.failed();
                task::sleep(AGAIN).await;
            }
        }
    }
}

fn take(gw: &Shared, list: Vec<crate::Replica>) {
    let now = gw.now();
    let entries = list.into_iter().map(|r| {
        let draining = r.state == State::Draining;
        (r.id.clone(), Arc::new(r), draining)
    });
    let mut tables = gw.tables();
    let gone = tables.roster.listed(entries, now);
    let known: HashSet<ReplicaKey> = tables
        .roster
        .known()
        .map(|(id, _)| ReplicaKey::of(id))
        .collect();
    tables.speeds.keep(|key| known.contains(&key));
    tables.latencies.keep(|key| known.contains(&key));
    tables.health.retain(|key, _| known.contains(key));
    tables.heard.retain(|key, _| known.contains(key));
    tables
        .cached
        .retain(|(key, _), at| known.contains(key) && now.since(*at).as_secs() < CACHED_S);
    drop(tables);
    for id in &gone {
        gw.pool.forget(id);
        log::info!("event=replica outcome=left replica={id} from=store");
    }
    gw.listed.store(true, Ordering::Relaxed);
}
