//! Sharing rules from the operators' configuration.

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
    /// Owners grant slots where requests are queued; fair across the fleet.
    #[default]
    Fleet,
    /// A static share for each router; fair only within each router.
    Alone,
    /// A static share for each router; first come, first served.
    Static,
}

/// What a unit of service counts.
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
    /// Urgency takes precedence over fairness within this difference of normalised service.
    pub window: Units,
    /// How far below the least backlogged workspace an idle one may resume.
    pub credit: Units,
    /// Maximum number of requests queued for one workspace at one router.
    pub queue: usize,
    /// Initial concurrency limit of a new replica.
    pub start: Slots,
    /// Shares of workspaces; an unlisted workspace has share 1. Services may share a list.
    #[serde(default)]
    pub shares: Arc<Vec<WorkspaceShare>>,
}

/// The settings of one workspace: its share and the limit of its queue.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceShare {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Its share.
    pub share: Share,
    /// Maximum number of its requests queued at one router, if it differs from the service's.
    #[serde(default)]
    pub queue: Option<usize>,
}
