//! What routers tell each other about service received.

use {
    super::{
        Key,
        Writer, //
    },
    serde::{
        Deserialize,
        Serialize, //
    },
};

/// Counts that changed since the receiver last said what it has seen.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageUpdates {
    pub(crate) service: u32,
    /// The receiver's start that `seen` is about.
    pub(crate) to: u32,
    /// Revision of the receiver up to which all was seen.
    pub(crate) seen: u64,
    /// Revision of the sender up to which this tells all.
    pub(crate) rev: u64,
    /// Level of the least backlogged workspace when there last was any.
    pub(crate) floor: i64,
    #[serde(rename = "notes")]
    pub(crate) updates: Vec<UsageUpdate>,
    /// Counts of other routers, for a receiver that is new.
    pub(crate) others: Vec<(Writer, Vec<Relay>)>,
    /// What all routers lifted and forgave, for a receiver that is new.
    pub(crate) shifts: Vec<(Key, i64, i64)>,
}

/// Rough bytes of a message, of each count in it, and of each that is relayed.
const WIRE_SIZES: (usize, usize, usize) = (24, 16, 20);

impl UsageUpdates {
    /// Returns roughly how many bytes it takes on the wire.
    pub(crate) fn size(&self) -> usize {
        let relays: usize = self.others.iter().map(|o| o.1.len()).sum();
        WIRE_SIZES.0
            + WIRE_SIZES.1 * self.updates.len()
            + WIRE_SIZES.2 * (relays + self.shifts.len())
    }
}

/// The sender's count of one workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct UsageUpdate {
    pub(crate) key: Key,
    pub(crate) charged: i64,
    #[serde(rename = "waits")]
    pub(crate) backlogged: bool,
    /// What was lifted and forgiven, if that changed.
    pub(crate) shift: Option<(i64, i64)>,
}

/// Another router's count of one workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Relay {
    pub(crate) key: Key,
    pub(crate) rev: u64,
    pub(crate) charged: i64,
}
