//! Where requests go, who is refused, and which replicas count as there.

mod board;
mod health;
mod load;
mod pick;
mod plain;
mod quota;
mod roster;
