//! The configuration revision in force, and the sources of a higher one.

mod revision;
mod table;
mod watchers;

pub use self::{
    revision::{
        Decision,
        FetchOutcome,
        Hash,
        Revision,
        Source, //
    },
    table::Head,
    watchers::{
        watchers,
        WATCHER_COUNT, //
    },
};
