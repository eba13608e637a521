//! The operators' side: configuration documents and their checks, dumps and metrics.

mod ask;
mod defaults;
mod document;
mod fleet;
mod loader;
mod metrics;
mod nearest;
mod problem;
mod section;
mod server;
mod source;
mod syntax;
mod values;
mod views;

pub use self::{
    ask::{
        ask,
        post,
        read_view,
        AskError, //
    },
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
        FILE_MAX, //
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
