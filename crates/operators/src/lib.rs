//! The operators' side: configuration documents and their checks, dumps and metrics.

mod defaults;
mod document;
mod fleet;
mod nearest;
mod problem;
mod section;
mod source;
mod values;

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
    problem::{
        render,
        CheckError,
        Problem, //
    },
    section::{
        parse,
        Section, //
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
};
