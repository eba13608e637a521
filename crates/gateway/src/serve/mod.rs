//! Serves callers: their requests, from arrival to answer, and the instance's own endpoints.

mod addresses;
mod admit;
mod attempt;
mod bind;
mod choose;
mod connection;
mod dispatch;
mod evictions;
mod hedge;
mod local_answer;
mod next_replica;
mod notice;
mod outcome;
mod permit;
mod plain;
mod progress;
mod reading;
mod request_log;
mod resume;
mod retry;
mod server;
mod silence;
pub(crate) mod simple;
mod stream;
mod stream_source;

pub(crate) use self::{
    addresses::serve_addresses,
    evictions::report_evictions,
    request_log::log_held,
    server::{
        accept,
        serve_metrics,
        serve_ready, //
    },
};
