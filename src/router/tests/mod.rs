//! Whole routers in this process, with stand-ins as their endpoints.

mod outcomes;
mod stage;
mod tickets;
