//! The gateway's own types for configuration, replicas and the platform's store.

mod config;
mod dialect;
mod notice;
mod replica;
mod store;

pub use self::{
    config::{
        Config,
        Engine,
        EntryKind,
        Limits,
        Route,
        RouteKind,
        Service,
        UnusableEntry,
        WarmupRate, //
    },
    dialect::{
        AddressQuery,
        Dialect, //
    },
    notice::Notice,
    replica::{
        Replica,
        State, //
    },
    store::{
        Lease,
        OperatorChanges,
        OperatorData,
        RegisteredRouter,
        ReplicaChange,
        ReplicaChanges,
        ReplicaList,
        Revision,
        SkippedEntries,
        SkippedEntry,
        Store,
        StoreError,
        StoreFuture, //
    },
};
