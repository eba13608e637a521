//! Performance of a replica since the last report to the owner.

use crate::{
    dispatch::ReplicaLoad,
    service::ReplicaKey,
    Completion,
    Span, //
};

/// Observed performance of one replica.
#[derive(Debug, Default)]
pub(crate) struct ReplicaSample {
    first_byte: Mean,
    token_gap: Mean,
    failed: bool,
    seen: bool,
    /// Its last load report: requests that run on it and that wait inside it.
    pub(crate) self_reported: Option<(u32, u32)>,
}

#[derive(Debug, Default)]
struct Mean {
    sum: u64,
    n: u64,
}

impl ReplicaSample {
    /// Records the end of a request.
    pub(crate) fn record_completion(&mut self, f: &Completion) {
        self.seen = true;
        self.failed |= !f.ok;
        if f.ok {
            self.first_byte.push(f.first_byte);
            self.token_gap.push(f.token_gap);
        }
    }

    /// Records tokens that arrived `took` after the previous ones.
    pub(crate) fn record_tokens(&mut self, count: u32, took: Span) {
        self.seen = true;
        self.token_gap.sum += took.0;
        self.token_gap.n += u64::from(count);
    }

    /// Returns the performance to report to the owner, and resets it.
    pub(crate) fn take_load(&mut self, key: ReplicaKey, running: u32) -> Option<ReplicaLoad> {
        let s = std::mem::take(self);
        if !s.seen && s.self_reported.is_none() {
            return None;
        }
        Some(ReplicaLoad {
            key,
            running,
            first_byte: s.first_byte.get(),
            token_gap: s.token_gap.get(),
            ok: !s.failed,
            self_reported: s.self_reported,
        })
    }
}

impl Mean {
    fn push(&mut self, value: Option<Span>) {
        if let Some(v) = value {
            self.sum += v.0;
            self.n += 1;
        }
    }

    fn get(&self) -> Option<Span> {
        (self.n > 0).then(|| Span(self.sum / self.n))
    }
}
