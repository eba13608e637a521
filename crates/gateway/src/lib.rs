//! A router of a fleet, which forwards opaque requests by host and path to replicas.
//!
//! Decisions come from `policy`: where a request goes, whose requests are rejected and what is
//! retried. The headers and formats of callers, replicas and the platform are supplied from
//! outside, as a [`Dialect`] and a [`Store`].

mod clock;
mod fleet;
mod follow;
mod http;
mod index;
mod logs;
mod model;
mod serve;
mod settings;
mod shutdown;
mod start;
mod state;
mod streams;
mod supervise;
mod upstream;

pub use self::{
    http::{
        exchange,
        Answer,
        ClientRequest,
        ExchangeError,
        Header,
        HeaderText,
        HeaderTextError,
        Headers,
        IdleConnection, //
    },
    logs::start_logs,
    model::{
        AddressQuery,
        Config,
        Dialect,
        Engine,
        EntryKind,
        Lease,
        Limits,
        Notice,
        OperatorChanges,
        OperatorData,
        RegisteredRouter,
        Replica,
        ReplicaChange,
        ReplicaChanges,
        ReplicaList,
        Revision,
        Route,
        RouteKind,
        Service,
        SkippedEntries,
        SkippedEntry,
        State,
        Store,
        StoreError,
        StoreFuture,
        UnusableEntry,
        WarmupRate, //
    },
    settings::{
        Bounds,
        Clients,
        Fleet,
        Instance,
        Listen,
        Settings,
        SettingsError,
        StoreSettings, //
    },
    start::{
        run,
        start,
        Gateway, //
    },
    supervise::supervise,
};
