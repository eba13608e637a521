//! The suspected requests, over the fleet.

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

/// Replicas that ended under a request, from which it is held back. Two happen by chance: after a
/// crash requests with the same home move to the same other engine.
const ENDS: usize = 3;
/// How long a request is held back. After that it is let through once more, and one more replica
/// ends if nothing has changed: with ten minutes that is the work of a replica for some seconds
/// out of six hundred.
pub const HOLD_DURATION: Span = Span::secs(600);
/// A request that was answered this recently is not what ends a replica. A question that many
/// callers ask is at several replicas at any time, and at most of those that crash.
const TRUSTED: Span = Span::secs(10);
/// How long an end counts. A caller who asks again does so within minutes.
const KEPT: Span = Span::secs(3_600);
/// How long news is told: in several words, as one in some hundred is lost.
const TOLD: Span = Span::secs(2);
/// Two routers that tell each other how much longer to hold a request back must not keep it up by
/// the time that their words take. What is told counts only where it adds more than this.
const ADDS: Span = Span::secs(1);
/// Most requests that are remembered: each crash of a replica adds some ten.
const MOST: usize = 4_096;
/// Most that one word tells of each kind, the newest first, so that it fits into a datagram.
const MOST_TOLD: usize = 32;

/// Which requests are not sent to any replica, as replicas ended under them.
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
    /// What was answered here of late, suspected or not.
    trusted: HashMap<RequestDigest, Time>,
    /// This router saw something that it has not told yet.
    news: bool,
    /// A request is held back under which this router saw a replica end, and that is not written
    /// down yet.
    begun: bool,
}

impl Quarantine {
    /// Notes that a replica ended which had just begun a request, or was about to. Returns whether
    /// the request is held back from now on and was not before.
    pub fn ended(&mut self, digest: RequestDigest, replica: ReplicaKey, now: Time) -> bool {
        let end = End {
            replica,
            at: now,
            own: true,
        };
        self.news = true;
        self.take_end(digest, end, now)
    }

    /// Notes that a replica answered a request.
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
        self.news = true;
    }

    /// Returns for how much longer a request is to be held back, where it is.
    pub fn remaining(&self, digest: RequestDigest, now: Time) -> Option<Span> {
        self.records.get(&digest)?.left(now)
    }

    /// Takes what another router tells. Returns which requests are held back from now on and were
    /// not before.
    pub fn apply_update(&mut self, notes: &QuarantineUpdate, now: Time) -> Vec<RequestDigest> {
        let mut begun = Vec::new();
        for answered in &notes.answered {
            self.hear_answered(answered, now);
        }
        for ended in &notes.ended {
            let at = now - ended.age;
            let end = End {
                replica: ended.replica,
                at,
                own: false,
            };
            if self.take_end(ended.digest, end, now) {
                begun.push(ended.digest);
            }
        }
        for held in &notes.held {
            if self.hear_held(held, now) {
                begun.push(held.digest);
            }
        }
        begun
    }

    /// Returns what all routers are to hear: what is held back, that which began last first.
    pub fn held_update(&self, now: Time) -> QuarantineUpdate {
        let held = self.records.iter().filter_map(|(digest, record)| {
            Some(Held {
                digest: *digest,
                left: record.left(now)?,
            })
        });
        let mut held: Vec<Held> = held.collect();
        held.sort_by_key(|h| (std::cmp::Reverse(h.left), h.digest));
        held.truncate(MOST_TOLD);
        QuarantineUpdate {
            held,
            ..QuarantineUpdate::default()
        }
    }

    /// Returns what the routers that take callers are to hear: besides what is held back, what
    /// this router saw of late.
    pub fn full_update(&self, now: Time) -> QuarantineUpdate {
        let mut notes = self.held_update(now);
        for (digest, record) in &self.records {
            let fresh = |at: Time| now.since(at) < TOLD;
            let own = record.ends.iter().filter(|e| e.own && fresh(e.at));
            notes.ended.extend(own.map(|e| Ended {
                digest: *digest,
                replica: e.replica,
                age: now.since(e.at),
            }));
            let answered = record.answered.filter(|at| record.own_answer && fresh(*at));
            notes.answered.extend(answered.map(|at| Answered {
                digest: *digest,
                age: now.since(at),
            }));
        }
        notes.ended.sort_by_key(|e| (e.age, e.digest));
        notes.ended.truncate(MOST_TOLD);
        notes.answered.sort_by_key(|a| (a.age, a.digest));
        notes.answered.truncate(MOST_TOLD);
        notes
    }

    /// Tells whether this router saw something that it has not told yet, once for each time.
    pub fn take_unreported(&mut self) -> bool {
        std::mem::take(&mut self.news)
    }

    /// Tells whether a request is held back from now on under which this router saw a replica end,
    /// once for each time.
    ///
    /// Those who saw one are the ones to write it down. Of two ends at the same time at two routers
    /// neither knows that it is the third until it hears of the other.
    pub fn take_new_holds(&mut self) -> bool {
        std::mem::take(&mut self.begun)
    }

    /// Returns how many requests are held back.
    pub fn count(&self, now: Time) -> usize {
        let held = self.records.values().filter(|r| r.left(now).is_some());
        held.count()
    }

    /// Drops what is too old to count.
    pub fn forget(&mut self, now: Time) {
        self.records.retain(|_, r| now.since(r.changed) < KEPT);
        self.trusted.retain(|_, at| now.since(*at) < TRUSTED);
    }

    fn take_end(&mut self, digest: RequestDigest, end: End, now: Time) -> bool {
        self.make_room(digest);
        let record = self.records.entry(digest).or_default();
        let trusted = self.trusted.get(&digest);
        if trusted.is_some_and(|at| now.since(*at) < TRUSTED) {
            // Those who saw no answer of it are to hear that there was one.
            record.answer(now, true);
            record.changed = now;
            self.news = true;
            return false;
        }
        if !record.end(end) {
            return false;
        }
        record.changed = now;
        // Whoever was held back before and is let through again has no more chances.
        let proven = record.count() >= ENDS || record.until.is_some();
        let before = record.left(now).is_some();
        if proven {
            record.until = record.until.max(Some(end.at + HOLD_DURATION));
        }
        let begun = proven && !before;
        self.begun |= begun && record.seen_here();
        begun
    }

    fn hear_answered(&mut self, answered: &Answered, now: Time) {
        if let Some(record) = self.records.get_mut(&answered.digest) {
            record.answer(now - answered.age, false);
            record.changed = now;
        }
    }

    fn hear_held(&mut self, held: &Held, now: Time) -> bool {
        self.make_room(held.digest);
        let record = self.records.entry(held.digest).or_default();
        // Those who have not heard of an answer yet go on telling that it is held back.
        if record.answered.is_some_and(|at| now.since(at) < TOLD * 2.0) {
            return false;
        }
        let before = record.left(now);
        if held.left > before.unwrap_or_default() + ADDS {
            record.until = Some(now + held.left.min(HOLD_DURATION));
            record.changed = now;
        }
        before.is_none() && record.left(now).is_some()
    }

    /// Drops the request of which nothing was heard for longest, where there are too many.
    fn make_room(&mut self, digest: RequestDigest) {
        if self.records.len() < MOST || self.records.contains_key(&digest) {
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
