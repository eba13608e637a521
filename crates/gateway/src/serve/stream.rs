//! A stream that is passed on event by event.

use {
    super::{
        admit::Request,
        course::Course,
        place::Place,
        plain::chunked_head,
        silence::silence,
        step::{
            Cut,
            Flow,
            TryError, //
        }, //
    },
    crate::{
        http::{
            chunk,
            ReadError,
            LAST_CHUNK, //
        },
        state::Shared,
        upstream::{
            Events,
            EventsError,
            Reply, //
        },
    },
    async_std::net::TcpStream,
    futures_lite::{
        future::or,
        AsyncWriteExt, //
    },
};

/// Passes on the whole events of a replica's stream as they come.
///
/// The head goes with the first event: until then a try that breaks can be followed by
/// another unseen.
///
/// # Errors
///
/// Where the replica's stream breaks; `events` tells what the caller has.
pub(super) async fn pass_stream(
    gw: &Shared,
    req: &Request,
    place: &mut Place,
    mut reply: Reply,
    writer: &mut TcpStream,
    course: &mut Course,
    events: &mut Events,
) -> Result<Flow, TryError> {
    *events = Events::after(events.last());
    let mut first = true;
    loop {
        let piece = next(req, place, &mut reply, course.is_last(req)).await?;
        let Some(piece) = piece else {
            break;
        };
        let whole = events.push(&piece).map_err(broken)?;
        if first && events.count() > 0 {
            first = false;
            place.first_event();
        } else {
            place.heard();
        }
        if whole.is_empty() {
            continue;
        }
        let mut out = begin(gw, &reply, course);
        chunk(&mut out, &whole);
        if writer.write_all(&out).await.is_err() {
            return Ok(Flow::Cut(Cut::Caller));
        }
        course.passed();
    }
    if events.inside() {
        // The replica stopped in the middle of an event and ended the body all the same.
        return Err(TryError::from(ReadError::Body("it ends within an event")));
    }
    let mut out = begin(gw, &reply, course);
    out.extend_from_slice(LAST_CHUNK);
    let written = writer.write_all(&out).await;
    reply.recycle(&gw.pool, &place.replica);
    if written.is_err() {
        return Ok(Flow::Cut(Cut::Caller));
    }
    place.answered(true);
    Ok(Flow::Passed)
}

/// Waits for bytes of the stream, or until the replica counts as silent.
async fn next(
    req: &Request,
    place: &Place,
    reply: &mut Reply,
    last: bool,
) -> Result<Option<Vec<u8>>, TryError> {
    let piece = async { Ok(reply.body.piece(&mut reply.conn).await?) };
    or(piece, silence(req, place, last)).await
}

/// Returns the head of the answer where the caller does not have it yet.
fn begin(gw: &Shared, reply: &Reply, course: &mut Course) -> Vec<u8> {
    if course.begun {
        return Vec::new();
    }
    chunked_head(gw, reply, course)
}

fn broken(e: EventsError) -> TryError {
    log::debug!("event=stream outcome=broken cause={e:?}");
    TryError::from(ReadError::Body(match e {
        EventsError::TooLong => "an event is too long",
        EventsError::Gap(..) => "events are missing",
    }))
}
