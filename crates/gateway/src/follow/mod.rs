//! What the gateway follows in the platform's store.

mod config;
mod register;
mod replicas;

pub(crate) use self::{
    config::follow_config,
    register::register,
    replicas::{
        follow_replicas,
        take_from_peer, //
    },
};
