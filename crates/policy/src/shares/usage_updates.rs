//! Messages between routers about the service that workspaces received.

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

/// The counts that changed since the revision that the receiver last acknowledged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageUpdates {
    pub(crate) service: u32,
    /// The low bits of the receiver's incarnation key that `seen` refers to.
    pub(crate) to: u32,
    /// The receiver's revision that the sender acknowledges.
    pub(crate) seen: u64,
    /// The sender's revision up to which this message is complete.
    pub(crate) rev: u64,
    /// The highest minimum of virtual times among backlogged workspaces so far.
    pub(crate) floor: i64,
    #[serde(rename = "notes")]
    pub(crate) updates: Vec<UsageUpdate>,
    /// Counts of other routers, for a new receiver.
    pub(crate) others: Vec<(Writer, Vec<Relay>)>,
    /// Catch-up and forgiven service of all workspaces, for a new receiver.
    pub(crate) shifts: Vec<(Key, i64, i64)>,
}

/// Approximate size in bytes of a message, of each count, and of each relayed count.
const WIRE_SIZES: (usize, usize, usize) = (24, 16, 20);

impl UsageUpdates {
    /// Returns the approximate size on the wire, in bytes.
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
    /// Catch-up and forgiven service, if they changed.
    pub(crate) shift: Option<(i64, i64)>,
}

/// Another router's count of one workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Relay {
    pub(crate) key: Key,
    pub(crate) rev: u64,
    pub(crate) charged: i64,
}
