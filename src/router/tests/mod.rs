//! Whole routers in this process, with stand-ins as their endpoints.

mod fleet;
mod outcomes;
mod stage;
mod tickets;
