//! What is told of a request's end: to the dispatch, and to the caller.

use {
    super::work::{
        Work,
        SILENCE, //
    },
    callers::{
        Reason, //
        Refused,
        Response,
    },
    endpoints::{
        CallError,
        End,
        Header, //
    },
    operators::Unit,
    policy::{
        Completion,
        Outcome,
        Units, //
    },
    std::time::{
        Duration,
        Instant, //
    },
};

/// What the dispatch is told of the end of a call that ran for a while.
pub(crate) fn finish(work: &Work, end: &End, ran: Duration) -> Completion {
    // One workspace whose deadlines are too short for any endpoint would have all
    // replicas taken for failing. It would show as capacity that idles for everyone.
    let rushed = ran < SILENCE && work.deadline <= Instant::now();
    let answered = end.outcome == Outcome::Answered;
    let units = match work.unit {
        Unit::Tokens => Units(f64::from(end.tokens)),
        Unit::Requests if answered => work.weight,
        Unit::Requests => Units(0.0),
    };
    Completion {
        units,
        first_byte: end.first,
        token_gap: end.gap,
        ok: answered || end.cause.is_none() || rushed,
        refund: units == Units(0.0),
    }
}

/// What a caller is told whose answer was lost or never came about.
pub(crate) fn lost(end: &End) -> Refused {
    let cause = end
        .cause
        .as_ref()
        .map_or("no cause is known".to_owned(), |c| c.to_string());
    let (why, message) = match end.outcome {
        Outcome::NotRun => (Reason::NoEndpoint, format!("no endpoint took it: {cause}")),
        Outcome::Failed => (Reason::EndpointFailed, cause),
        _ if end.cause == Some(CallError::Deadline) => (Reason::TimedOut, cause),
        _ => (Reason::AnswerLost, format!("it may have run: {cause}")),
    };
    let refused = Refused::new(why, message).outcome(end.outcome);
    match end.outcome {
        Outcome::NotRun => refused.retry_after(Duration::from_millis(500)),
        _ => refused,
    }
}

pub(crate) fn gone_response(outcome: Outcome) -> Response {
    Refused::new(Reason::AnswerLost, "the caller hung up")
        .outcome(outcome)
        .into()
}

pub(crate) fn internal(message: &str) -> Response {
    Refused::new(Reason::Internal, message)
        .outcome(Outcome::NotRun)
        .into()
}

pub(crate) fn pairs(headers: &[Header]) -> Vec<(String, String)> {
    headers
        .iter()
        .map(|h| (h.name.clone(), h.value.clone()))
        .collect()
}
