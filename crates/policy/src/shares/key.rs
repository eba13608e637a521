//! Short keys that replace names in memory and on the wire.

use {
    crate::{
        Incarnation,
        RouterId,
        WorkspaceId, //
    },
    serde::{
        Deserialize,
        Serialize, //
    },
    xxhash_rust::xxh3::{
        xxh3_64,
        xxh3_64_with_seed, //
    },
};

/// A workspace, identified by the hash of its name.
///
/// Routers need not know each other's workspaces by name, and with 64 bits a collision among
/// some thousands is very unlikely.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Key(pub(crate) u64);

/// One incarnation of a router, the only writer of its counters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Writer(pub(crate) u64);

impl Key {
    pub(crate) fn of(w: &WorkspaceId) -> Key {
        Key(xxh3_64(w.as_str().as_bytes()))
    }
}

impl Writer {
    pub(crate) fn of(id: &RouterId, inc: Incarnation) -> Writer {
        Writer(xxh3_64_with_seed(id.as_str().as_bytes(), inc.0))
    }
}
