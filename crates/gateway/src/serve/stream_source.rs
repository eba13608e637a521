//! A replica's stream, split into complete events.

use {
    super::{
        outcome::AttemptError,
        permit::SlotPermit,
        silence::SilenceWatch, //
    },
    crate::{
        http::ReadError,
        state::Shared,
        upstream::{
            EventError,
            EventSplitter,
            Reply, //
        },
    },
};

/// A replica's stream, with the permit for the slot that it takes there.
#[derive(Debug)]
pub(super) struct StreamSource {
    pub(super) permit: SlotPermit,
    pub(super) stream: EventStream,
    pub(super) watch: SilenceWatch,
}

/// A stream that a replica has started to send.
#[derive(Debug)]
pub(super) struct EventStream {
    pub(super) reply: Reply,
    events: Box<EventSplitter>,
    /// Complete events that were not forwarded yet.
    pending: Vec<u8>,
    ended: bool,
    /// Why the stream breaks off after the pending events.
    failure: Option<AttemptError>,
}

impl StreamSource {
    /// Wraps a stream that continues after the given event.
    pub(super) fn new(
        gw: &Shared,
        permit: SlotPermit,
        reply: Reply,
        after: Option<u64>,
    ) -> StreamSource {
        StreamSource::of_stream(permit, EventStream::new(gw, reply, after))
    }

    /// Wraps a stream of which a part was read already.
    pub(super) fn of_stream(permit: SlotPermit, stream: EventStream) -> StreamSource {
        StreamSource {
            watch: SilenceWatch::new(permit.monitor()),
            permit,
            stream,
        }
    }

    /// Reads more of the stream.
    ///
    /// # Errors
    ///
    /// The stream breaks off, or is not a valid sequence of events.
    pub(super) async fn read(&mut self) -> Result<(), AttemptError> {
        self.stream.read(&mut self.permit).await
    }

    /// Releases the slot at the end of the stream, and keeps the connection for reuse.
    pub(super) fn finish(self, gw: &Shared) {
        self.permit.record_answer(true);
        self.stream.reply.recycle(&gw.pool, &self.permit.replica);
    }
}

impl EventStream {
    /// Wraps a stream that continues after the given event.
    pub(super) fn new(gw: &Shared, reply: Reply, after: Option<u64>) -> EventStream {
        EventStream {
            reply,
            events: Box::new(EventSplitter::new(&gw.limiter, after)),
            pending: Vec::new(),
            ended: false,
            failure: None,
        }
    }

    /// Returns the last complete event received.
    pub(super) fn last_event(&self) -> Option<u64> {
        self.events.last()
    }

    /// Returns whether all events were received.
    pub(super) fn ended(&self) -> bool {
        self.ended
    }

    /// Returns whether complete events wait to be forwarded.
    pub(super) fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Takes the complete events that were not forwarded yet.
    pub(super) fn take_pending(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.pending)
    }

    /// Reads more of the stream, with all that has arrived, and records with the permit that the
    /// replica is alive.
    ///
    /// # Errors
    ///
    /// The stream breaks off, or is not a valid sequence of events.
    pub(super) async fn read(&mut self, permit: &mut SlotPermit) -> Result<(), AttemptError> {
        if let Some(failure) = self.failure.take() {
            return Err(failure);
        }
        let Some(part) = self.reply.read_part().await? else {
            permit.check_complete(&self.reply).await?;
            return self.finish_events();
        };
        let split = self.split_available(part);
        if permit.since_first_event().is_none() && self.events.has_started() {
            permit.record_first_event();
        } else if self.has_pending() {
            // Comments, and events that the caller has, may come without end.
            permit.record_output();
        }
        match split {
            // Complete events are forwarded before the failure counts.
            Err(e) if self.has_pending() => self.failure = Some(e),
            split => return split,
        }
        Ok(())
    }

    /// Splits a part, and those that are buffered after it, into events.
    fn split_available(&mut self, part: Vec<u8>) -> Result<(), AttemptError> {
        let mut next = Some(part);
        while let Some(part) = next {
            let complete = self.events.push(&part).map_err(event_error)?;
            self.pending.extend_from_slice(&complete);
            next = self.reply.body.buffered_part(&mut self.reply.conn)?;
        }
        match self.reply.body.ended() {
            true => self.finish_events(),
            false => Ok(()),
        }
    }

    fn finish_events(&mut self) -> Result<(), AttemptError> {
        if self.events.is_mid_event() {
            return Err(AttemptError::from(
                match self.reply.body.ends_with_connection() {
                    true => ReadError::Closed,
                    // The replica stopped in the middle of an event but ended the body properly.
                    false => ReadError::Body("it ends within an event"),
                },
            ));
        }
        self.pending.extend(self.events.take_comments());
        self.ended = true;
        Ok(())
    }
}

fn event_error(e: EventError) -> AttemptError {
    log::debug!("event=stream outcome=broken cause={e:?}");
    AttemptError::from(ReadError::Body(match e {
        EventError::TooLong => "an event is too long",
        EventError::NoMemory => "a long event while memory is short",
        EventError::Gap(..) => "events are missing",
    }))
}
