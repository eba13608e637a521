//! Replicas that are cold: for a while after they start, they stand only a few requests per second.
//!
//! The limit holds for all routers together, also for those that don't hear of each other. So each
//! cold replica is assigned to a few routers, and each of these keeps within a fixed part of the
//! limit without asking. [`Warmup`] knows which replicas are cold, and [`Assignment`] to which
//! routers each of them is assigned.

mod assignment;
mod table;

pub use self::{
    assignment::Assignment,
    table::{
        ColdReplica,
        ColdReport,
        ColdStart,
        Warmup, //
    },
};
