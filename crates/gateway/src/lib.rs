//! Routes opaque requests by host and path to replicas, beside its peers.
//!
//! It decides nothing by itself: where a request goes, who is refused and what is repeated
//! comes from `policy`. How callers, replicas and the platform speak is given from outside
//! as a [`Dialect`] and a [`Store`].

mod clock;
mod fleet;
mod follow;
mod http;
mod leave;
mod logs;
mod model;
mod serve;
mod settings;
mod start;
mod state;
mod upstream;

pub use self::{
    http::{
        exchange,
        Answer,
        ClientRequest,
        ExchangeError,
        Header,
        Headers,
        IdleConnection, //
    },
    logs::start_logs,
    model::{
        AddressQuery,
        Config,
        Dialect,
        Engine,
        Lease,
        Limits,
        Pending,
        Registered,
        Replica,
        ReplicaList,
        Revision,
        Route,
        RouteKind,
        Service,
        State,
        Store,
        StoreError,
        Versioned,
        Watched, //
    },
    settings::{
        Bounds,
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
};
