//! The suspected requests of the whole fleet.

use {
    super::{
        record::{
            End,
            Record, //
        },
        Answered,
        Ended,
        Held,
        QuarantineUpdate,
        RequestDigest, //
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
const ENDS_LIMIT: usize = 3;
/// Duration of a hold. Afterwards the request is let through once, and ends one more replica if
/// nothing has changed: with ten minutes this costs a replica's work for some seconds out of six
/// hundred.
pub const HOLD_DURATION: Span = Span::secs(600);
/// A request that was answered this recently is not what ends a replica. A request that many
/// callers send is at several replicas at any time, including most of those that crash.
const TRUST_SPAN: Span = Span::secs(10);
/// How long a record is kept without changes. Callers retry within minutes.
const RECORD_RETENTION: Span = Span::secs(3_600);
/// How long an event is reported: in several messages, as about one in a hundred is lost.
const REPORT_SPAN: Span = Span::secs(2);
/// Two routers that report the remaining time of a hold to each other must not prolong it by the
/// latency of their messages. A reported time counts only if it exceeds the known one by more than
/// this.
const HOLD_MARGIN: Span = Span::secs(1);
/// Maximum number of records. Each crash of a replica adds about ten.
const RECORDS_MAX: usize = 4_096;
/// Maximum number of entries of each kind in one update, the newest first, so that it fits into a
/// datagram.
const UPDATE_MAX: usize = 32;

/// Requests that are not sent to any replica because replicas ended under them.
///
/// # Examples
///
/// ```
/// use policy::{placement::ReplicaKey, quarantine::{Quarantine, RequestDigest}, Span, Time};
///
/// let mut quarantine = Quarantine::default();
/// let digest = RequestDigest(7);
/// for n in 0..3 {
///     let now = Time(0) + Span::secs(n);
///     assert_eq!(quarantine.remaining(digest, now), None);
///     quarantine.ended(digest, ReplicaKey(n as u32), now);
/// }
/// assert!(quarantine.remaining(digest, Time(0) + Span::secs(3)).is_some());
/// ```
#[derive(Debug, Default)]
pub struct Quarantine {
    records: HashMap<RequestDigest, Record>,
    /// Requests that were answered here recently, suspected or not.
    trusted: HashMap<RequestDigest, Time>,
    /// This router saw an event that it has not reported yet.
    unreported: bool,
    /// A request is held under which this router saw a replica end, and that is not written to the
    /// store yet.
    new_holds: bool,
}

impl Quarantine {
    /// Records that a replica ended which had just started a request, or was about to. Returns
    /// whether this starts a hold of the request.
    pub fn ended(&mut self, digest: RequestDigest, replica: ReplicaKey, now: Time) -> bool {
        let end = End {
            replica,
            at: now,
            local: true,
        };
        self.unreported = true;
        self.take_end(digest, end, now)
    }

    /// Records that a replica answered a request.
    pub fn answered(&mut self, digest: RequestDigest, now: Time) {
        self.trusted.insert(digest, now);
        let Some(record) = self.records.get_mut(&digest) else {
            return;
        };
        if record.ends.is_empty() && record.until.is_none() {
            return;
        }
        record.answer(now, true);
        record.changed = now;
        self.unreported = true;
    }

    /// Returns the remaining time of the hold of a request, if it is held.
    pub fn remaining(&self, digest: RequestDigest, now: Time) -> Option<Span> {
        self.records.get(&digest)?.remaining(now)
    }

    /// Applies the update of another router. Returns the requests that are held from now on.
    pub fn apply_update(&mut self, update: &QuarantineUpdate, now: Time) -> Vec<RequestDigest> {
        let mut new_holds = Vec::new();
        for answered in &update.answered {
            self.apply_answered(answered, now);
        }
        for ended in &update.ended {
            let at = now - ended.age;
            let end = End {
                replica: ended.replica,
                at,
                local: false,
            };
            if self.take_end(ended.digest, end, now) {
                new_holds.push(ended.digest);
            }
        }
        for held in &update.held {
            if self.apply_held(held, now) {
                new_holds.push(held.digest);
            }
        }
        new_holds
    }

    /// Returns the update for all routers: the holds, the newest first.
    pub fn held_update(&self, now: Time) -> QuarantineUpdate {
        let held = self.records.iter().filter_map(|(digest, record)| {
            Some(Held {
                digest: *digest,
                left: record.remaining(now)?,
            })
        });
        let mut held: Vec<Held> = held.collect();
        held.sort_by_key(|h| (std::cmp::Reverse(h.left), h.digest));
        held.truncate(UPDATE_MAX);
        QuarantineUpdate {
            held,
            ..QuarantineUpdate::default()
        }
    }

    /// Returns the update for routers that serve callers: the holds, and what this router saw
    /// recently.
    pub fn full_update(&self, now: Time) -> QuarantineUpdate {
        let mut update = self.held_update(now);
        for (digest, record) in &self.records {
            let recent = |at: Time| now.since(at) < REPORT_SPAN;
            let local = record.ends.iter().filter(|e| e.local && recent(e.at));
            update.ended.extend(local.map(|e| Ended {
                digest: *digest,
                replica: e.replica,
                age: now.since(e.at),
            }));
            let answered = record
                .answered
                .filter(|at| record.answer_is_local && recent(*at));
            update.answered.extend(answered.map(|at| Answered {
                digest: *digest,
                age: now.since(at),
            }));
        }
        update.ended.sort_by_key(|e| (e.age, e.digest));
        update.ended.truncate(UPDATE_MAX);
        update.answered.sort_by_key(|a| (a.age, a.digest));
        update.answered.truncate(UPDATE_MAX);
        update
    }

    /// Returns whether this router saw an event that it has not reported yet, and resets that.
    pub fn take_unreported(&mut self) -> bool {
        std::mem::take(&mut self.unreported)
    }

    /// Returns whether a hold has started for a request under which this router saw a replica end,
    /// and resets that.
    ///
    /// The routers that saw an end write the hold to the store. If two routers see an end at the
    /// same time, neither knows that it is the third until it receives the other's report.
    pub fn take_new_holds(&mut self) -> bool {
        std::mem::take(&mut self.new_holds)
    }

    /// Returns the number of held requests.
    pub fn count(&self, now: Time) -> usize {
        let held = self.records.values().filter(|r| r.remaining(now).is_some());
        held.count()
    }

    /// Drops records that are too old.
    pub fn forget(&mut self, now: Time) {
        self.records
            .retain(|_, r| now.since(r.changed) < RECORD_RETENTION);
        self.trusted.retain(|_, at| now.since(*at) < TRUST_SPAN);
    }

    fn take_end(&mut self, digest: RequestDigest, end: End, now: Time) -> bool {
        self.make_room(digest);
        let record = self.records.entry(digest).or_default();
        let trusted = self.trusted.get(&digest);
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
        // A request that was held before is held again after a single end.
        let proven = record.count() >= ENDS_LIMIT || record.until.is_some();
        let before = record.remaining(now).is_some();
        if proven {
            record.until = record.until.max(Some(end.at + HOLD_DURATION));
        }
        let is_new = proven && !before;
        self.new_holds |= is_new && record.is_seen_locally();
        is_new
    }

    fn apply_answered(&mut self, answered: &Answered, now: Time) {
        if let Some(record) = self.records.get_mut(&answered.digest) {
            record.answer(now - answered.age, false);
            record.changed = now;
        }
    }

    fn apply_held(&mut self, held: &Held, now: Time) -> bool {
        self.make_room(held.digest);
        let record = self.records.entry(held.digest).or_default();
        // Routers that don't know of the answer yet still report the hold.
        if record
            .answered
            .is_some_and(|at| now.since(at) < REPORT_SPAN * 2.0)
        {
            return false;
        }
        let before = record.remaining(now);
        if held.left > before.unwrap_or_default() + HOLD_MARGIN {
            record.until = Some(now + held.left.min(HOLD_DURATION));
            record.changed = now;
        }
        before.is_none() && record.remaining(now).is_some()
    }

    /// Drops the record that has not changed for longest, if there are too many.
    fn make_room(&mut self, digest: RequestDigest) {
        if self.records.len() < RECORDS_MAX || self.records.contains_key(&digest) {
            return;
        }
        let held = |r: &Record| r.until.is_some();
        let oldest = self
            .records
            .iter()
            .min_by_key(|(d, r)| (held(r), r.changed, **d));
        if let Some(oldest) = oldest.map(|(digest, _)| *digest) {
            self.records.remove(&oldest);
        }
    }
}
