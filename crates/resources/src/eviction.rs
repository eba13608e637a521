//! Which connections yield.

use {
    crate::{
        account::Phase,
        activity::Activity, //
    },
    std::{
        cmp::Reverse,
        time::{
            Duration,
            Instant, //
        },
    },
};

/// Connections that hold more are large. They leave a part of the limiter to the others.
pub(crate) const LARGE: usize = 128 * 1024;
/// A connection is not considered stalled for this long after the start of its request.
const STALL_GRACE: Duration = Duration::from_secs(1);
/// A connection is stalled if the bytes that it has sent of late are less than this part of what it
/// holds. A body that arrives evenly within 30 s stays above it to its end.
const STALLED_BELOW: f64 = 1.0 / 16.0;
/// Recent bytes are compared in units of this when connections run out, so that single bytes don't
/// count.
const ACTIVITY_UNIT: f64 = 4096.0;

/// What is known of a connection.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Standing {
    pub(crate) phase: Phase,
    pub(crate) held: usize,
    pub(crate) activity: Activity,
    /// Whether it has brought a complete request.
    pub(crate) served: bool,
    /// When it was opened, or its last request ended.
    pub(crate) since: Instant,
    /// When the request that it receives began.
    pub(crate) message: Instant,
}

/// How readily a connection yields its memory; the least yields first.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub(crate) enum MemoryRank {
    /// It has sent almost nothing of late; the one that holds most yields first.
    Stalled(Reverse<usize>),
    /// It holds much; the one that has sent least of late yields first.
    Large(f64),
    /// It holds little; ranked by recent bytes relative to what it holds.
    Small(f64),
}

/// How readily a connection yields its place; the least yields first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PlaceRank {
    activity: u64,
    served: bool,
    since: Instant,
}

impl Standing {
    /// Returns whether the connection holds much.
    pub(crate) fn is_large(&self) -> bool {
        self.held > LARGE
    }

    /// Returns the bytes that count as held by a large connection.
    pub(crate) fn large_bytes(&self) -> usize {
        if self.is_large() {
            self.held
        } else {
            0
        }
    }

    /// Returns how readily the connection yields its memory to one that is large or not; none if it
    /// does not.
    pub(crate) fn memory_rank(&self, for_large: bool, now: Instant) -> Option<MemoryRank> {
        if self.phase != Phase::Receiving || self.held == 0 {
            return None;
        }
        let recent = self.activity.recent(now);
        let in_grace = now.saturating_duration_since(self.message) < STALL_GRACE;
        if !in_grace && recent < self.held as f64 * STALLED_BELOW {
            return Some(MemoryRank::Stalled(Reverse(self.held)));
        }
        match self.is_large() {
            true => Some(MemoryRank::Large(recent)),
            false if for_large => None,
            false => Some(MemoryRank::Small(
                (recent + ACTIVITY_UNIT) / self.held as f64,
            )),
        }
    }

    /// Returns how readily the connection yields its place; none if it does not.
    pub(crate) fn place_rank(&self, now: Instant) -> Option<PlaceRank> {
        (self.phase != Phase::Serving).then(|| PlaceRank {
            activity: (self.activity.recent(now) / ACTIVITY_UNIT) as u64,
            served: self.served,
            since: self.since,
        })
    }
}

#[cfg(test)]
mod tests;
