//! Load reports of the replicas that this router owns.

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

/// How often a replica is asked for its load.
const POLL: Duration = Duration::from_secs(2);
/// How long it may take to answer.
const WITHIN: Duration = Duration::from_secs(1);

/// Asks the replicas that this router owns for their load.
pub(crate) async fn run(router: Arc<Router>) {
    loop {
        for replica in router.asked() {
            task::spawn(ask(router.clone(), replica));
        }
        task::sleep(POLL).await;
    }
}

impl Router {
    /// Returns the replicas that this router asks: each is asked by one live router.
    fn asked(&self) -> Vec<ReplicaId> {
        let view = lock(&self.members).view();
        let listed = lock(&self.listing).listed.clone();
        let fleet = self.fleet();
        // A plain service has no load report, and might take the question for a request.
        let model = |s: &ServiceId| {
            fleet
                .service(s.as_str())
                .is_ok_and(|s| s.kind == Kind::Model)
        };
        let endpoints = listed.instances.iter().filter(|i| i.role == Role::Endpoint);
        endpoints
            .filter(|i| i.state == State::Live && i.service.as_ref().is_some_and(model))
            .filter_map(|i| i.addr.to_string().parse().ok())
            .filter(|id: &ReplicaId| {
                let able = view.iter().filter(|m| m.takes_work());
                let first = rendezvous::top(id.as_str(), able, 1, |m| m.id.as_str());
                first.first().is_some_and(|m| m.id == self.me.router)
            })
            .collect()
    }
}

async fn ask(router: Arc<Router>, replica: ReplicaId) {
    let Ok(addr) = replica.as_str().parse::<SocketAddr>() else {
        return;
    };
    match router.endpoints.load(addr, WITHIN).await {
        Ok(load) if load.leaving => router.noticed_leaving(&replica),
        Ok(load) => {
            router.dispatch(|d, now| d.record_load(&replica, load.running, load.waiting, now))
        }
        Err(e) => log::debug!("endpoints: no load report of {replica}: {e}"),
    }
}
