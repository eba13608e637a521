//! What is logged and counted of requests, so that a failure can be explained afterwards.

use super::{
    admit::Request,
    answer::Own,
    course::Course,
    place::Place, //
};

/// Logs and counts a request that was refused before it was placed.
pub(super) fn turned_down(id: Option<&str>, own: &Own) {
    log::info!(
        "event=request outcome=refused id={} status={} cause={:?}",
        id.unwrap_or("-"),
        own.status,
        own.why
    );
    count(own.status, "-");
}

fn count(status: u16, route: &str) {
    metrics::counter!("chervilwind_answers", "status" => status.to_string(), "route" => route.to_owned())
        .increment(1);
}

/// Logs how a request ended, and counts it.
pub(super) fn ended(req: &Request, course: &Course, gone: bool, kept: bool) {
    let first = course.first.map(|at| at - req.arrived);
    if let Some(first) = first {
        metrics::histogram!("chervilwind_first_seconds").record(first.as_secs_f64());
    }
    count(course.status, &req.route.name);
    let outcome = match (gone, course.begun, kept) {
        (true, _, _) => "caller-gone",
        (_, true, true) => "answered",
        (_, true, false) => "cut",
        _ => "refused",
    };
    log::info!(
        "event=request outcome={outcome} id={} digest={} status={} route={} service={} workspace={} \
         replica={} sends={} first-ms={} ms={} version={} cause={:?} tokens={} {}",
        req.id,
        req.digest,
        course.status,
        req.route.name,
        req.service,
        req.workspace.as_ref().map_or("-", |w| w.as_str()),
        course.tried.last().map_or("-", |r| r.as_str()),
        course.sends,
        first.map_or(-1, |d| d.as_millis() as i64),
        req.arrived.elapsed().as_millis(),
        req.version,
        course.cause,
        req.prompt.as_ref().map_or(0, |p| p.total),
        course.inputs
    );
}

/// Logs a try that gave no answer.
pub(super) fn note(req: &Request, place: &Place, course: &mut Course, outcome: &str, cause: &str) {
    log::info!(
        "event=try outcome={outcome} id={} digest={} replica={} send={} ms={} event-ms={} \
         cause={cause:?}",
        req.id,
        req.digest,
        place.replica.id,
        course.sends,
        place.ran().as_millis(),
        place.since_first().map_or(-1, |d| d.as_millis() as i64)
    );
    course.cause = cause.to_owned();
}
