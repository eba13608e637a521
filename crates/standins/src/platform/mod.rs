//! The platform: a key-value service and a lagging list of instances, with faults on request.
//!
//! Paths for clients: `/v1/kv/KEY`, `/v1/lease`, `/v1/instances`. Paths for tests and demo:
//! `/admin/...`, on an address of their own, so that they answer while the platform is down.

mod app;
mod counts;
mod faults;
mod handle;
mod instances;
mod kv;
mod server;
mod state;

pub use self::{
    counts::CallCount,
    faults::Down,
    handle::{
        start,
        Handle,
        Options, //
    },
    instances::{
        Instance,
        Role,
        State, //
    },
};
