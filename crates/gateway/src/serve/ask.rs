//! The first answer to a request, of the replica that was chosen or of another where that one is
//! silent.

use {
    super::{
        admit::Request,
        course::Course,
        hedge::{
            Hedge,
            Hedged,
            Opening, //
        },
        place::Place,
        plain::{
            hold,
            Held, //
        },
        sending::{
            is_stream,
            send,
            Try, //
        },
        silence::{
            patience,
            quiet, //
        },
        source::{
            Source,
            Stream, //
        },
        step::Step,
    },
    crate::{
        model::RouteKind,
        state::Shared,
        upstream::Reply, //
    },
    std::sync::Arc,
};

/// What a try gave.
pub(super) enum Asked {
    /// The head of an answer.
    Reply(Place, Reply),
    /// A stream that has begun.
    Stream(Source),
    /// An answer that is no stream.
    Whole(Whole),
}

/// What a replica gave that was asked for a stream.
pub(super) enum Streamed {
    Source(Source),
    /// The head of an answer that is no stream.
    Reply(Place, Reply),
}

/// An answer that is no stream, and its replica.
pub(super) struct Whole {
    pub(super) place: Place,
    pub(super) held: Held,
}

/// Sends a request to the replica of a place, and returns an answer that counts.
///
/// # Errors
///
/// What came of the try, where it gave none.
pub(super) async fn ask(
    gw: &Arc<Shared>,
    req: &Request,
    place: Place,
    course: &mut Course,
    after: Option<u64>,
) -> Result<Asked, Step> {
    match req.route.kind {
        RouteKind::Stream { resume: true } => {
            match ask_resumable(gw, req, place, course, after).await? {
                Streamed::Source(source) => Ok(Asked::Stream(source)),
                Streamed::Reply(place, reply) => Ok(Asked::Reply(place, reply)),
            }
        }
        RouteKind::Idempotent => ask_idempotent(gw, req, place, course).await,
        RouteKind::Stream { resume: false } | RouteKind::Single => {
            ask_once(gw, req, place, course, after).await
        }
    }
}

/// Asks for a stream that may go on at another replica.
///
/// # Errors
///
/// What came of the try, where it gave no answer.
pub(super) async fn ask_resumable(
    gw: &Arc<Shared>,
    req: &Request,
    place: Place,
    course: &mut Course,
    after: Option<u64>,
) -> Result<Streamed, Step> {
    let sent = course.start(&place.replica.id);
    let own = send(gw, req, &place, after, &sent);
    let hedge = Hedge::new(gw, req, &place, after);
    let silent = quiet(&hedge.watch);
    let first = hedge.run(course, silent, own, open_stream).await;
    course.end(&sent);
    let called = match first {
        Ok(Hedged::Other(source)) => return Ok(Streamed::Source(source)),
        Ok(Hedged::Own(reply)) => Ok(reply),
        Err(e) => Err(e),
    };
    let mut own = Try {
        gw,
        req,
        place,
        course,
        after,
        sent: &sent,
    };
    let reply = own.judge(called).await?;
    let place = own.place;
    Ok(match is_stream(req, &reply) {
        true => Streamed::Source(Source::new(place, reply, after)),
        false => Streamed::Reply(place, reply),
    })
}

async fn ask_idempotent(
    gw: &Arc<Shared>,
    req: &Request,
    place: Place,
    course: &mut Course,
) -> Result<Asked, Step> {
    let sent = course.start(&place.replica.id);
    let call = send(gw, req, &place, None, &sent);
    let own = async { Ok(hold(call.await?).await?) };
    let hedge = Hedge::new(gw, req, &place, None);
    let first = hedge.run(course, patience(req), own, open_whole).await;
    course.end(&sent);
    let called = match first {
        Ok(Hedged::Other(whole)) => return Ok(Asked::Whole(whole)),
        Ok(Hedged::Own(held)) => Ok(held),
        Err(e) => Err(e),
    };
    let mut own = Try {
        gw,
        req,
        place,
        course,
        after: None,
        sent: &sent,
    };
    let held = own.judge(called).await?;
    let place = own.place;
    Ok(Asked::Whole(Whole { place, held }))
}

/// Asks for what must not run twice: its replica is waited for as long as there is time.
async fn ask_once(
    gw: &Arc<Shared>,
    req: &Request,
    place: Place,
    course: &mut Course,
    after: Option<u64>,
) -> Result<Asked, Step> {
    let sent = course.start(&place.replica.id);
    let called = send(gw, req, &place, after, &sent).await;
    course.end(&sent);
    let mut own = Try {
        gw,
        req,
        place,
        course,
        after,
        sent: &sent,
    };
    let reply = own.judge(called).await?;
    Ok(Asked::Reply(own.place, reply))
}

/// Opens the stream of another replica, and waits for its next event.
pub(super) fn open_stream(mut other: Try<'_>) -> Opening<'_, Source> {
    Box::pin(async move {
        let called = other.send().await;
        let reply = other.judge(called).await?;
        if !is_stream(other.req, &reply) {
            return Err(other.answered_badly(reply.head.status()));
        }
        let mut stream = Stream::new(reply, other.after);
        while !stream.ended() && !stream.has_more() {
            if let Err(e) = stream.read(&mut other.place).await {
                return Err(other.broken(&e).await);
            }
        }
        Ok(Source {
            place: other.place,
            stream,
        })
    })
}

/// Takes the whole answer of another replica, unless it is a failure.
fn open_whole(mut other: Try<'_>) -> Opening<'_, Whole> {
    Box::pin(async move {
        let called = other.send().await;
        let reply = other.judge(called).await?;
        let status = reply.head.status();
        if status >= 500 {
            return Err(other.answered_badly(status));
        }
        match hold(reply).await {
            Ok(held) => Ok(Whole {
                place: other.place,
                held,
            }),
            Err(e) => Err(other.broken(&e.into()).await),
        }
    })
}
