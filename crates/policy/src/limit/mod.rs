//! How many requests a replica can run at once, learnt from how it answers.
//!
//! An engine admits whatever comes. Up to some number of requests each runs as fast as it
//! does alone; beyond it they only slow each other down. The limit is held a little above
//! that number: the engine is full, and nobody waits inside it who could wait in a queue
//! that knows shares and deadlines.

mod baseline;
mod baselines;
mod ceiling;
mod concurrency;
mod decrease;
mod parameters;
mod window;

pub use self::concurrency::Limit;
