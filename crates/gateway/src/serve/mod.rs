//! Callers' requests, from their arrival to their answer.

mod addresses;
mod admit;
mod answer;
mod ask;
mod attempts;
mod choose;
mod connection;
mod course;
mod hedge;
mod place;
mod plain;
mod resume;
mod seek;
mod sending;
mod server;
mod silence;
pub(crate) mod simple;
mod source;
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
