//! The part of a report that is compared with the last one.

use {
    crate::{
        dispatch::WorkspaceDemand,
        service::{
            Queue,
            ReplicaKey,
            ReplicaSlots,
            ServiceReplicas, //
        },
        shares::Key, //
    },
    std::collections::BTreeMap,
};

/// Approximate bytes of a report, of each replica in it and of each workspace.
const REPORT_BYTES: (usize, usize, usize) = (30, 7, 13);
/// Queues up to this length are reported exactly.
const EXACT_LIMIT: u32 = 8;

/// The part of a report that is compared with the last one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ReportBody {
    /// Total of the slots kept.
    pub(super) kept: u32,
    /// Whether the slots kept on any replica differ from those last reported.
    pub(super) changed: bool,
    pub(super) running: u32,
    pub(super) demands: Vec<WorkspaceDemand>,
    pub(super) avoided: Vec<ReplicaKey>,
}

impl ReportBody {
    pub(super) fn of(
        queues: &BTreeMap<Key, Queue>,
        replicas: &ServiceReplicas,
        avoided: Vec<ReplicaKey>,
    ) -> ReportBody {
        let waiting = queues.iter().filter(|(_, q)| !q.is_empty());
        ReportBody {
            kept: replicas.all.values().map(ReplicaSlots::kept).sum(),
            changed: replicas.all.values().any(|s| s.reported != Some(s.kept())),
            running: replicas.running(),
            avoided,
            demands: waiting
                .map(|(key, q)| WorkspaceDemand {
                    key: *key,
                    queued: round_down(q.len() as u32),
                    running: q.running,
                })
                .collect(),
        }
    }

    /// Returns whether this router neither uses nor holds anything of the pool.
    pub(super) fn is_empty(&self) -> bool {
        self.kept == 0 && self.running == 0 && self.demands.is_empty()
    }

    /// Returns the approximate size of a report in bytes.
    pub(super) fn size(&self, kept: usize, demands: bool) -> usize {
        let demands = if demands {
            REPORT_BYTES.2 * self.demands.len()
        } else {
            0
        };
        REPORT_BYTES.0 + REPORT_BYTES.1 * kept + demands
    }

    /// Returns the number of queued requests.
    pub(super) fn queued(&self) -> u32 {
        queued(&self.demands)
    }

    /// Returns whether the owner should know at once: slots were released, a workspace became
    /// backlogged, the backlog grew (under contention: doubled), or the last spare slot was used.
    pub(super) fn is_urgent(&self, last: &ReportBody, contended: bool) -> bool {
        let released = self.kept < last.kept;
        let notice_new = !contended || last.demands.is_empty();
        let newly_backlogged =
            |w: &WorkspaceDemand| notice_new && !last.demands.iter().any(|l| l.key == w.key);
        let full = !contended && self.running >= self.kept && last.running < last.kept;
        let threshold = if contended {
            2 * last.queued()
        } else {
            last.queued() + 1
        };
        let more = self.queued() >= threshold.max(1) && self.queued() > last.queued();
        released || full || more || self.demands.iter().any(newly_backlogged)
    }
}

pub(super) fn queued(demands: &[WorkspaceDemand]) -> u32 {
    demands.iter().map(|w| w.queued).sum()
}

/// Rounds a large number down to its three highest bits, so that it changes rarely.
fn round_down(n: u32) -> u32 {
    if n <= EXACT_LIMIT {
        return n;
    }
    let dropped_bits = n.ilog2() - 2;
    n >> dropped_bits << dropped_bits
}
