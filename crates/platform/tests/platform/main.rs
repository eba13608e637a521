//! The platform's clients against the stand-in.

mod common;
mod instances;
mod kv;
mod store;
