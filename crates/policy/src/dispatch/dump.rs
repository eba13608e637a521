//! The state of the dispatcher, as operators see it.

use {
    crate::{
        pool::Pool,
        service::ServiceState,
        Mode,
        PeerState,
        ReplicaId,
        RouterId,
        ServiceId,
        Slots,
        Units,
        WorkspaceId, //
    },
    serde::{
        Deserialize,
        Serialize, //
    },
};

/// State of the dispatcher.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DispatchDump {
    /// How routers share capacity.
    pub mode: Mode,
    /// Whether this router is shutting down.
    pub leaving: bool,
    /// Requests queued here.
    pub queued: usize,
    /// Requests running from here.
    pub running: usize,
    /// The services.
    pub services: Vec<ServiceDump>,
}

/// One service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceDump {
    /// Its name.
    pub service: ServiceId,
    /// The router that grants its slots, if known.
    pub owner: Option<RouterId>,
    /// Whether requests are queued at any router.
    #[serde(rename = "pressed")]
    pub contended: bool,
    /// Workspaces with queued requests here.
    pub queues: Vec<QueueDump>,
    /// Its replicas.
    pub replicas: Vec<ReplicaDump>,
    /// The slots of each router, if this router owns the pool.
    pub routers: Vec<GranteeDump>,
}

/// A router that holds slots, as the owner of the pool sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GranteeDump {
    /// Its name.
    pub router: RouterId,
    /// Its membership state.
    pub state: PeerState,
    /// Slots granted to it.
    #[serde(rename = "lent")]
    pub granted: Slots,
    /// Slots that it keeps, by its last report.
    pub kept: Slots,
    /// Requests that it runs.
    pub running: Slots,
    /// Requests queued there, rounded.
    pub waiting: usize,
}

/// The queue of one workspace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QueueDump {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Requests queued.
    pub queued: usize,
    /// Normalised service received across the fleet, as known here.
    pub service: Units,
}

/// One replica.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReplicaDump {
    /// Its name.
    pub replica: ReplicaId,
    /// Whether it gets no new work.
    pub leaving: bool,
    /// Requests that this router may run on it concurrently.
    pub allowed: Slots,
    /// Requests that this router runs on it.
    pub running: Slots,
    /// Its learnt concurrency limit, if this router owns the pool.
    pub limit: Option<Slots>,
}

/// A router that callers of a service should use.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PreferredRouter {
    /// The router.
    pub router: RouterId,
    /// Number of slots that callers may expect there.
    pub slots: Slots,
}

pub(super) fn dump_service(state: &ServiceState) -> ServiceDump {
    ServiceDump {
        service: state.rules.service.clone(),
        owner: state.pool_client.owner.as_ref().map(|o| o.0.clone()),
        contended: state.pool_client.contended,
        queues: state
            .queues
            .iter()
            .filter(|(_, q)| !q.is_empty())
            .map(|(key, q)| QueueDump {
                workspace: q.workspace.clone(),
                queued: q.len(),
                service: Units(state.ledger.virtual_time(*key) as f64 / 1000.0),
            })
            .collect(),
        replicas: state
            .replica_slots
            .all
            .values()
            .map(|s| ReplicaDump {
                replica: s.replica.id.clone(),
                leaving: !s.accepts_work(),
                allowed: Slots(s.allowed),
                running: Slots(s.running),
                limit: state.pool.as_ref().and_then(|p| p.limit(s.key)),
            })
            .collect(),
        routers: state.pool.as_ref().map(Pool::dump).unwrap_or_default(),
    }
}
