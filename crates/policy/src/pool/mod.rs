//! Slots of replicas, lent by an owner to the routers where work waits.

mod borrower;
mod fill;
mod hold;
mod owner;

pub(crate) use self::{
    fill::{
        fill,
        Row, //
    },
    hold::Hold,
    owner::{
        Pace,
        Pool, //
    },
};
