//! Incarnations of replicas that are certain to be leaving.

use {
    super::DEPARTURE_SPAN,
    crate::{
        placement::ReplicaKey,
        Span,
        Time, //
    },
    std::collections::BTreeMap, //
};

/// How long an incarnation is remembered after it was last listed. Its entry may lapse while the
/// store is down, and be back afterwards.
const RETENTION: Span = Span::secs(600);

/// The incarnations that are leaving, which none of them ever reverts.
#[derive(Debug, Clone, Default)]
pub(super) struct LeavingReplicas {
    marks: BTreeMap<ReplicaKey, Mark>,
}

#[derive(Debug, Clone, Copy)]
struct Mark {
    /// When this router learned of its own announcement, if it did.
    announced: Option<Time>,
    /// When it was last listed, or marked.
    listed: Time,
}

impl LeavingReplicas {
    /// Marks an incarnation that is listed as leaving.
    pub(super) fn mark_listed(&mut self, key: ReplicaKey, now: Time) {
        let mark = Mark {
            announced: None,
            listed: now,
        };
        self.marks.entry(key).or_insert(mark);
    }

    /// Marks an incarnation that announced it is leaving. Returns whether that is new.
    pub(super) fn mark_announced(&mut self, key: ReplicaKey, now: Time) -> bool {
        let mark = self.marks.entry(key).or_insert(Mark {
            announced: None,
            listed: now,
        });
        let new = mark.announced.is_none();
        mark.announced.get_or_insert(now);
        new
    }

    /// Returns whether an incarnation is leaving.
    pub(super) fn contains(&self, key: ReplicaKey) -> bool {
        self.marks.contains_key(&key)
    }

    /// Returns all incarnations that are leaving.
    pub(super) fn keys(&self) -> impl Iterator<Item = &ReplicaKey> {
        self.marks.keys()
    }

    /// Records which incarnations are listed, and forgets those that have not been for long.
    pub(super) fn observe_listed(&mut self, listed: impl Iterator<Item = ReplicaKey>, now: Time) {
        for key in listed {
            if let Some(mark) = self.marks.get_mut(&key) {
                mark.listed = now;
            }
        }
        self.marks
            .retain(|_, mark| now.since(mark.listed) < RETENTION);
    }

    /// Returns the incarnations whose announcement this router learned of recently.
    pub(super) fn announced(&self, now: Time) -> impl Iterator<Item = ReplicaKey> + '_ {
        let recent = move |at: Time| now.since(at) < DEPARTURE_SPAN;
        let marks = self.marks.iter();
        marks
            .filter(move |(_, mark)| mark.announced.is_some_and(recent))
            .map(|(key, _)| *key)
    }
}
