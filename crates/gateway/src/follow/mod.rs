//! Keeps up with the platform's store: configuration, replicas and registered routers.

mod config;
mod registration;
mod replicas;

pub(crate) use self::{
    config::follow_config,
    registration::maintain_registration,
    replicas::{
        apply_peer_list,
        follow_replicas, //
    },
};
