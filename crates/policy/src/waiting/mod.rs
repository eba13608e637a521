//! The admission queue: rejected requests that wait until an engine has room.
//!
//! Short surges ask for more than there is for a few hundred milliseconds, by callers that can wait
//! for a part of their latency target. [`may_wait`] and [`Timing`] decide which requests wait and
//! until when, and [`Queue`] in which order they are tried again.

mod admissions;
mod limit;
mod queue;

pub use self::{
    limit::{
        may_wait,
        Timing, //
    },
    queue::{
        NoPlace,
        Place,
        Priority,
        Queue,
        Rank,
        Round,
        WaiterKey, //
    },
};
