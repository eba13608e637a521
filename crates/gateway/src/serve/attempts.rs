//! The tries of one request, until one of them answers it.

use {
    super::{
        admit::Request,
        course::{
            count_first,
            Course, //
        },
        place::Place,
        plain::pass_plain,
        silence::silence,
        step::{
            Cut,
            Flow,
            Step,
            TryError, //
        },
        stream::pass_stream,
        trail::note, //
    },
    crate::{
        state::Shared,
        upstream::{
            call,
            has_ended,
            Events,
            Outgoing,
            Reply,
            Sent, //
        },
    },
    async_std::net::TcpStream,
    futures_lite::future::or,
    std::{
        sync::Arc,
        time::Duration, //
    },
};

/// When to come back after a replica turned a request away.
const TURNED_AWAY: Duration = Duration::from_millis(250);

/// Serves a request and writes its answer, unless it is one of our own.
pub(crate) async fn serve(
    gw: &Arc<Shared>,
    req: &Request,
    writer: &mut TcpStream,
    course: &mut Course,
) -> Flow {
    count_first(gw, req);
    let mut events = Events::after(req.last_event);
    loop {
        let place = match gw.place(req, &course.tried, course.claim()) {
            Ok(mut place) => {
                course.inputs = std::mem::take(&mut place.inputs);
                place
            }
            Err(refused) if course.begun => {
                course.cause = refused.why.text().to_owned();
                return Flow::Cut(Cut::Refused(refused.why));
            }
            Err(refused) => {
                course.inputs = refused.inputs;
                return Flow::Own(course.given_up(refused.why.text(), refused.after));
            }
        };
        let step = attempt(gw, req, place, writer, course, &mut events).await;
        let again = match step {
            Step::End(flow) => return flow,
            Step::Again => Ok(()),
            Step::Unreached => course.may_try_unreached(req.until),
            Step::TurnedAway => course.may_send(gw, req, true),
            Step::Lost => course.may_send(gw, req, false),
        };
        if let Err(why) = again {
            return match course.begun {
                true => Flow::Cut(Cut::NoRetry(why)),
                false => Flow::Own(course.given_up("no replica answered it", TURNED_AWAY)),
            };
        }
        metrics::counter!("chervilwind_retries").increment(1);
    }
}

async fn attempt(
    gw: &Arc<Shared>,
    req: &Request,
    mut place: Place,
    writer: &mut TcpStream,
    course: &mut Course,
    events: &mut Events,
) -> Step {
    course.tried.push(place.replica.id.clone());
    let last = course.is_last(req);
    let called = called(gw, req, &place, events, last, &mut course.sent).await;
    let reached = std::mem::take(&mut course.sent).any;
    course.sends += u32::from(reached);
    let reply = match called {
        Ok(reply) if reply.not_run(&gw.dialect) => {
            note(
                req,
                &place,
                course,
                "turned-away",
                &reply.head.status().to_string(),
            );
            reply.recycle(&gw.pool, &place.replica);
            return Step::TurnedAway;
        }
        Ok(reply) => reply,
        Err(e) => {
            failed(gw, req, &place, course, "lost", &e).await;
            course.may_have_run |= reached;
            return match reached {
                true => Step::Lost,
                false => Step::Unreached,
            };
        }
    };
    let streamed = streams(req, &reply);
    if course.begun && !streamed {
        return Step::Lost;
    }
    let passed = match (reply.signed(&gw.dialect), streamed) {
        (false, _) => Err(TryError::Unsigned),
        (true, true) => pass_stream(gw, req, &mut place, reply, writer, course, events)
            .await
            .map(Step::End),
        (true, false) => pass_plain(gw, req, &place, reply, writer, course).await,
    };
    match passed {
        Ok(step) => step,
        Err(e) => {
            failed(gw, req, &place, course, "broken", &e).await;
            course.may_have_run = true;
            Step::Lost
        }
    }
}

/// Notes why a try gave no answer, and what that says of the replica.
async fn failed(
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
    events: &Events,
    last: bool,
    sent: &mut Sent,
) -> Result<Reply, TryError> {
    let out = Outgoing {
        id: &req.id,
        method: &req.method,
        target: &req.target,
        headers: &req.headers,
        workspace: req.workspace.as_ref().map(|w| w.as_str()),
        last_event: events.last(),
        source: place.source,
        body: &req.body,
        until: req.until,
        kind: req.route.kind,
    };
    let call = async {
        let reply = call(&gw.pool, &gw.dialect, &place.replica, &out, sent).await?;
        Ok(reply)
    };
    or(call, silence(req, place, last)).await
}

fn streams(req: &Request, reply: &Reply) -> bool {
    let kind = reply.head.headers.get("content-type").unwrap_or_default();
    let good = (200..300).contains(&reply.head.status());
    req.route.streams() && good && kind.starts_with("text/event-stream")
}
