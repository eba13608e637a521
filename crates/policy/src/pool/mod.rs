//! Slots of replicas, lent by an owner to the routers where work waits.

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
    byte_budget::Bucket,
    client::Hold,
    owner::Pool, //
};
use self::{
    estimate::Pace, //
    granted_slots::Cell,
    grantee::Borrower,
    owned_slots::Lot,
    water_fill::{
        fill,
        Row, //
    },
};

/// Limits of replicas, as last heard of.
pub(crate) type Limits = std::collections::BTreeMap<crate::service::ReplicaKey, u32>;
