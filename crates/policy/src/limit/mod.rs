//! Concurrency limit of a replica, learnt from its latency.
//!
//! An engine admits every request. Up to some number of requests each runs as fast as alone;
//! beyond it they only slow each other down. The limit is kept slightly above that number, so
//! that the engine is saturated while requests wait in the routers' queues, which know shares
//! and deadlines, and not inside the engine.

mod baseline;
mod baselines;
mod ceiling;
mod concurrency;
mod decrease;
mod parameters;
mod window;

pub use self::concurrency::ConcurrencyLimit;
