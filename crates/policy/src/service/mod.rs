//! The queues of one service at this router, and the placement of their requests.

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
        ReplicaSlots,
        ServiceReplicas, //
    },
    request::{
        ActiveRequest,
        Run, //
    },
    state::ServiceState,
};
