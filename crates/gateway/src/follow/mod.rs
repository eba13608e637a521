//! Keeps up with the platform's store: configuration, replicas and registered routers.

mod operators;
mod registration;
mod replicas;
mod startup;

pub(crate) use self::{
    operators::follow_operators,
    registration::maintain_registration,
    replicas::{
        apply_peer_list,
        apply_peer_update,
        follow_replicas,
        forget_replicas, //
    },
};
