//! Which revision of the configuration is in force here, and where to get a higher one.

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
