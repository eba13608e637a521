//! Quarantine of requests that crash replicas.
//!
//! A request may crash each replica that starts to run it, along with everything else that runs
//! there. Its caller retries at any router, and each attempt by itself looks like bad luck. So
//! routers report to each other which requests had just started at a replica that ended, and all of
//! them reject a request that was there every time.
//!
//! Other requests are there by chance. The difference is that they end no replica when they are
//! retried: a request that gets an answer anywhere is cleared.

mod digest;
mod record;
mod table;
mod update;

pub use self::{
    digest::RequestDigest,
    table::{
        Quarantine,
        HOLD_DURATION, //
    },
    update::{
        Answered,
        Ended,
        Held,
        QuarantineUpdate, //
    },
};
