//! Where requests go, which are rejected, and which replicas are available.

mod board;
mod cooldown;
mod health;
mod load;
mod pick;
mod plain;
mod quota;
mod roster;
mod speeds;
mod subset;
mod updates;
