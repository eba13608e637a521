//! What routers report to each other of suspects.

use {
    super::{
        record::End,
        Answered,
        Ended,
        Held,
        Quarantine,
        QuarantineUpdate,
        Suspect,
        HOLD_DURATION, //
    },
    crate::{
        Span,
        Time, //
    },
    std::cmp::Reverse,
};

/// How long an event is reported: in several messages, as about one in a hundred is lost.
const REPORT_SPAN: Span = Span::secs(2);
/// Two routers that report the remaining time of a hold to each other must not prolong it by the
/// latency of their messages. A reported time counts only if it exceeds the known one by more than
/// this.
const HOLD_MARGIN: Span = Span::secs(1);
/// Maximum number of entries of each kind in one update, so that it fits into a datagram.
const UPDATE_MAX: usize = 32;
/// Ends of each held suspect in one update: enough to tell apart suspects that are often together.
const HELD_ENDS_MAX: usize = 8;
/// Entries in one update for the ends of all held suspects.
const ALL_HELD_ENDS_MAX: usize = 16;

impl Quarantine {
    /// Applies the update of another router. Returns the suspects that are held from now on.
    pub fn apply_update(&mut self, update: &QuarantineUpdate, now: Time) -> Vec<Suspect> {
        let mut new_holds = Vec::new();
        for answered in &update.answered {
            self.apply_answered(answered, now);
        }
        for ended in &update.ended {
            let at = now - ended.age;
            let end = End {
                replica: ended.replica,
                at,
                sent_at: None,
                local: false,
            };
            new_holds.extend(self.replica_ended(ended.replica, at, now));
            if self.take_end(ended.suspect, end, now) {
                new_holds.push(ended.suspect);
            }
        }
        for held in &update.held {
            if self.apply_held(held, now) {
                new_holds.push(held.suspect);
            }
        }
        new_holds
    }

    /// Returns the update for all routers: the holds, the newest first, and the ends under them.
    pub fn held_update(&self, now: Time) -> QuarantineUpdate {
        let held = self.held(now).filter_map(|(suspect, record)| {
            Some(Held {
                suspect: *suspect,
                left: record.remaining(now)?,
            })
        });
        let mut held: Vec<Held> = held.collect();
        held.sort_by_key(|h| (Reverse(h.left), h.suspect));
        held.truncate(UPDATE_MAX);
        let mut ended: Vec<Ended> = Vec::new();
        for held in &held {
            let ends = self.records.get(&held.suspect).map(|r| &r.ends);
            let newest = ends.into_iter().flatten().rev().take(HELD_ENDS_MAX);
            ended.extend(newest.map(|e| report_end(held.suspect, e, now)));
        }
        ended.truncate(ALL_HELD_ENDS_MAX);
        QuarantineUpdate {
            held,
            ended,
            ..QuarantineUpdate::default()
        }
    }

    /// Returns the update for routers that serve callers: the holds, and what this router saw
    /// recently, most ends first.
    pub fn full_update(&self, now: Time) -> QuarantineUpdate {
        let mut update = self.held_update(now);
        let mut recent_ends = Vec::new();
        for (suspect, record) in &self.records {
            let recent = |at: Time| now.since(at) < REPORT_SPAN;
            let local = record.ends.iter().filter(|e| e.local && recent(e.at));
            recent_ends.extend(local.map(|e| (record.ends.len(), report_end(*suspect, e, now))));
            let answered = record
                .answered
                .filter(|at| record.answer_is_local && recent(*at));
            update.answered.extend(answered.map(|at| Answered {
                suspect: *suspect,
                age: now.since(at),
            }));
        }
        recent_ends.sort_by_key(|(count, e)| (Reverse(*count), e.age, e.suspect));
        let recent_ends = recent_ends.into_iter().map(|(_, e)| e);
        let missing = recent_ends.filter(|e| !update.ended.contains(e));
        let room = UPDATE_MAX - update.ended.len();
        let missing: Vec<Ended> = missing.take(room).collect();
        update.ended.extend(missing);
        update.answered.sort_by_key(|a| (a.age, a.suspect));
        update.answered.truncate(UPDATE_MAX);
        update
    }

    fn apply_answered(&mut self, answered: &Answered, now: Time) {
        if let Some(record) = self.records.get_mut(&answered.suspect) {
            record.answer(now - answered.age, false);
            record.changed = now;
        }
    }

    fn apply_held(&mut self, held: &Held, now: Time) -> bool {
        self.make_room(held.suspect);
        let record = self.records.entry(held.suspect).or_default();
        // Routers that don't know of the answer yet still report the hold.
        if record
            .answered
            .is_some_and(|at| now.since(at) < REPORT_SPAN * 2.0)
        {
            return false;
        }
        let before = record.remaining(now);
        if held.left <= before.unwrap_or_default() + HOLD_MARGIN {
            return false;
        }
        record.until = Some(now + held.left.min(HOLD_DURATION));
        record.changed = now;
        self.release_explained(now);
        before.is_none() && self.records[&held.suspect].remaining(now).is_some()
    }
}

fn report_end(suspect: Suspect, end: &End, now: Time) -> Ended {
    Ended {
        suspect,
        replica: end.replica,
        age: now.since(end.at),
    }
}
