//! The operators' configuration, stored in the key-value service.
//!
//! A document is split into parts. Each part is written under the hash of its content, then
//! a head that names them all is written by compare-and-swap. Readers see a whole document
//! or none: what a head names was written before it.

#[macro_use]
mod hex;

mod apply;
mod config;
mod error;
mod head;
mod part;
mod read;
mod repair;
mod revision;
mod watch;

pub use self::{
    apply::{
        apply,
        Applied,
        Change, //
    },
    config::Config,
    error::{
        ApplyError,
        ReadError, //
    },
    part::{
        join,
        split,
        Part,
        PartHash,
        PART_MAX, //
    },
    read::read,
    repair::{
        repair,
        Repaired, //
    },
    revision::{
        Base,
        WriteId, //
    },
    watch::{
        Seen,
        Watcher, //
    },
};
pub use policy::head::Revision;
