//! Load reports, polled from the replicas that this router owns.

use {
    super::state::{
        lock,
        Router, //
    },
    async_std::task,
    kvstore::{
        Role,
        State, //
    },
    operators::Kind,
    policy::{
        rendezvous,
        ReplicaId,
        ServiceId, //
    },
    std::{
        net::SocketAddr,
        sync::Arc,
        time::Duration, //
    },
};

/// How often the load of a replica is polled.
const POLL_INTERVAL: Duration = Duration::from_secs(2);
/// How long a replica may take to answer.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Polls the load of the replicas that this router owns.
pub(crate) async fn run(router: Arc<Router>) {
    loop {
        for replica in router.polled_replicas() {
            task::spawn(poll_load(router.clone(), replica));
        }
        task::sleep(POLL_INTERVAL).await;
    }
}

impl Router {
    /// Returns the replicas that this router polls: each is polled by one live router.
    fn polled_replicas(&self) -> Vec<ReplicaId> {
        let view = lock(&self.members).view();
        let listed = lock(&self.listing).listed.clone();
        let fleet = self.fleet();
        // A plain service has no load report, and might run the query as a request.
        let is_model = |s: &ServiceId| {
            fleet
                .service(s.as_str())
                .is_ok_and(|s| s.kind == Kind::Model)
        };
        let endpoints = listed.instances.iter().filter(|i| i.role == Role::Endpoint);
        endpoints
            .filter(|i| i.state == State::Live && i.service.as_ref().is_some_and(is_model))
            .filter_map(|i| i.addr.to_string().parse().ok())
            .filter(|id: &ReplicaId| {
                let candidates = view.iter().filter(|m| m.takes_work());
                let ranked = rendezvous::top(id.as_str(), candidates, 1, |m| m.id.as_str());
                ranked.first().is_some_and(|m| m.id == self.me.router)
            })
            .collect()
    }
}

async fn poll_load(router: Arc<Router>, replica: ReplicaId) {
    let Ok(addr) = replica.as_str().parse::<SocketAddr>() else {
        return;
    };
    match router.endpoints.load(addr, REPORT_TIMEOUT).await {
        Ok(load) if load.leaving => router.report_leaving(&replica),
        Ok(load) => {
            router.dispatch(|d, now| d.record_load(&replica, load.running, load.waiting, now))
        }
        Err(e) => log::debug!("endpoints: no load report of {replica}: {e}"),
    }
}
