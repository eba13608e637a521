//! Slots of replicas, lent by an owner to the routers where work waits.

mod body;
mod borrower;
mod bucket;
mod cell;
mod fill;
mod hold;
mod lot;
mod moves;
mod owner;
mod pace;
mod tell;
mod wants;
mod watch;

use self::{
    borrower::Borrower,
    cell::Cell,
    fill::{
        fill,
        Row, //
    },
    lot::Lot,
    pace::Pace, //
};
pub(crate) use self::{
    bucket::Bucket,
    hold::Hold,
    owner::Pool, //
};

/// Limits of replicas, as last heard of.
pub(crate) type Limits = std::collections::BTreeMap<crate::entry::ReplicaKey, u32>;
