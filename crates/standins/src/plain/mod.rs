//! A plain service: answers any path, and counts how often each request ran.

mod service;

pub use self::service::{
    answer,
    start,
    Handle,
    Opts, //
};
