//! The admission queue.

mod load;
mod queue;
