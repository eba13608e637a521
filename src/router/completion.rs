//! How the end of a request is reported to the dispatch and to the caller.

use {
    super::admitted::{
        AdmittedRequest,
        SILENCE_TIMEOUT, //
    },
    callers::{
        Reason,
        Refused,
        Response, //
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

/// Returns the report to the dispatch about a call that ended after `ran`.
pub(crate) fn completion_of(request: &AdmittedRequest, end: &End, ran: Duration) -> Completion {
    // A deadline that no endpoint could meet is not the replica's failure. Otherwise one
    // workspace with such deadlines would make all replicas look failed, and their capacity
    // would stay unused for everyone.
    let short_deadline = ran < SILENCE_TIMEOUT && request.deadline <= Instant::now();
    let answered = end.outcome == Outcome::Answered;
    let units = match request.unit {
        Unit::Tokens => Units(f64::from(end.tokens)),
        Unit::Requests if answered => request.weight,
        Unit::Requests => Units(0.0),
    };
    Completion {
        units,
        first_byte: end.first_token,
        token_gap: end.token_gap,
        ok: answered || end.cause.is_none() || short_deadline,
        refund: units == Units(0.0),
    }
}

/// Returns the error for a caller whose request got no complete answer.
pub(crate) fn failure(end: &End) -> Refused {
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

pub(crate) fn hung_up_response(outcome: Outcome) -> Response {
    Refused::new(Reason::AnswerLost, "the caller hung up")
        .outcome(outcome)
        .into()
}

pub(crate) fn internal_error(message: &str) -> Response {
    Refused::new(Reason::Internal, message)
        .outcome(Outcome::NotRun)
        .into()
}

pub(crate) fn header_pairs(headers: &[Header]) -> Vec<(String, String)> {
    headers
        .iter()
        .map(|h| (h.name.clone(), h.value.clone()))
        .collect()
}
