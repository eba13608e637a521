//! One try of a request, up to the head of an answer.

use {
    super::{
        admit::Request,
        course::Course,
        place::Place,
        silence::silence,
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
    futures_lite::future::or,
};

/// Sends a request to the replica of a place, and returns the head of an answer that counts.
///
/// # Errors
///
/// What came of the try, where it gave none.
pub(super) async fn ask(
    gw: &Shared,
    req: &Request,
    place: Place,
    course: &mut Course,
    after: Option<u64>,
) -> Result<(Place, Reply), Step> {
    course.start(&place.replica.id);
    let last = course.is_last(req);
    let called = called(gw, req, &place, after, last, &mut course.sent).await;
    let reached = std::mem::take(&mut course.sent).any;
    course.sends += u32::from(reached);
    let reply = match called {
        Ok(reply) => reply,
        Err(e) => {
            failed(gw, req, &place, course, "lost", &e).await;
            course.may_have_run |= reached;
            return match reached {
                true => Err(Step::Lost),
                false => {
                    course.did_not_run(&place.replica.id);
                    Err(Step::Unreached)
                }
            };
        }
    };
    let status = reply.head.status();
    if reply.not_run(&gw.dialect) {
        note(req, &place, course, "turned-away", &status.to_string());
        reply.recycle(&gw.pool, &place.replica);
        course.did_not_run(&place.replica.id);
        return Err(Step::TurnedAway);
    }
    if !reply.signed(&gw.dialect) {
        failed(gw, req, &place, course, "broken", &TryError::Unsigned).await;
        course.may_have_run = true;
        return Err(Step::Lost);
    }
    Ok((place, reply))
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

async fn called(
    gw: &Shared,
    req: &Request,
    place: &Place,
    after: Option<u64>,
    last: bool,
    sent: &mut Sent,
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
    let call = async {
        let reply = call(&gw.pool, &gw.dialect, &place.replica, &out, sent).await?;
        Ok(reply)
    };
    or(call, silence(req, &place.watch(), last)).await
}

/// Tells whether an answer is a stream of events, as its request asked for.
pub(super) fn is_stream(req: &Request, reply: &Reply) -> bool {
    let kind = reply.head.headers.get("content-type").unwrap_or_default();
    let good = (200..300).contains(&reply.head.status());
    req.route.streams() && good && kind.starts_with("text/event-stream")
}
