//! What a router reports, as far as it is compared with the last report.

use {
    crate::{
        dispatch::Wait,
        service::{
            Queue,
            ReplicaKey,
            Seat,
            Seats, //
        },
        shares::Key, //
    },
    std::collections::BTreeMap,
};

/// Rough bytes of a report, of each replica in it and of each workspace.
const SIZES: (usize, usize, usize) = (30, 7, 13);
/// Queues up to this length are reported exactly.
const EXACT: u32 = 8;

/// The part of a report that is compared with the last one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Body {
    /// Slots kept in all.
    pub(super) kept: u32,
    /// Whether those of any replica are not as last told.
    pub(super) news: bool,
    pub(super) running: u32,
    pub(super) waits: Vec<Wait>,
    pub(super) shuns: Vec<ReplicaKey>,
}

impl Body {
    pub(super) fn of(queues: &BTreeMap<Key, Queue>, seats: &Seats, shuns: Vec<ReplicaKey>) -> Body {
        let waiting = queues.iter().filter(|(_, q)| !q.is_empty());
        Body {
            kept: seats.all.values().map(Seat::kept).sum(),
            news: seats.all.values().any(|s| s.told != Some(s.kept())),
            running: seats.running(),
            shuns,
            waits: waiting
                .map(|(key, q)| Wait {
                    key: *key,
                    queued: coarse(q.len() as u32),
                    running: q.running,
                })
                .collect(),
        }
    }

    /// Returns whether this router has nothing to do with the pool.
    pub(super) fn is_empty(&self) -> bool {
        self.kept == 0 && self.running == 0 && self.waits.is_empty()
    }

    /// Returns roughly how many bytes a report of it takes.
    pub(super) fn size(&self, kept: usize, waits: bool) -> usize {
        let waits = if waits { SIZES.2 * self.waits.len() } else { 0 };
        SIZES.0 + SIZES.1 * kept + waits
    }

    /// Returns all requests that wait.
    pub(super) fn queued(&self) -> u32 {
        queued(&self.waits)
    }

    /// Returns whether the owner should hear of it at once: slots came back, a workspace
    /// began to wait, more waits (much more, where work waits everywhere), or no spare slot is
    /// left while there are some.
    pub(super) fn urges(&self, last: &Body, pressed: bool) -> bool {
        let fewer = self.kept < last.kept;
        let first = !pressed || last.waits.is_empty();
        let newly = |w: &Wait| first && !last.waits.iter().any(|l| l.key == w.key);
        let full = !pressed && self.running >= self.kept && last.running < last.kept;
        let grown = if pressed {
            2 * last.queued()
        } else {
            last.queued() + 1
        };
        let more = self.queued() >= grown.max(1) && self.queued() > last.queued();
        fewer || full || more || self.waits.iter().any(newly)
    }
}

pub(super) fn queued(waits: &[Wait]) -> u32 {
    waits.iter().map(|w| w.queued).sum()
}

/// Rounds a large number to its three highest bits, so that it seldom changes.
fn coarse(n: u32) -> u32 {
    if n <= EXACT {
        return n;
    }
    let low = n.ilog2() - 2;
    n >> low << low
}
