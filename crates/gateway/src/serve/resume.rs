//! Streams that have begun and go on at another replica.

use {
    super::{
        admit::Request,
        ask::{
            ask_resumable,
            Streamed, //
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
        match ask_resumable(gw, req, place, course, after).await {
            Ok(Streamed::Source(source)) => {
                course.cause.clear();
                return Ok(source);
            }
            Ok(Streamed::Reply(place, reply)) => {
                let status = reply.head.status();
                place.answered(status < 500);
                note(req, &place, course, "failed", &status.to_string());
            }
            Err(step) => backoff.after(&step),
        }
    }
}
