//! Callers' requests, from their arrival to their answer.

mod addresses;
mod admit;
mod answer;
mod attempts;
mod choose;
mod connection;
mod course;
mod place;
mod plain;
mod server;
mod silence;
pub(crate) mod small;
mod step;
mod stream;
mod trail;

pub(crate) use self::{
    addresses::serve_addresses,
    server::{
        accept,
        serve_metrics,
        serve_ready, //
    },
};
