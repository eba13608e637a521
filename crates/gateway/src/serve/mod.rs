//! Callers' requests, from their arrival to their answer.

mod addresses;
mod admit;
mod answer;
mod attempts;
mod connection;
mod course;
mod place;
mod server;
pub(crate) mod small;
mod stream;

pub(crate) use self::{
    addresses::serve_addresses,
    server::{
        accept,
        serve_metrics,
        serve_ready, //
    },
};
