//! One router: its tables, workers and their wiring.
//!
//! The tables are [`state::Router`]; everything that happens to a router is a step of one of
//! the pure tables of `policy` under its lock, followed by what the step decided. The tasks
//! here only carry bytes to and from these steps.

mod addresses;
mod beat;
mod changes;
mod claims;
mod clock;
mod config;
mod delta;
mod inbox;
mod jobs;
mod list;
mod loads;
mod messages;
mod passing;
mod report;
mod requests;
mod rules;
mod running;
mod shutdown;
mod start;
mod state;
mod tally;
mod times;
mod told;
mod work;

pub(crate) use self::{
    changes::ChangeLog,
    delta::History,
    rules::rules,
    shutdown::receive_signals,
    start::{
        run,
        start,
        RouterHandle, //
    },
    state::Router,
};

#[cfg(test)]
mod tests;
