//! The product's own key-value service: its client, the list of instances, and the configuration kept there.
//!
//! [`Kv`] is the client of the key-value service, [`Instances`] polls the list, [`Lease`] is a lease
//! whose holder knows when it ends, and [`store`] stores the operators' configuration.

mod circuit;
mod error;
mod http;
mod instances;
mod kv;
mod lease;
pub mod store;
mod types;

pub use self::{
    error::KvError,
    http::Options,
    instances::{
        Instance,
        Instances,
        Listed,
        Role,
        State, //
    },
    kv::{
        Entry,
        Kv,
        Watched,
        VALUE_MAX, //
    },
    lease::{
        Claim,
        Lease,
        LeaseError, //
    },
    types::{
        KeyRevision,
        LeaseId, //
    },
};
