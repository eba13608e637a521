//! The queue of one workspace.

use {
    super::drain::DrainRate,
    crate::{
        JobId,
        Time,
        WorkspaceId, //
    },
    std::collections::BTreeSet,
};

/// Position of a queued request, ordered by due time, then by sequence number.
pub(crate) type QueuePosition = (Time, u64, JobId);

/// The queue of one workspace at one service.
#[derive(Debug)]
pub(crate) struct Queue {
    pub(crate) workspace: WorkspaceId,
    pub(crate) positions: BTreeSet<QueuePosition>,
    pub(crate) drain: DrainRate,
    /// Number of its requests that run from here.
    pub(crate) running: u32,
    /// Charge of the running requests, in thousandths of a unit.
    pub(crate) charged: i64,
    /// When it was last not empty.
    pub(crate) last_backlogged: Option<Time>,
    /// Lower bound of the time at which one of its requests becomes too late to start.
    pub(crate) next_too_late: Time,
    /// When a request of the workspace last arrived, started or ended.
    pub(crate) last_used: Time,
}

impl Queue {
    pub(crate) fn new(workspace: WorkspaceId, now: Time) -> Queue {
        Queue {
            workspace,
            positions: BTreeSet::new(),
            drain: DrainRate::default(),
            running: 0,
            charged: 0,
            last_backlogged: None,
            next_too_late: Time(u64::MAX),
            last_used: now,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.positions.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Accounts for the time since the last call.
    pub(crate) fn update_drain(&mut self, now: Time) {
        let backlogged = !self.is_empty();
        self.drain.advance(backlogged, now);
        if backlogged {
            self.last_backlogged = Some(now);
        }
    }

    /// Returns the number of requests ahead of a position.
    pub(crate) fn ahead_of(&self, position: &QueuePosition) -> usize {
        self.positions.range(..position).count()
    }
}
