//! The queues of one service at this router, and where their requests start.

mod core;
mod drain;
mod live;
mod queue;
mod seats;

pub(crate) use self::{
    core::Entry,
    live::{
        Live,
        Run, //
    },
    queue::Queue,
    seats::{
        ReplicaKey,
        Seats, //
    },
};
