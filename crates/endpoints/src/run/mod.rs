//! A call under way: its tries, what it passes on, and what is known of it.

mod plain;
mod progress;
mod stream;
mod task;

pub(crate) use self::task::Run;
