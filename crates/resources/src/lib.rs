//! Limits on the memory and the connections that a process's clients take.
//!
//! A [`Limiter`] counts what all connections of a process hold. Each connection has an [`Account`],
//! which says what it does: only connections without a request in service are evicted. When memory
//! runs out, those yield that hold much and have sent little of late; when a listener's connections
//! run out, those that have sent nothing for longest.
//!
//! Bodies are kept in [`Segments`] of one size, which are used again, so that the memory of the
//! process follows what is held: after blocks of many sizes were freed, the allocator would keep a
//! part of them.

mod account;
mod activity;
mod bytes;
mod charge;
mod eviction;
mod eviction_log;
mod limiter;
mod listen;
mod segments;
mod state;

pub use self::{
    account::{
        Account,
        Evicted,
        Phase, //
    },
    bytes::{
        unread_per_connection,
        Bytes,
        BytesError, //
    },
    charge::Charge,
    eviction_log::EvictionLog,
    limiter::{
        Limiter,
        ListenerId,
        MemoryLimits,
        UsageStats, //
    },
    listen::listen,
    segments::{
        Segments,
        SEGMENT_SIZE, //
    },
};
