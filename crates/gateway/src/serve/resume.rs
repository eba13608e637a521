//! Streams that have begun and go on at another replica.

use {
    super::{
        admit::Request,
        ask::is_stream,
        asked::{
            ask,
            Asked, //
        },
        course::Course,
        seek::{
            seek,
            Backoff, //
        },
        source::Source,
        step::Cut,
        trail::note,
    },
    crate::state::Shared,
    std::sync::Arc,
};

/// Lets a stream that has begun go on behind an event, at whichever replica takes it first.
///
/// Its caller has a part of the answer, and places fall free all the time. So it waits for one
/// as long as its time lasts, along with at most as many others as callers may be connected.
///
/// # Errors
///
/// Why it can't go on.
pub(super) async fn resume(
    gw: &Arc<Shared>,
    req: &Request,
    course: &mut Course,
    after: Option<u64>,
) -> Result<Source, Cut> {
    let mut backoff = Backoff::default();
    loop {
        backoff.wait().await;
        let place = seek(gw, req, course).await?;
        match ask(gw, req, place, course, after).await {
            Ok(Asked::Stream(source)) => return Ok(source),
            Ok(Asked::Reply(place, reply)) if is_stream(req, &reply) => {
                course.cause.clear();
                return Ok(Source::new(place, reply, after));
            }
            Ok(Asked::Reply(place, reply)) => {
                let status = reply.head.status();
                place.answered(status < 500);
                note(req, &place, course, "failed", &status.to_string());
            }
            Ok(Asked::Whole(_)) => {}
            Err(step) => backoff.after(&step),
        }
    }
}
