//! The tries of one request, until one of them answers it.

use {
    super::{
        admit::Request,
        ask::{
            ask,
            Asked,
            Whole, //
        },
        course::{
            count_first,
            Course, //
        },
        place::Place,
        plain::{
            hold,
            pass_plain, //
        },
        sending::{
            failed,
            is_stream, //
        },
        source::Source,
        step::{
            Flow,
            Step, //
        },
        stream::pass_stream, //
    },
    crate::state::Shared,
    async_std::net::TcpStream,
    policy::AnswerState,
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
    loop {
        let place = match gw.place(req, &course.tried, AnswerState::NotStarted) {
            Ok(mut place) => {
                course.inputs = std::mem::take(&mut place.inputs);
                place
            }
            Err(refused) => {
                course.inputs = refused.inputs;
                return Flow::Own(course.given_up(refused.why.text(), refused.after));
            }
        };
        let again = match attempt(gw, req, place, writer, course).await {
            Step::End(flow) => return flow,
            Step::Again => Ok(()),
            Step::Unreached => course.may_try_unreached(req.until),
            Step::TurnedAway => course.may_send(gw, req, true),
            Step::Lost => course.may_send(gw, req, false),
        };
        if again.is_err() {
            return Flow::Own(course.given_up("no replica answered it", TURNED_AWAY));
        }
        metrics::counter!("chervilwind_retries").increment(1);
    }
}

/// Tries one replica for a request of whose answer the caller has nothing yet.
async fn attempt(
    gw: &Arc<Shared>,
    req: &Request,
    place: Place,
    writer: &mut TcpStream,
    course: &mut Course,
) -> Step {
    let (place, reply) = match ask(gw, req, place, course, req.last_event).await {
        Ok(Asked::Reply(place, reply)) => (place, reply),
        Ok(Asked::Stream(source)) => return pass_stream(gw, req, source, writer, course).await,
        Ok(Asked::Whole(Whole { place, held })) => {
            return pass_plain(gw, req, &place, held, writer, course).await;
        }
        Err(step) => return step,
    };
    if is_stream(req, &reply) {
        let source = Source::new(place, reply, req.last_event);
        return pass_stream(gw, req, source, writer, course).await;
    }
    match hold(reply).await {
        Ok(held) => pass_plain(gw, req, &place, held, writer, course).await,
        Err(e) => {
            failed(gw, req, &place, course, "broken", &e.into()).await;
            course.may_have_run = true;
            Step::Lost
        }
    }
}
