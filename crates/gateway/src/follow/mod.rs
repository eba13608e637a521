//! What the gateway follows in the platform's store.

mod config;
mod register;
mod replicas;

pub(crate) use self::{
    config::follow_config,
    register::register,
    replicas::{
        apply_peer_list, //
        follow_replicas,
    },
};
