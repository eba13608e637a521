//! The queue of one workspace.

use {
    super::drain::Drain,
    crate::{
        JobId,
        Time,
        WorkspaceId, //
    },
    std::collections::BTreeSet,
};

/// A queued request, ordered by due time, then by number.
pub(crate) type Place = (Time, u64, JobId);

/// The queue of one workspace at one service.
#[derive(Debug)]
pub(crate) struct Queue {
    pub(crate) workspace: WorkspaceId,
    pub(crate) places: BTreeSet<Place>,
    pub(crate) drain: Drain,
    /// Requests that run from here.
    pub(crate) running: u32,
    /// What was charged for them, in thousandths of a unit.
    pub(crate) charged: i64,
    /// When it was last not empty.
    pub(crate) waited: Option<Time>,
    /// When it is too late to start the first of its requests, or before.
    pub(crate) doomed: Time,
    /// When it was last used at all.
    pub(crate) used: Time,
}

impl Queue {
    pub(crate) fn new(workspace: WorkspaceId, now: Time) -> Queue {
        Queue {
            workspace,
            places: BTreeSet::new(),
            drain: Drain::default(),
            running: 0,
            charged: 0,
            waited: None,
            doomed: Time(u64::MAX),
            used: now,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.places.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Notes the time that passed since the last call.
    pub(crate) fn pass(&mut self, now: Time) {
        let waits = !self.is_empty();
        self.drain.pass(waits, now);
        if waits {
            self.waited = Some(now);
        }
    }

    /// Returns how many would leave before this place.
    pub(crate) fn before(&self, place: &Place) -> usize {
        self.places.range(..place).count()
    }
}
