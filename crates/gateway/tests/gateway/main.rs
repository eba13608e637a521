//! A gateway between callers and replicas that misbehave on request, over loopback.

mod answers;
mod caller;
mod drill;
mod fleet;
mod leaving;
mod once;
mod quarantine;
mod replica;
mod requests;
mod resume;
mod stage;
mod standby;
mod streams;
