//! Placement: which replica gets a request, or whether it is rejected at once.
//!
//! Each router decides by itself, from its own requests and the latest reports of its peers, so a
//! decision needs no round trip. [`Board`] sums up the load, [`Health`] detects replicas that fail
//! or are silent, [`Cooldowns`] knows those that asked for a pause, [`Speeds`] learns how fast engines
//! read prompts, [`FleetSpeeds`] combines this router's samples with those of its peers, and [`pick`]
//! and [`pick_plain`] choose among a part of the replicas, by their [`Ranking`].

mod board;
mod cooldown;
mod engine;
mod fleet_speed;
mod health;
mod latency;
mod pick;
mod plain;
mod speed;
mod subset;
mod tuning;

pub use self::{
    board::{
        Board,
        Load,
        ReplicaKey,
        ReplicaMap,
        ReplicaSet,
        View, //
    },
    cooldown::{
        retry_after_cooldown,
        Cooldowns, //
    },
    engine::{
        stream_room,
        Candidate,
        Part,
        Prompt, //
    },
    fleet_speed::{
        FleetSpeeds,
        Reading,
        SpeedRange,
        SpeedReport, //
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
    subset::{
        Ranking,
        SubsetSize, //
    },
    tuning::{
        Fullness,
        Tuning, //
    },
};
