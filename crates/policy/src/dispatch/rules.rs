//! What the operators' configuration says about sharing.

use {
    crate::{
        ServiceId,
        Share,
        Slots,
        Units,
        WorkspaceId, //
    },
    serde::{
        Deserialize,
        Serialize, //
    },
    std::sync::Arc,
};

/// How routers share the capacity of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// Owners lend slots where work waits; fair across the fleet.
    #[default]
    Fleet,
    /// A static fraction for each router, fair at each router alone.
    Alone,
    /// A static fraction for each router, first come first served.
    Static,
}

/// What a unit of service is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Unit {
    /// Answered requests, weighted by kind.
    #[default]
    Requests,
    /// Tokens.
    Tokens,
}

/// The rules in force for all services.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// How routers share capacity.
    pub mode: Mode,
    /// The services that exist.
    pub services: Vec<ServiceRules>,
}

/// The rules of one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceRules {
    /// The service.
    pub service: ServiceId,
    /// What is counted as service.
    pub unit: Unit,
    /// Urgency goes before fairness only within this much normalised service.
    pub window: Units,
    /// How far below the least backlogged workspace an idle one may start.
    pub credit: Units,
    /// Most requests queued for one workspace at one router.
    pub queue: usize,
    /// Limit that a new replica starts with.
    pub start: Slots,
    /// Shares of workspaces; one that is not named has share 1. Services may share a list.
    #[serde(default)]
    pub shares: Arc<Vec<WorkspaceShare>>,
}

/// What one workspace has of its own: its share, and how long its queue may be.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceShare {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Its share.
    pub share: Share,
    /// Most requests that it may queue at one router, where that is not as for others.
    #[serde(default)]
    pub queue: Option<usize>,
}
