//! The list of replicas, read in turn by the routers.

use {
    crate::{
        model::State,
        state::Shared, //
    },
    async_std::task,
    policy::placement::ReplicaKey,
    std::{
        collections::HashSet,
        sync::{
            atomic::Ordering,
            Arc, //
        },
        time::Duration, //
    },
};

/// The fleet reads the list this often, each router in its turn, and tells the others who
/// left. A leaving replica may get requests for 2 s after its word was taken down.
const FLEET_EVERY: Duration = Duration::from_millis(350);
/// A router reads it at least this often, however many there are.
const LEAST: Duration = Duration::from_secs(10);
/// Pause after a read that failed.
const AGAIN: Duration = Duration::from_millis(150);

/// Reads the list again and again.
pub(crate) async fn follow_replicas(gw: Arc<Shared>) {
    loop {
        let read = (gw.store.replicas)().await;
        gw.note_store("replicas", read.as_ref().err());
        let pause = match read {
            Ok(list) => {
                take(&gw, list);
                let routers = gw.tables().peers.count(gw.now());
                (FLEET_EVERY * routers as u32)
                    .min(LEAST)
                    .mul_f64(0.85 + 0.3 * fastrand::f64())
            }
            Err(_) => {
                let now = gw.now();
                gw.tables().roster.failed(now);
                AGAIN
            }
        };
        task::sleep(pause).await;
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
        .retain(|(key, _), at| known.contains(key) && now.since(*at).as_secs() < 30.0);
    drop(tables);
    for id in &gone {
        gw.pool.forget(id);
        log::info!("event=replica outcome=left replica={id} from=store");
    }
    gw.listed.store(true, Ordering::Relaxed);
}
