//! The queues of one service at this router, and where their requests start.

mod admission;
mod drain;
mod health;
mod pick;
mod queue;
mod replicas;
mod request;
mod sample;
mod state;
#[cfg(test)]
mod tests;

pub(crate) use self::{
    queue::Queue,
    replicas::{
        ReplicaKey,
        Seat,
        Seats, //
    },
    request::{
        Live,
        Run, //
    },
    state::Entry,
};
