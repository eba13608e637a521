//! Logs and metrics of requests, detailed enough to explain failures afterwards.

use {
    super::{
        admit::Request,
        local_answer::LocalAnswer,
        outcome::AbortCause,
        permit::{
            SilenceMonitor,
            SlotPermit, //
        },
        progress::{
            budget_left,
            RequestProgress, //
        }, //
    },
    crate::state::Shared,
    policy::quarantine::Suspect,
    std::{
        fmt,
        time::Instant, //
    },
};

/// Logs and counts a request that was rejected before a replica was chosen.
pub(super) fn log_rejected(id: Option<&str>, answer: &LocalAnswer) {
    log::info!(
        "event=request outcome=refused id={} status={} cause={:?}",
        id.unwrap_or("-"),
        answer.status,
        answer.message
    );
    count_answer(answer.status, "-");
}

fn count_answer(status: u16, route: &str) {
    metrics::counter!("chervilwind_answers", "status" => status.to_string(), "route" => route.to_owned())
        .increment(1);
}

/// Logs how a request ended, and counts it.
pub(super) fn log_end(req: &Request, progress: &RequestProgress, caller_gone: bool, kept: bool) {
    let first = progress.first_sent_at.map(|at| at - req.arrived);
    if let Some(first) = first {
        metrics::histogram!("chervilwind_first_seconds").record(first.as_secs_f64());
    }
    count_answer(progress.status, &req.route.name);
    let outcome = match (caller_gone, progress.answer_started, kept) {
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
        progress.status,
        req.route.name,
        req.service,
        req.workspace.as_ref().map_or("-", |w| w.as_str()),
        progress.tried.last().map_or("-", |r| r.as_str()),
        progress.sends,
        first.map_or(-1, |d| d.as_millis() as i64),
        req.arrived.elapsed().as_millis(),
        req.version,
        progress.cause,
        req.prompt.as_ref().map_or(0, |p| p.total),
        progress.inputs
    );
}

/// Logs and counts an answer that was aborted after it had started.
///
/// Logged as a warning, so that the limit on log lines per second doesn't drop it in a flood of
/// requests.
pub(super) fn log_aborted(
    gw: &Shared,
    req: &Request,
    progress: &mut RequestProgress,
    abort_cause: AbortCause,
) {
    metrics::counter!("chervilwind_answers_cut", "cause" => abort_cause.label()).increment(1);
    if progress.cause.is_empty() {
        progress.cause = abort_cause.label().to_owned();
    }
    log::warn!(
        "event=cut cause={} id={} route={} service={} replica={} tries={} sends={} attempts={} \
         quiet-ms={} left-ms={} budget={} version={} last-cause={:?}",
        abort_cause.label(),
        req.id,
        req.route.name,
        req.service,
        progress.tried.last().map_or("-", |r| r.as_str()),
        progress.tried.len(),
        progress.sends,
        req.route.max_attempts,
        progress
            .last_sent_at
            .map_or(-1, |at| at.elapsed().as_millis() as i64),
        req.until
            .saturating_duration_since(Instant::now())
            .as_millis(),
        budget_left(gw, req),
        req.version,
        progress.cause
    );
}

/// Logs an attempt that gave no answer.
pub(super) fn log_attempt(
    req: &Request,
    permit: &SlotPermit,
    progress: &mut RequestProgress,
    outcome: &str,
    cause: &str,
) {
    log::info!(
        "event=try outcome={outcome} id={} digest={} parts={} replica={} send={} ms={} event-ms={} \
         cause={cause:?}",
        req.id,
        req.digest,
        SharedParts(req),
        permit.replica.id,
        progress.sends,
        permit.held_for().as_millis(),
        permit
            .since_first_event()
            .map_or(-1, |d| d.as_millis() as i64)
    );
    progress.cause = cause.to_owned();
}

/// Logs the suspects that are quarantined from now on, as this router or another one found out.
pub(crate) fn log_held(held: &[Suspect], from: &str) {
    for suspect in held {
        let kind = suspect.kind();
        log::warn!("event=quarantine outcome=begun digest={suspect} kind={kind} from={from}");
    }
}

/// The ids of the parts that a request's prompt shares with others, for logs.
pub(super) struct SharedParts<'a>(pub(super) &'a Request);

/// Number of parts that are logged.
const LOGGED_PARTS: usize = 8;

impl fmt::Display for SharedParts<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let prompt = self.0.prompt.as_ref();
        let parts = prompt.map_or(&[][..], |p| p.shared_parts());
        if parts.is_empty() {
            return f.write_str("-");
        }
        for (n, part) in parts.iter().take(LOGGED_PARTS).enumerate() {
            let comma = if n == 0 { "" } else { "," };
            write!(f, "{comma}{:x}", part.id)?;
        }
        Ok(())
    }
}

/// Why a stream goes on at another replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ResumeCause {
    /// Its replica broke it off.
    Broken,
    /// Its replica is silent.
    Silent,
    /// Its caller sent another attempt.
    Caller,
}

impl ResumeCause {
    fn label(self) -> &'static str {
        match self {
            ResumeCause::Broken => "broken",
            ResumeCause::Silent => "silent",
            ResumeCause::Caller => "caller",
        }
    }
}

/// Logs and counts that a stream goes on at the permit's replica.
pub(super) fn log_resumed(
    req: &Request,
    permit: &SlotPermit,
    progress: &RequestProgress,
    cause: ResumeCause,
) {
    let own = permit.replica.origin();
    let version = match &progress.origin {
        None => "unknown",
        Some(origin) if *origin == own => "same",
        Some(_) => "other",
    };
    let cause = cause.label();
    metrics::counter!("chervilwind_streams_resumed", "cause" => cause, "version" => version)
        .increment(1);
    let origin = progress.origin.as_ref().map(ToString::to_string);
    log::info!(
        "event=resume outcome=goes-on cause={cause} id={} resumes={} after={} origin={} \
         version={version} replica={} of={own}",
        req.id,
        req.resumes.as_deref().unwrap_or("-"),
        req.last_event.map_or(-1, |n| n as i64),
        origin.as_deref().unwrap_or("-"),
        permit.replica.id,
    );
}

/// Logs that a replica is silent while it has a request that may be hedged.
pub(super) fn log_silent(req: &Request, monitor: &SilenceMonitor, progress: &RequestProgress) {
    log::info!(
        "event=try outcome=silent id={} digest={} replica={} send={} ms={} begun={}",
        req.id,
        req.digest,
        monitor.replica.id,
        progress.sends,
        monitor.silent_for().as_millis(),
        progress.answer_started
    );
}
