//! Measures a fleet on one machine, whose routers are processes of this binary.

mod control;
mod engines;
mod fleet;
mod latency;
mod load;
mod plan;
mod process;
mod run;
mod setup;
mod show;
mod snapshot;
mod stage;
#[cfg(test)]
mod tests;
mod watch;

pub(crate) use self::run::run;
