//! How fast a replica answered since the owner was last told.

use crate::{
    dispatch::Load,
    service::ReplicaKey,
    Completion,
    Span, //
};

/// What was seen of one replica.
#[derive(Debug, Default)]
pub(crate) struct Sample {
    first: Mean,
    gap: Mean,
    failed: bool,
    seen: bool,
    /// What the replica last said of itself: requests that run and that wait inside it.
    pub(crate) said: Option<(u32, u32)>,
}

#[derive(Debug, Default)]
struct Mean {
    sum: u64,
    n: u64,
}

impl Sample {
    /// Notes the end of a request.
    pub(crate) fn note(&mut self, f: &Completion) {
        self.seen = true;
        self.failed |= !f.ok;
        if f.ok {
            self.first.push(f.first_byte);
            self.gap.push(f.token_gap);
        }
    }

    /// Notes tokens that came this long after the ones before.
    pub(crate) fn tokens(&mut self, count: u32, took: Span) {
        self.seen = true;
        self.gap.sum += took.0;
        self.gap.n += u64::from(count);
    }

    /// Returns what the owner should be told, and begins anew.
    pub(crate) fn take(&mut self, key: ReplicaKey, running: u32) -> Option<Load> {
        let s = std::mem::take(self);
        if !s.seen && s.said.is_none() {
            return None;
        }
        Some(Load {
            key,
            running,
            first: s.first.get(),
            gap: s.gap.get(),
            ok: !s.failed,
            said: s.said,
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
