//! The suspects of the whole fleet.

use {
    super::{
        record::{
            End,
            Record, //
        },
        Suspect,
        SuspectKind, //
    },
    crate::{
        placement::ReplicaKey,
        Span,
        Time, //
    },
    std::collections::HashMap,
};

/// Number of replica ends from which a request is held. Two happen by chance: after a crash,
/// requests with the same preferred replica move to the same other engine.
const REQUEST_ENDS_LIMIT: usize = 3;
/// The same for a part of prompts. Several requests have it at a time, so that it is at more ends by
/// chance.
const PART_ENDS_LIMIT: usize = 4;
/// A hold ends if all but this many of the suspect's ends turn out to be those of another one.
const CHANCE_ENDS: usize = 1;
/// Duration of a hold. Afterwards requests are let through, and one of them ends one more replica if
/// nothing has changed: with ten minutes this costs a replica's work for some seconds out of six
/// hundred.
pub const HOLD_DURATION: Span = Span::secs(600);
/// A suspect that was answered this recently is not what ends a replica. What many requests have in
/// common is at several replicas at any time, including most of those that crash.
const TRUST_SPAN: Span = Span::secs(10);
/// How long a record is kept without changes. Callers retry within minutes.
const RECORD_RETENTION: Span = Span::secs(3_600);
/// Maximum number of records. Each crash of a replica adds about thirty.
const RECORDS_MAX: usize = 4_096;
/// Why a request is not sent to any replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hold {
    /// The suspect under which replicas ended.
    pub suspect: Suspect,
    /// Remaining time of the hold.
    pub left: Span,
}

/// A complete answer that clears its suspects if its replica goes on for some time.
#[derive(Debug, Clone)]
struct Completed {
    suspects: Vec<Suspect>,
    replica: ReplicaKey,
    at: Time,
    /// A replica that goes on until then does not crash under it.
    clears_at: Time,
}

/// Suspects whose requests are not sent to any replica, because replicas ended under them.
///
/// # Examples
///
/// ```
/// use policy::{placement::ReplicaKey, quarantine::{Quarantine, Suspect}, Span, Time};
///
/// let mut quarantine = Quarantine::default();
/// let suspect = Suspect(7);
/// for n in 0..3 {
///     let now = Time(0) + Span::secs(n);
///     assert_eq!(quarantine.remaining(suspect, now), None);
///     quarantine.ended(suspect, ReplicaKey(n as u32), Time(0), now);
/// }
/// assert!(quarantine.remaining(suspect, Time(0) + Span::secs(3)).is_some());
/// ```
#[derive(Debug, Default)]
pub struct Quarantine {
    pub(super) records: HashMap<Suspect, Record>,
    /// Answers whose replicas may still crash under them.
    completed: Vec<Completed>,
    /// What was answered here recently, suspected or not.
    trusted: HashMap<Suspect, Time>,
    /// This router saw an event that it has not reported yet.
    unreported: bool,
    /// A suspect is held under which this router saw a replica end, and that is not written to the
    /// store yet.
    new_holds: bool,
}

impl Quarantine {
    /// Records that a replica ended which had just started a request with a suspect, or was about to.
    /// Returns whether this starts a hold.
    ///
    /// `sent_at` is when the request was sent. One that was sent after the end of another replica
    /// didn't run there at the same time, however soon after it the replica ends.
    pub fn ended(
        &mut self,
        suspect: Suspect,
        replica: ReplicaKey,
        sent_at: Time,
        now: Time,
    ) -> bool {
        let end = End {
            replica,
            at: now,
            sent_at: Some(sent_at),
            local: true,
        };
        self.unreported = true;
        self.take_end(suspect, end, now)
    }

    /// Records that a replica answered a request with a suspect.
    pub fn answered(&mut self, suspect: Suspect, now: Time) {
        let trusted = self.trusted.entry(suspect).or_insert(now);
        *trusted = now.max(*trusted);
        let Some(record) = self.records.get_mut(&suspect) else {
            return;
        };
        if record.ends.is_empty() && record.until.is_none() {
            return;
        }
        record.answer(now, true);
        record.changed = now;
        self.unreported = true;
    }

    /// Records that a replica completed its answer to a request with these suspects, which clears them
    /// if the replica goes on until `clears_at`. A short answer may be complete before the replica
    /// crashes under it.
    pub fn completed(
        &mut self,
        suspects: Vec<Suspect>,
        replica: ReplicaKey,
        clears_at: Time,
        now: Time,
    ) {
        self.completed.push(Completed {
            suspects,
            replica,
            at: now,
            clears_at,
        });
    }

    /// Records that a replica ended, which may have crashed under what it answered last. Returns the
    /// suspects that are held from now on.
    pub fn replica_ended(&mut self, replica: ReplicaKey, at: Time, now: Time) -> Vec<Suspect> {
        let of_replica = |c: &Completed| c.replica == replica && c.clears_at > at;
        if !self.completed.iter().any(of_replica) {
            return Vec::new();
        }
        let completed = std::mem::take(&mut self.completed).into_iter();
        let (crashed, rest) = completed.partition::<Vec<_>, _>(of_replica);
        self.completed = rest;
        let suspects = crashed.into_iter().flat_map(|c| c.suspects);
        let end = End {
            replica,
            at,
            sent_at: None,
            local: true,
        };
        let mut held = Vec::new();
        for suspect in suspects {
            self.unreported = true;
            if self.take_end(suspect, end, now) {
                held.push(suspect);
            }
        }
        held
    }

    /// Returns the remaining time of the hold of requests that have only this suspect.
    pub fn remaining(&self, suspect: Suspect, now: Time) -> Option<Span> {
        self.find_hold(&[suspect], now).map(|hold| hold.left)
    }

    /// Returns the hold that applies to a request with these suspects, if there is one.
    ///
    /// Nothing tells apart suspects that were always at the same ends, so they are held together: a
    /// request that has only some of them is let through.
    pub fn find_hold(&self, suspects: &[Suspect], now: Time) -> Option<Hold> {
        let holds = suspects.iter().filter_map(|suspect| {
            let record = self.records.get(suspect)?;
            let left = record.remaining(now)?;
            let mut together = self
                .held(now)
                .filter(|(_, other)| record.is_always_with(other));
            together
                .all(|(other, _)| suspects.contains(other))
                .then_some(Hold {
                    suspect: *suspect,
                    left,
                })
        });
        holds.max_by_key(|hold| hold.left)
    }

    /// Returns whether this router saw an event that it has not reported yet, and resets that.
    pub fn take_unreported(&mut self) -> bool {
        std::mem::take(&mut self.unreported)
    }

    /// Returns whether a hold has started for a suspect under which this router saw a replica end,
    /// and resets that.
    ///
    /// The routers that saw an end write the hold to the store. If two routers see an end at the
    /// same time, neither knows that it is the third until it receives the other's report.
    pub fn take_new_holds(&mut self) -> bool {
        std::mem::take(&mut self.new_holds)
    }

    /// Returns the number of held suspects of a kind.
    pub fn count(&self, kind: SuspectKind, now: Time) -> usize {
        self.held(now).filter(|(s, _)| s.kind() == kind).count()
    }

    /// Drops records that are too old, and takes account of answers whose replicas went on.
    pub fn forget(&mut self, now: Time) {
        let completed = std::mem::take(&mut self.completed).into_iter();
        let (cleared, rest) = completed.partition::<Vec<_>, _>(|c| c.clears_at <= now);
        self.completed = rest;
        for answer in cleared {
            for suspect in answer.suspects {
                self.answered(suspect, answer.at);
            }
        }
        self.records
            .retain(|_, r| now.since(r.changed) < RECORD_RETENTION);
        self.trusted.retain(|_, at| now.since(*at) < TRUST_SPAN);
    }

    pub(super) fn held(&self, now: Time) -> impl Iterator<Item = (&Suspect, &Record)> {
        let records = self.records.iter();
        records.filter(move |(_, r)| r.remaining(now).is_some())
    }

    pub(super) fn take_end(&mut self, suspect: Suspect, end: End, now: Time) -> bool {
        self.make_room(suspect);
        let record = self.records.entry(suspect).or_default();
        let trusted = self.trusted.get(&suspect);
        if trusted.is_some_and(|at| now.since(*at) < TRUST_SPAN) {
            // Routers that haven't seen the answer need a report of it.
            record.answer(now, true);
            record.changed = now;
            self.unreported = true;
            return false;
        }
        if !record.end(end) {
            return false;
        }
        record.changed = now;
        let before = record.remaining(now).is_some();
        // A suspect that was held before is held again after a single end.
        let proven = record.until.is_some() || self.unexplained(suspect, now) >= limit(suspect);
        if !proven {
            return false;
        }
        let Some(record) = self.records.get_mut(&suspect) else {
            return false;
        };
        record.until = record.until.max(Some(end.at + HOLD_DURATION));
        let local = record.is_seen_locally();
        let is_new = !before && record.remaining(now).is_some();
        self.new_holds |= is_new && local;
        self.release_explained(now);
        is_new
    }

    /// Counts the ends of a suspect that no other held suspect explains.
    fn unexplained(&self, suspect: Suspect, now: Time) -> usize {
        let Some(record) = self.records.get(&suspect) else {
            return 0;
        };
        let is_held = record.remaining(now).is_some();
        let others = self.held(now).filter(|(s, _)| **s != suspect);
        let others = others.map(|(_, other)| other);
        let explaining = others.filter(|other| other.explains(record, is_held));
        record.count_without(&explaining.collect::<Vec<_>>())
    }

    /// Ends the holds of suspects whose ends turn out to be those of another one.
    pub(super) fn release_explained(&mut self, now: Time) {
        let held = self.held(now).filter(|(_, r)| !r.ends.is_empty());
        let held = held.map(|(suspect, _)| *suspect);
        let explained = held.filter(|suspect| {
            let all = self.records.get(suspect).map_or(0, |r| r.ends.len());
            let unexplained = self.unexplained(*suspect, now);
            unexplained <= CHANCE_ENDS && all > unexplained + CHANCE_ENDS
        });
        for suspect in explained.collect::<Vec<_>>() {
            if let Some(record) = self.records.get_mut(&suspect) {
                record.until = None;
            }
        }
    }

    /// Drops the record that matters least if there are too many: one that is not held and has few
    /// ends, and of these the one that has not changed for longest.
    pub(super) fn make_room(&mut self, suspect: Suspect) {
        if self.records.len() < RECORDS_MAX || self.records.contains_key(&suspect) {
            return;
        }
        let rank = |r: &Record| (r.until.is_some(), r.ends.len() > CHANCE_ENDS, r.changed);
        let least = self.records.iter().min_by_key(|(s, r)| (rank(r), **s));
        if let Some(least) = least.map(|(suspect, _)| *suspect) {
            self.records.remove(&least);
        }
    }
}

/// Returns the number of ends from which a suspect is held.
fn limit(suspect: Suspect) -> usize {
    match suspect.kind() {
        SuspectKind::Request => REQUEST_ENDS_LIMIT,
        SuspectKind::PromptPart => PART_ENDS_LIMIT,
    }
}
