//! The state of this part, as operators read it.

use {
    crate::{
        entry::Entry,
        pool::Pool,
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

/// All of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DispatchDump {
    /// How capacity is shared.
    pub mode: Mode,
    /// Whether this router is shutting down.
    pub leaving: bool,
    /// Requests queued here.
    pub queued: usize,
    /// Requests running from here.
    pub running: usize,
    /// Each service.
    pub services: Vec<ServiceDump>,
}

/// One service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceDump {
    /// Its name.
    pub service: ServiceId,
    /// The router that lends its slots, where one is known.
    pub owner: Option<RouterId>,
    /// Whether work is known to wait at some router.
    pub pressed: bool,
    /// Workspaces with queued requests here.
    pub queues: Vec<QueueDump>,
    /// Its replicas.
    pub replicas: Vec<ReplicaDump>,
    /// What each router holds of it, where this router owns the pool.
    pub routers: Vec<GranteeDump>,
}

/// A router, as the owner of a pool sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GranteeDump {
    /// Its name.
    pub router: RouterId,
    /// What is believed of it.
    pub state: PeerState,
    /// Slots that it was lent.
    #[serde(rename = "lent")]
    pub granted: Slots,
    /// Slots that it keeps by its last report.
    pub kept: Slots,
    /// Requests that run from it.
    pub running: Slots,
    /// Requests that wait there, rounded.
    pub waiting: usize,
}

/// The queue of one workspace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QueueDump {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Requests that wait.
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
    /// Requests that this router may run on it at once.
    pub allowed: Slots,
    /// Requests that this router runs on it.
    pub running: Slots,
    /// Its learnt limit, where this router owns it.
    pub limit: Option<Slots>,
}

/// A router that holds slots of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PreferredRouter {
    /// The router.
    pub router: RouterId,
    /// How many slots callers may expect there.
    pub slots: Slots,
}

pub(super) fn dump_service(entry: &Entry) -> ServiceDump {
    ServiceDump {
        service: entry.rules.service.clone(),
        owner: entry.hold.owner.as_ref().map(|o| o.0.clone()),
        pressed: entry.hold.pressed,
        queues: entry
            .queues
            .iter()
            .filter(|(_, q)| !q.is_empty())
            .map(|(key, q)| QueueDump {
                workspace: q.workspace.clone(),
                queued: q.len(),
                service: Units(entry.ledger.virtual_time(*key) as f64 / 1000.0),
            })
            .collect(),
        replicas: entry
            .seats
            .all
            .values()
            .map(|s| ReplicaDump {
                replica: s.replica.id.clone(),
                leaving: !s.open(),
                allowed: Slots(s.allowed),
                running: Slots(s.running),
                limit: entry.pool.as_ref().and_then(|p| p.limit(s.key)),
            })
            .collect(),
        routers: entry.pool.as_ref().map(Pool::dump).unwrap_or_default(),
    }
}
