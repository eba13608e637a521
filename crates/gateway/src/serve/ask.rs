//! One try of a request, up to the head of an answer.

use {
    super::{
        admit::Request,
        course::Course,
        place::Place,
        step::{
            Step,
            TryError, //
        },
        trail::note, //
    },
    crate::{
        state::Shared,
        upstream::{
            call,
            has_ended,
            Outgoing,
            Reply,
            Sent, //
        },
    },
};

/// Sends a request to the replica of a place, from behind an event on, and reads the head of an
/// answer.
///
/// # Errors
///
/// `sent` tells whether the replica may have got it.
pub(super) async fn send(
    gw: &Shared,
    req: &Request,
    place: &Place,
    after: Option<u64>,
    sent: &Sent,
) -> Result<Reply, TryError> {
    let out = Outgoing {
        id: &req.id,
        method: &req.method,
        target: &req.target,
        headers: &req.headers,
        workspace: req.workspace.as_ref().map(|w| w.as_str()),
        last_event: after,
        source: place.source,
        body: &req.body,
        until: req.until,
        kind: req.route.kind,
    };
    Ok(call(&gw.pool, &gw.dialect, &place.replica, &out, sent).await?)
}

/// Returns an answer that counts, and notes what became of the try where it gave none.
///
/// # Errors
///
/// What came of the try.
pub(super) async fn judge(
    gw: &Shared,
    req: &Request,
    place: &Place,
    course: &mut Course,
    sent: &Sent,
    called: Result<Reply, TryError>,
) -> Result<Reply, Step> {
    let reply = match called {
        Ok(reply) => reply,
        Err(e) => {
            failed(gw, req, place, course, "lost", &e).await;
            if sent.any() {
                course.may_have_run = true;
                return Err(Step::Lost);
            }
            course.did_not_run(&place.replica.id);
            return Err(Step::Unreached);
        }
    };
    if reply.not_run(&gw.dialect) {
        let status = reply.head.status().to_string();
        note(req, place, course, "turned-away", &status);
        reply.recycle(&gw.pool, &place.replica);
        course.did_not_run(&place.replica.id);
        return Err(Step::TurnedAway);
    }
    if !reply.signed(&gw.dialect) {
        failed(gw, req, place, course, "broken", &TryError::Unsigned).await;
        course.may_have_run = true;
        return Err(Step::Lost);
    }
    Ok(reply)
}

/// Notes why a try gave no answer, and what that says of the replica.
pub(super) async fn failed(
    gw: &Shared,
    req: &Request,
    place: &Place,
    course: &mut Course,
    outcome: &str,
    e: &TryError,
) {
    e.note(place);
    note(req, place, course, outcome, &e.to_string());
    if e.lost_connection() && place.is_early() && has_ended(&place.replica, &gw.pool).await {
        place.ended();
    }
}

/// Tells whether an answer is a stream of events, as its request asked for.
pub(super) fn is_stream(req: &Request, reply: &Reply) -> bool {
    let kind = reply.head.headers.get("content-type").unwrap_or_default();
    let good = (200..300).contains(&reply.head.status());
    req.route.streams() && good && kind.starts_with("text/event-stream")
}
