//! One router: its state, its background tasks and how they are connected.
//!
//! The state is [`state::Router`]. Every event is a step of one of the pure state machines of
//! `policy`, taken under its lock, followed by the actions that the step decided on. The tasks
//! here only do the I/O for these steps.

mod addresses;
mod admitted;
mod changes;
mod claims;
mod clock;
mod completion;
mod config;
mod counters;
mod delta;
mod heartbeats;
mod inbox;
mod jobs;
mod list;
mod loads;
mod messages;
mod progress;
mod report;
mod requests;
mod rules;
mod run_times;
mod shutdown;
mod start;
mod state;
mod streaming;

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
