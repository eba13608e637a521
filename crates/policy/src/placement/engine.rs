//! Engines and prompts, as placement sees them.

use {
    super::{
        Load,
        ReplicaKey, //
    },
    crate::{
        ReplicaId,
        SoftwareVersion, //
    },
};

/// A part of a prompt, which engines cache by its id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// Its id, the same in all requests that share the part.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// A prompt and its expected cost.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Prompt {
    /// Its parts in order; the last one belongs to this request alone.
    pub parts: Vec<Part>,
    /// Its total length in tokens.
    pub total: u32,
    /// Estimated number of tokens that will be generated.
    pub output: u32,
}

/// An engine that may take the request.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// Its id.
    pub id: ReplicaId,
    /// Its key in messages between routers.
    pub key: ReplicaKey,
    /// The version of its software, if it reports one.
    pub version: Option<SoftwareVersion>,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Its memory in tokens.
    pub memory: u64,
    /// Prompt tokens that it reads per millisecond, as measured so far.
    pub speed: f64,
    /// Its load over the whole fleet.
    pub load: Load,
    /// Added to its fullness where it fails often; 0 for a healthy engine.
    pub penalty: f64,
    /// Fraction of it that this request leaves to streams that go on; see [`stream_room`].
    pub room: f64,
    /// Whether it can copy cached parts from another engine.
    pub can_copy: bool,
    /// Seconds since this router last sent it a request with the same last shared part.
    pub cached_age_s: Option<f64>,
}

/// Returns the fraction of an engine that new requests leave to streams that go on, where `own`
/// engines are of its version and `largest` of the version that has most.
///
/// A stream may go on only at the version that began it. If a version has few engines left, the
/// streams of one that leaves or fails need the others, and new requests can go to another version.
///
/// # Examples
///
/// ```
/// use policy::placement::stream_room;
///
/// assert_eq!(stream_room(8, 8), 0.0);
/// assert_eq!(stream_room(1, 8), 0.5);
/// ```
pub fn stream_room(own: usize, largest: usize) -> f64 {
    match own < largest {
        true => 1.0 / (own as f64 + 1.0),
        false => 0.0,
    }
}

impl Prompt {
    /// Returns the id by which requests with the same cached parts get the same preferred replicas.
    ///
    /// This is the id of the last shared part, since the last part belongs to the request alone. A
    /// prompt of a single part uses that part.
    pub fn affinity_key(&self) -> Option<u64> {
        let shared = self.parts.len().saturating_sub(2);
        self.parts.get(shared).map(|p| p.id)
    }

    /// Returns the parts that other requests may have too: all but the last.
    ///
    /// # Examples
    ///
    /// ```
    /// use policy::placement::{Part, Prompt};
    ///
    /// let part = |id| Part { id, tokens: 100 };
    /// let prompt = Prompt {
    ///     parts: vec![part(1), part(2), part(3)],
    ///     ..Prompt::default()
    /// };
    /// assert_eq!(prompt.shared_parts(), [part(1), part(2)]);
    /// ```
    pub fn shared_parts(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the number of tokens that other requests share.
    pub fn shared_tokens(&self) -> u32 {
        self.shared_parts().iter().map(|p| p.tokens).sum()
    }

    /// Returns the cost in terms of the capacity that workspaces share. The configuration counts
    /// each token read once and each generated token twice.
    pub fn cost(&self) -> f64 {
        f64::from(self.total) + 2.0 * f64::from(self.output)
    }
}
