//! Where a request goes, or whether it is refused at once.
//!
//! Every router decides alone, from its own requests and what its peers last told of theirs,
//! so that a decision costs no round trip. [`Board`] adds these up, [`Health`] tells replicas
//! that fail or are silent, [`Speeds`] learns how fast engines read prompts, and [`pick`]
//! and [`pick_plain`] choose.

mod board;
mod engine;
mod health;
mod latency;
mod pick;
mod plain;
mod speed;
mod tuning;

pub use self::{
    board::{
        Board,
        Load,
        ReplicaKey,
        ReplicaMap,
        View, //
    },
    engine::{
        Candidate,
        Part,
        Prompt, //
    },
    health::Health,
    latency::Latencies,
    pick::{
        pick,
        Bound,
        Choice,
        Pick,
        PlacementRequest, //
    },
    plain::{
        pick_plain,
        PlainCandidate, //
    },
    speed::Speeds,
    tuning::{
        Fullness,
        Tuning, //
    },
};
