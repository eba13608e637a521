//! Fair shares of the fleet's capacity, in tokens, over a sliding window.

mod max_min;
mod table;
mod tally;
mod window;

pub use self::{
    max_min::max_min_share,
    table::{
        Quota,
        UsageCounts,
        UsageStanding,
        WorkspaceKey, //
    },
    tally::{
        Outcomes,
        Tally, //
    },
};
