//! What is logged and counted of requests, so that a failure can be explained afterwards.

use {
    super::{
        admit::Request,
        answer::Own,
        course::{
            budget_left,
            Course, //
        },
        place::{
            Place,
            Watch, //
        },
        step::Cut, //
    },
    crate::state::Shared,
    std::time::Instant,
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

/// Logs and counts an answer that had begun and was cut off.
///
/// As a warning, it is not left out where a flood of requests uses up the lines of a second.
pub(super) fn was_cut(gw: &Shared, req: &Request, course: &mut Course, cut: Cut) {
    metrics::counter!("chervilwind_answers_cut", "cause" => cut.label()).increment(1);
    if course.cause.is_empty() {
        course.cause = cut.label().to_owned();
    }
    log::warn!(
        "event=cut cause={} id={} route={} service={} replica={} tries={} sends={} attempts={} \
         quiet-ms={} left-ms={} budget={} version={} last-cause={:?}",
        cut.label(),
        req.id,
        req.route.name,
        req.service,
        course.tried.last().map_or("-", |r| r.as_str()),
        course.tried.len(),
        course.sends,
        req.route.max_attempts,
        course.last.map_or(-1, |at| at.elapsed().as_millis() as i64),
        req.until
            .saturating_duration_since(Instant::now())
            .as_millis(),
        budget_left(gw, req),
        req.version,
        course.cause
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

/// Logs that a replica is silent while it has a stream that may go on elsewhere.
pub(super) fn note_silent(req: &Request, watch: &Watch, course: &Course) {
    log::info!(
        "event=try outcome=silent id={} digest={} replica={} send={} ms={} begun={}",
        req.id,
        req.digest,
        watch.replica.id,
        course.sends,
        watch.silent().as_millis(),
        course.begun
    );
}
