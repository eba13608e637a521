//! Which revision of the configuration is in force here, and where to get a higher one.

mod revision;
mod table;
mod watchers;

pub use self::{
    revision::{
        Decision,
        Hash,
        Revision,
        Source,
        Taken, //
    },
    table::Head,
    watchers::{
        watchers,
        WATCHERS, //
    },
};
