//! Streams that go on while replicas of several software versions serve.

mod history;
mod holders;
mod lookup;
mod table;
