//! The queues of one service at this router, and where their requests start.

mod core;
mod drain;
mod health;
mod live;
mod pick;
mod queue;
mod refuse;
mod sample;
mod seats;
#[cfg(test)]
mod tests;

pub(crate) use self::{
    core::Entry,
    live::{
        Live,
        Run, //
    },
    queue::Queue,
    seats::{
        ReplicaKey,
        Seat,
        Seats, //
    },
};
