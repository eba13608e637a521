//! The platform's clients against the stand-in.

mod admin;
mod common;
mod instances;
mod kv;
mod lease;
mod odd_answers;
mod race;
mod restore;
mod store;
mod store_fuzz;
mod watch;
