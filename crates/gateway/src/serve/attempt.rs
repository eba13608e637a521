//! One attempt of a request at one replica.

use {
    super::{
        admit::Request,
        outcome::{
            AttemptError,
            AttemptOutcome, //
        },
        permit::SlotPermit,
        progress::RequestProgress,
        request_log::log_attempt, //
    },
    crate::{
        http::Head,
        state::Shared,
        upstream::{
            call,
            has_ended,
            CallHooks,
            Reply,
            SendMarker,
            UpstreamRequest, //
        },
    },
};

/// One attempt of a request at one replica.
pub(super) struct Attempt<'a> {
    pub(super) gw: &'a Shared,
    pub(super) req: &'a Request,
    pub(super) permit: SlotPermit,
    pub(super) progress: &'a mut RequestProgress,
    /// The event after which a stream is to be resumed.
    pub(super) after: Option<u64>,
    /// Whether the attempt has sent anything.
    pub(super) sent: &'a SendMarker,
}

/// Sends a request to the permit's replica, resuming a stream after the given event, and reads the
/// head of the answer.
///
/// # Errors
///
/// If there is no answer; `sent` tells whether the replica may have received the request.
pub(super) async fn send(
    gw: &Shared,
    req: &Request,
    permit: &SlotPermit,
    after: Option<u64>,
    sent: &SendMarker,
) -> Result<Reply, AttemptError> {
    let request = UpstreamRequest {
        id: &req.id,
        method: &req.method,
        target: &req.target,
        headers: &req.headers,
        workspace: req.workspace_name.as_deref(),
        last_event: after,
        cache_source: permit.cache_source,
        body: &req.body,
        until: req.until,
        kind: req.route.kind,
    };
    let hooks = CallHooks {
        may_send: &|| permit.may_send(),
        on_head: &|head: &Head| permit.apply_head(gw, head),
    };
    let replica = &permit.replica;
    let reply = call(&gw.pool, &gw.dialect, replica, &request, sent, &hooks).await?;
    permit.record_own_answer(gw, reply.head.status());
    Ok(reply)
}

impl Attempt<'_> {
    pub(super) async fn send(&self) -> Result<Reply, AttemptError> {
        send(self.gw, self.req, &self.permit, self.after, self.sent).await
    }

    /// Returns an answer that can be forwarded, and records the outcome of the attempt otherwise.
    ///
    /// # Errors
    ///
    /// The outcome of the attempt.
    pub(super) async fn check_answer<R>(
        &mut self,
        called: Result<R, AttemptError>,
    ) -> Result<R, AttemptOutcome>
    where
        R: AsRef<Reply> + Into<Reply>,
    {
        let answer = match called {
            Ok(answer) => answer,
            Err(e) => return Err(self.record_lost(&e).await),
        };
        let reply = answer.as_ref();
        if reply.reports_not_run(&self.gw.dialect) {
            let status = reply.head.status().to_string();
            self.log_attempt("turned-away", &status);
            answer.into().recycle(&self.gw.pool, &self.permit.replica);
            self.progress.record_not_run(&self.permit.replica.id);
            return Err(AttemptOutcome::Rejected);
        }
        match reply.check(&self.gw.dialect) {
            Ok(()) => Ok(answer),
            Err(e) => Err(self.record_broken(&e.into()).await),
        }
    }

    async fn record_lost(&mut self, e: &AttemptError) -> AttemptOutcome {
        self.record_failure("lost", e).await;
        if self.sent.started() {
            self.progress.may_have_run = true;
            return AttemptOutcome::Lost;
        }
        self.progress.record_not_run(&self.permit.replica.id);
        AttemptOutcome::Unreached
    }

    /// Records that the replica aborted its answer, or sent an invalid one.
    pub(super) async fn record_broken(&mut self, e: &AttemptError) -> AttemptOutcome {
        self.record_failure("broken", e).await;
        self.progress.may_have_run = true;
        AttemptOutcome::Lost
    }

    /// Records an answer that another replica may improve on, such as an error.
    pub(super) fn record_error(&mut self, status: u16) -> AttemptOutcome {
        self.permit.record_answer(status < 500);
        self.log_attempt("failed", &status.to_string());
        self.progress.may_have_run = true;
        AttemptOutcome::Lost
    }

    async fn record_failure(&mut self, outcome: &str, e: &AttemptError) {
        record_failure(self.gw, self.req, &self.permit, self.progress, outcome, e).await;
    }

    fn log_attempt(&mut self, outcome: &str, cause: &str) {
        log_attempt(self.req, &self.permit, self.progress, outcome, cause);
    }
}

/// Records and logs why an attempt gave no answer, and updates the replica's health.
pub(super) async fn record_failure(
    gw: &Shared,
    req: &Request,
    permit: &SlotPermit,
    progress: &mut RequestProgress,
    outcome: &str,
    e: &AttemptError,
) {
    e.record(permit);
    metrics::counter!("chervilwind_failed_attempts", "cause" => e.label()).increment(1);
    log_attempt(req, permit, progress, outcome, &e.to_string());
    if !(e.lost_connection() && permit.is_early()) {
        return;
    }
    let ended = has_ended(&permit.replica, &gw.pool).await;
    let outcome = if ended { "ended" } else { "alive" };
    metrics::counter!("chervilwind_crash_checks", "outcome" => outcome).increment(1);
    if ended {
        permit.record_crash(req);
    }
}

/// Returns whether an answer is an event stream on a streaming route.
pub(super) fn is_stream(req: &Request, reply: &Reply) -> bool {
    let kind = reply.head.headers.get("content-type").unwrap_or_default();
    let good = (200..300).contains(&reply.head.status());
    req.route.is_stream() && good && kind.starts_with("text/event-stream")
}
