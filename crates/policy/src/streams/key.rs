//! Keys of streams.

use {
    crate::WorkspaceId,
    serde::{
        Deserialize,
        Serialize, //
    },
    std::fmt,
    xxhash_rust::xxh3::Xxh3, //
};

/// Identifies a stream by its workspace and the id of the attempt that brought its first event.
///
/// Callers choose their ids, so two workspaces may use the same one.
///
/// # Examples
///
/// ```
/// use policy::streams::StreamKey;
///
/// let (one, two) = ("w1".parse()?, "w2".parse()?);
/// assert_ne!(StreamKey::of(Some(&one), "a"), StreamKey::of(Some(&two), "a"));
/// # Ok::<(), policy::IdError>(())
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// Returns the key of a stream of a workspace, or of a caller without one.
    pub fn of(workspace: Option<&WorkspaceId>, first_attempt: &str) -> StreamKey {
        let mut hash = Xxh3::new();
        hash.update(workspace.map_or(&[], |w| w.as_str().as_bytes()));
        hash.update(&[0]);
        hash.update(first_attempt.as_bytes());
        StreamKey(hash.digest())
    }
}

impl fmt::Display for StreamKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
