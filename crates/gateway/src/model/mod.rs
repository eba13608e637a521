//! What the gateway knows of routes, services, workspaces and replicas, in its own words.

mod config;
mod dialect;
mod replica;
mod store;

pub use self::{
    config::{
        Config,
        Engine,
        Limits,
        Route,
        RouteKind,
        Service, //
    },
    dialect::{
        AddressQuery,
        Dialect, //
    },
    replica::{
        Replica,
        State, //
    },
    store::{
        Lease,
        RegisteredRouter,
        ReplicaList,
        Revision,
        Store,
        StoreError,
        StoreFuture,
        Versioned,
        WatchResult, //
    },
};
