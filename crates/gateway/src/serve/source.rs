//! One replica's stream, as whole events.

use {
    super::{
        place::Place,
        step::TryError, //
    },
    crate::{
        http::ReadError,
        state::Shared,
        upstream::{
            Events,
            EventsError,
            Reply, //
        },
    },
};

/// A replica's stream, and the place that it takes there.
#[derive(Debug)]
pub(super) struct Source {
    pub(super) place: Place,
    pub(super) stream: Stream,
}

/// A stream that a replica has begun to send.
#[derive(Debug)]
pub(super) struct Stream {
    pub(super) reply: Reply,
    events: Events,
    /// Whole events that were not passed on yet.
    ready: Vec<u8>,
    ended: bool,
}

impl Source {
    /// Takes over a stream that goes on behind an event.
    pub(super) fn new(place: Place, reply: Reply, after: Option<u64>) -> Source {
        let stream = Stream::new(reply, after);
        Source { place, stream }
    }

    /// Reads some more of the stream.
    ///
    /// # Errors
    ///
    /// Where it breaks, or is no row of events.
    pub(super) async fn read(&mut self) -> Result<(), TryError> {
        self.stream.read(&mut self.place).await
    }

    /// Gives the place back after the whole stream.
    pub(super) fn finish(self, gw: &Shared) {
        self.place.answered(true);
        self.stream.reply.recycle(&gw.pool, &self.place.replica);
    }
}

impl Stream {
    /// Takes over a stream that goes on behind an event.
    pub(super) fn new(reply: Reply, after: Option<u64>) -> Stream {
        Stream {
            reply,
            events: Events::after(after),
            ready: Vec::new(),
            ended: false,
        }
    }

    /// Returns the last whole event that has come.
    pub(super) fn last(&self) -> Option<u64> {
        self.events.last()
    }

    /// Tells whether all events have come.
    pub(super) fn ended(&self) -> bool {
        self.ended
    }

    /// Tells whether whole events have come that were not passed on yet.
    pub(super) fn has_more(&self) -> bool {
        !self.ready.is_empty()
    }

    /// Takes the whole events that were not passed on yet.
    pub(super) fn take(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.ready)
    }

    /// Reads some more, and notes at the replica's place that it came.
    ///
    /// # Errors
    ///
    /// Where it breaks, or is no row of events.
    pub(super) async fn read(&mut self, place: &mut Place) -> Result<(), TryError> {
        let piece = self.reply.body.piece(&mut self.reply.conn).await?;
        let Some(piece) = piece else {
            return self.end();
        };
        let whole = self.events.push(&piece).map_err(broken)?;
        if place.since_first().is_none() && self.events.count() > 0 {
            place.first_event();
        } else {
            place.heard();
        }
        self.ready.extend_from_slice(&whole);
        Ok(())
    }

    fn end(&mut self) -> Result<(), TryError> {
        if self.events.inside() {
            // The replica stopped in the middle of an event and ended the body all the same.
            return Err(TryError::from(ReadError::Body("it ends within an event")));
        }
        self.ended = true;
        Ok(())
    }
}

fn broken(e: EventsError) -> TryError {
    log::debug!("event=stream outcome=broken cause={e:?}");
    TryError::from(ReadError::Body(match e {
        EventsError::TooLong => "an event is too long",
        EventsError::Gap(..) => "events are missing",
    }))
}
