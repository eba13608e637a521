//! Workspaces and utilization of engines in the status of routers.

use {
    super::Point,
    operators::Status,
    standins::engine,
    std::{
        collections::BTreeMap,
        ops::Sub,
        sync::Arc, //
    },
};

/// Busy and whole capacity of engines, in slots times seconds.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Used {
    /// Slots that were busy.
    pub(crate) busy: f64,
    /// Requests that were admitted, also beyond the slots.
    pub(crate) admitted: f64,
    /// All slots.
    pub(crate) whole: f64,
}

impl Used {
    /// Adds up the engines' own sums since their start.
    pub(crate) fn of(engines: &[Arc<engine::Handle>]) -> Used {
        let mut used = Used::default();
        for e in engines {
            used.add(Used::of_one(e));
        }
        used
    }

    /// Reads one engine's own sums since its start.
    pub(crate) fn of_one(engine: &engine::Handle) -> Used {
        let busy = engine.busy();
        Used {
            busy: busy.busy,
            admitted: busy.admitted,
            whole: busy.elapsed * f64::from(busy.capacity),
        }
    }

    /// Adds another use.
    pub(crate) fn add(&mut self, more: Used) {
        self.busy += more.busy;
        self.admitted += more.admitted;
        self.whole += more.whole;
    }

    /// Returns the part of the capacity that was busy.
    pub(crate) fn part(&self) -> f64 {
        self.busy / self.whole.max(f64::MIN_POSITIVE)
    }
}

impl Sub for Used {
    type Output = Used;

    fn sub(self, from: Used) -> Used {
        Used {
            busy: self.busy - from.busy,
            admitted: self.admitted - from.admitted,
            whole: self.whole - from.whole,
        }
    }
}

/// Returns each workspace's backlog and service of one service, over all routers.
pub(crate) fn points(service: &str, statuses: &[Status]) -> Vec<Point> {
    let mut points = BTreeMap::new();
    let all = statuses.iter().flat_map(|s| &s.workspaces);
    for w in all.filter(|w| w.service.as_str() == service) {
        let point = points.entry(w.name.clone()).or_insert_with(|| Point {
            workspace: w.name.clone(),
            backlogged: false,
            service: 0.0,
        });
        point.backlogged |= w.queued > 0;
        point.service += w.received.0 / w.share.get();
    }
    points.into_values().collect()
}
