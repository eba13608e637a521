//! What is known of an engine and of a prompt when a place is chosen.

use {
    super::{
        Load,
        ReplicaKey, //
    },
    crate::ReplicaId,
};

/// A part of a prompt, which engines cache by its id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// Its id, the same for all requests that share it.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// A prompt and what it will cost.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Prompt {
    /// Its parts in order; the last is the request's own.
    pub parts: Vec<Part>,
    /// Its whole length in tokens.
    pub total: u32,
    /// Tokens that will be generated, as far as it can be guessed.
    pub output: u32,
}

/// An engine that may take the request.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// Its id.
    pub id: ReplicaId,
    /// Its short name.
    pub key: ReplicaKey,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Its memory in tokens.
    pub memory: u64,
    /// Prompt tokens that it reads in a millisecond, as learnt.
    pub speed: f64,
    /// Its work over the fleet.
    pub load: Load,
    /// Added to its fullness, for one that fails often; 0 for a sound one.
    pub penalty: f64,
    /// Whether it can copy cached parts from another engine.
    pub can_copy: bool,
    /// When this router last sent it a request that shares the prompt's last shared part, in
    /// seconds ago.
    pub cached_age_s: Option<f64>,
}

impl Prompt {
    /// Returns the id that requests with the same cached parts have in common.
    ///
    /// The last part belongs to the request alone, so the part before it is taken, and where
    /// there is only one, that one.
    pub fn affinity_key(&self) -> Option<u64> {
        let shared = self.parts.len().saturating_sub(2);
        self.parts.get(shared).map(|p| p.id)
    }

    /// Returns the tokens that others share.
    pub fn shared(&self) -> u32 {
        let own = self.parts.last().map_or(0, |p| p.tokens);
        let all: u32 = self.parts.iter().map(|p| p.tokens).sum();
        all.saturating_sub(own)
    }

    /// Returns what it costs of the capacity that workspaces share: tokens read once, and
    /// generated ones twice, as the configuration counts that capacity.
    pub fn cost(&self) -> f64 {
        f64::from(self.total) + 2.0 * f64::from(self.output)
    }
}
