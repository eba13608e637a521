//! Whole routers in this process, with stand-ins as their endpoints.

mod ends;
mod fleet;
mod outcomes;
mod stage;
mod tickets;
