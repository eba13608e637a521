//! Pools of slots: the owner of a pool grants its slots to the routers where requests are queued.

mod byte_budget;
mod client;
mod estimate;
mod granted_slots;
mod grantee;
mod grants;
mod liveness;
mod owned_slots;
mod owner;
mod rebalance;
mod report_body;
mod targets;
mod water_fill;

pub(crate) use self::{
    byte_budget::ByteBudget,
    client::PoolClient,
    owner::Pool, //
};
use self::{
    estimate::RequestEstimate,
    granted_slots::GrantedSlots,
    grantee::Grantee,
    owned_slots::OwnedSlots,
    water_fill::{
        water_fill,
        Claimant, //
    },
};

/// Concurrency limits of replicas, as last received.
pub(crate) type Limits = std::collections::BTreeMap<crate::service::ReplicaKey, u32>;
