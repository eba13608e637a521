//! Runs a call: its attempts, the forwarded answer, and its progress.

mod call_task;
mod forward_plain;
mod forward_stream;
mod progress;

pub(crate) use self::call_task::CallTask;
