//! Fair shares of the fleet's capacity, in tokens, over a sliding window.

mod level;
mod table;
mod tally;
mod window;

pub use self::{
    level::max_min_share,
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
