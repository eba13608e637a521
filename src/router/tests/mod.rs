//! Tests of complete routers in this process, with simulated endpoints.

mod ends;
mod fleet;
mod outcomes;
mod test_fleet;
mod tickets;
