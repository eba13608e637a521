//! The head: the key that names the configuration in force.

use {
    super::{
        error::ReadError,
        part::PartHash,
        revision::{
            WriteId, //
        },
        Revision, //
    },
    crate::{
        kv::{
            Entry,
            Kv, //
        },
        types::KeyRevision,
    },
    serde::{
        Deserialize,
        Serialize, //
    },
};

/// Key of the head.
pub(crate) const HEAD_KEY: &str = "config/head";
/// How many older heads keep their parts, for slow readers.
const OLDER_MAX: usize = 4;
/// How many older writes are remembered, for writers whose answer was lost.
const WRITES_MAX: usize = 32;

/// What the head's key holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Head {
    pub(crate) revision: Revision,
    pub(crate) writer: String,
    pub(crate) write: WriteId,
    pub(crate) parts: Vec<PartRef>,
    /// Parts of the last heads, newest first.
    pub(crate) older: Vec<Vec<Blob>>,
    /// The last writes, newest first.
    pub(crate) writes: Vec<WriteId>,
    /// Parts that no head names; the next writer removes them.
    pub(crate) dropped: Vec<Blob>,
}

/// A part by name and place.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PartRef {
    pub(crate) name: String,
    pub(crate) blob: Blob,
}

/// A content as kept: its hash and the revision at which its key was written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Blob {
    pub(crate) hash: PartHash,
    pub(crate) key: KeyRevision,
}

/// A head and the revision of its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Found {
    pub(crate) key: KeyRevision,
    pub(crate) head: Option<Head>,
}

impl Blob {
    /// Returns the key that holds a content.
    pub(crate) fn key_of(hash: PartHash) -> String {
        format!("config/part/{hash}")
    }
}

impl Head {
    /// Returns all contents that this head keeps from being removed.
    pub(crate) fn kept(&self) -> impl Iterator<Item = &Blob> {
        let own = self.parts.iter().map(|p| &p.blob);
        own.chain(self.older.iter().flatten())
    }

    /// Returns whether this head or an earlier one was made by a write.
    pub(crate) fn made_by(&self, write: WriteId) -> bool {
        self.write == write || self.writes.contains(&write)
    }

    /// Returns the value of the head's key.
    pub(crate) fn to_text(&self) -> Result<String, ReadError> {
        serde_json::to_string(self).map_err(|e| ReadError::Head(e.to_string()))
    }

    /// Takes over the history of the previous head, and the parts that no longer belong to it.
    pub(crate) fn follow(&mut self, before: &Head, left: Vec<Blob>) {
        self.writes = vec![before.write];
        self.writes.extend(&before.writes);
        self.writes.truncate(WRITES_MAX);
        self.older = vec![before.parts.iter().map(|p| p.blob).collect()];
        self.older.extend(before.older.iter().cloned());
        let cut = self.older.len().min(OLDER_MAX);
        let fallen = self.older.split_off(cut);
        let mut dropped: Vec<Blob> = fallen.into_iter().flatten().chain(left).collect();
        dropped.retain(|b| self.kept().all(|k| k.hash != b.hash));
        dropped.sort_by_key(|b| (b.hash, b.key));
        dropped.dedup();
        self.dropped = dropped;
    }
}

/// Reads the head.
pub(crate) async fn read_head(kv: &Kv) -> Result<Found, ReadError> {
    match kv.get(HEAD_KEY).await? {
        Some(entry) => parse_head(&entry),
        None => Ok(Found {
            key: KeyRevision::NONE,
            head: None,
        }),
    }
}

/// Decodes a head from the value of its key.
pub(crate) fn parse_head(entry: &Entry) -> Result<Found, ReadError> {
    let head = serde_json::from_str(&entry.value).map_err(|e| ReadError::Head(e.to_string()))?;
    Ok(Found {
        key: entry.revision,
        head: Some(head),
    })
}
