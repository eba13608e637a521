//! Streams that have begun and go on at another replica.

use {
    super::{
        admit::Request,
        ask::is_stream,
        course::Course,
        hedge::{
            ask,
            Asked, //
        },
        seek::{
            seek,
            PAUSE, //
        },
        source::Source,
        step::{
            Cut,
            Step, //
        },
        trail::note,
    },
    crate::state::Shared,
    async_std::task,
    std::{
        sync::Arc,
        time::Duration, //
    },
};

/// Longest pause after a replica turned the request away. Pauses double up to it, as each try is
/// taken from the retry budget.
const PAUSE_MAX: Duration = Duration::from_millis(400);

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
    let mut pause = PAUSE;
    loop {
        let place = seek(gw, req, course).await?;
        let (place, reply) = match ask(gw, req, place, course, after).await {
            Ok(Asked::Reply(place, reply)) => (place, reply),
            Ok(Asked::Stream(source)) => return Ok(source),
            Err(Step::TurnedAway) => {
                task::sleep(pause).await;
                pause = PAUSE_MAX.min(pause * 2);
                continue;
            }
            Err(_) => continue,
        };
        if is_stream(req, &reply) {
            return Ok(Source::new(place, reply, after));
        }
        let status = reply.head.status();
        place.answered(status < 500);
        note(req, &place, course, "failed", &status.to_string());
    }
}
