//! What this router learns about the reading speeds of engines from its own requests.

use {
    super::admit::Request,
    crate::state::Tables,
    policy::{
        placement::{
            Choice,
            Reading,
            ReplicaKey, //
        },
        Time, //
    },
};

impl Tables {
    /// Returns whether this instance is short of processor time, so that its own delays would pass
    /// for those of engines.
    pub(super) fn is_delayed(&self) -> bool {
        self.overload.rejected() > 0.0
    }

    /// Returns the reading speed of an engine, as the placement of a request uses it.
    pub(super) fn reading_speed(&self, req: &Request, engine: ReplicaKey, now: Time) -> f64 {
        match req.tolerant {
            true if self.is_delayed() => self.fleet_speeds.steady(engine),
            true => self.fleet_speeds.of(engine, now),
            false => self.speeds.of(engine),
        }
    }

    /// Begins to measure how fast an engine reads the prompt of a request that it is about to get.
    ///
    /// Measures nothing if the request has to wait for a slot, or if its answer is not a stream: its
    /// first event would come later than the prompt was read.
    pub(super) fn start_reading(
        &mut self,
        req: &Request,
        choice: &Choice,
        now: Time,
    ) -> Option<Reading> {
        let engine = req.service_info.engine?;
        let measured = req.prompt.is_some() && req.route.is_stream() && req.tolerant;
        if !measured
            || self.is_delayed()
            || self.board.load(choice.key, now).running >= engine.slots
        {
            return None;
        }
        let reading = Reading {
            sent_at: now,
            unread: choice.unread,
            own: u64::from(choice.uncached),
        };
        self.fleet_speeds.start(choice.key, reading);
        Some(reading)
    }
}
