//! What must always hold, proved with real processes of routers and stand-ins for the rest.
//!
//! Routers run as processes, so that they can be killed, paused and told to end. The
//! stand-ins run in the test's own process, where their runs can be counted and their
//! faults ordered. docs/PROVED.md lists what each test proves.

mod answers;
mod config;
mod fuzz;
mod leaving;
mod members;
mod once;
mod path;
mod platform;
mod rolling;
mod stage;
