//! What operators use: configuration documents and their checks, views, dumps and metrics.

mod defaults;
mod document;
mod fleet;
mod loader;
mod metrics;
mod nearest;
mod problem;
mod query;
mod section;
mod server;
mod source;
mod syntax;
mod values;
mod views;

pub use self::{
    defaults::FLEET,
    document::{
        Document,
        Kind,
        Mode,
        Policy,
        Profile,
        Service,
        Unit,
        Workspace, //
    },
    fleet::{
        Fleet,
        UnknownName, //
    },
    loader::Loader,
    metrics::{
        metrics_text,
        start_metrics, //
    },
    problem::{
        render,
        CheckError,
        Problem, //
    },
    query::{
        post,
        query,
        read_view,
        QueryError, //
    },
    section::{
        parse,
        Section, //
    },
    server::{
        serve,
        Views, //
    },
    source::{
        FileError,
        Source,
        MAX_FILE_BYTES, //
    },
    values::{
        choice,
        flag,
        integer,
        number,
        span,
        text, //
    },
    views::{
        InForce,
        Member,
        MemberState,
        ProfileView,
        Profiles,
        ServiceStatus,
        State,
        Status,
        WorkspaceStatus, //
    },
};
