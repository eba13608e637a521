//! What this router learns about the reading speeds of engines from its own requests.

use {
    super::admit::Request,
    crate::state::{
        Shared,
        Tables, //
    },
    policy::{
        placement::{
            Choice,
            Reading,
            ReplicaKey, //
        },
        Time, //
    },
};

impl Request {
    /// Returns whether the speeds that the fleet shares apply to the request's service.
    fn shares_speeds(&self, gw: &Shared) -> bool {
        gw.settings.placement.is_tolerant(self.min_target.into())
    }
}

impl Tables {
    /// Returns the reading speed of an engine, as the placement of a request uses it.
    pub(super) fn reading_speed(
        &self,
        gw: &Shared,
        req: &Request,
        engine: ReplicaKey,
        now: Time,
    ) -> f64 {
        match req.shares_speeds(gw) {
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
        gw: &Shared,
        req: &Request,
        choice: &Choice,
        now: Time,
    ) -> Option<Reading> {
        let engine = req.service_info.engine?;
        let measured = req.prompt.is_some() && req.route.is_stream() && req.shares_speeds(gw);
        if !measured || self.board.load(choice.key, now).running >= engine.slots {
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
