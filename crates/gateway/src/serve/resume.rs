//! Streams that have begun and go on at another replica.

use {
    super::{
        admit::Request,
        ask::{
            ask,
            is_stream, //
        },
        course::Course,
        place::Place,
        source::Source,
        step::{
            Cut,
            Refusal,
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

/// Pause before another replica is looked for, where none was to be had.
const PAUSE: Duration = Duration::from_millis(50);
/// Longest such pause. It is doubled each time that a replica turns the request away, as each
/// such try is taken from the retry budget.
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
            Ok(asked) => asked,
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

/// Waits for a place at a replica that did not run the request, and for a retry of the budget.
async fn seek(gw: &Arc<Shared>, req: &Request, course: &mut Course) -> Result<Place, Cut> {
    loop {
        course.may_resume(req).map_err(Cut::NoRetry)?;
        if let Some(place) = find(gw, req, course)? {
            return Ok(place);
        }
        task::sleep(PAUSE).await;
    }
}

fn find(gw: &Arc<Shared>, req: &Request, course: &mut Course) -> Result<Option<Place>, Cut> {
    if !course.has_budget(gw, req) {
        course.cause = "the retry budget is spent".to_owned();
        return Ok(None);
    }
    match gw.place(req, &course.tried, course.claim()) {
        Ok(place) => {
            course.take_retry(gw, req);
            Ok(Some(place))
        }
        Err(refused) if refused.why == Refusal::Held => Err(Cut::Refused(refused.why)),
        Err(refused) => {
            course.cause = refused.why.text().to_owned();
            // Those that had no place or could not be reached a moment ago may take it now.
            course.forget_unrun();
            Ok(None)
        }
    }
}
