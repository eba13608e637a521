//! The progress of an admitted request: queue, attempts, retries and answer.

use {
    super::{
        admitted::AdmittedRequest,
        claims::RecordedAnswer,
        completion::{
            completion_of,
            failure,
            header_pairs,
            hung_up_response,
            internal_error, //
        },
        counters::CounterKey,
        jobs::JobDecision,
        state::{
            lock,
            Router, //
        },
        streaming::StreamedAnswer, //
    },
    async_std::channel::Receiver,
    callers::{
        DisconnectSignal,
        Refused,
        Response, //
    },
    endpoints::{
        Answer,
        End,
        Event,
        Header, //
    },
    futures_lite::future::or,
    policy::{
        tickets::Grant,
        AnswerState,
        Completion,
        JobId,
        Outcome,
        ReplicaId,
        Span,
        Units, //
    },
    std::{
        sync::Arc,
        time::{
            Duration,
            Instant, //
        },
    },
};

/// Maximum number of attempts for one request, the first included.
const MAX_ATTEMPTS: u32 = 4;
/// Longest answer of a plain service that is buffered until it is complete, in bytes.
const MAX_BUFFERED_BYTES: usize = 1 << 20;

/// An admitted request and the state of its attempts.
pub(crate) struct RequestProgress {
    pub(crate) router: Arc<Router>,
    pub(crate) admitted: AdmittedRequest,
    pub(crate) grant: Option<Grant>,
    pub(crate) job: JobId,
    decisions: Receiver<JobDecision>,
    attempts: u32,
    /// An earlier attempt may have run.
    may_have_run: bool,
    /// The end was reported to the dispatch.
    finished: bool,
    started: Instant,
    /// Service counted for operators so far.
    counted_units: Units,
}

/// State of a call when the answer to the caller can begin.
enum AnswerStart {
    /// The first bytes have arrived, and more follow.
    Streaming {
        /// The first bytes.
        buffered: BufferedAnswer,
        /// The rest of the answer.
        answer: Answer,
    },
    /// The call has ended.
    Ended { buffered: BufferedAnswer, end: End },
    /// The caller hung up.
    Gone,
}

/// Outcome of one attempt.
enum AttemptOutcome {
    /// The caller's answer, or its head.
    Responded(Response),
    /// The request is queued again.
    Requeued(Box<RequestProgress>),
}

/// The part of an answer that has not been forwarded.
#[derive(Debug, Default)]
pub(crate) struct BufferedAnswer {
    pub(crate) status: u16,
    pub(crate) headers: Vec<Header>,
    pub(crate) body: Vec<u8>,
    pub(crate) tokens: u32,
}

impl RequestProgress {
    pub(crate) fn new(
        router: Arc<Router>,
        admitted: AdmittedRequest,
        grant: Option<Grant>,
    ) -> RequestProgress {
        let job = admitted.job.clone();
        let (job, decisions) = router.dispatch(|d, now| {
            let id = d.submit(job, now);
            (id, lock(&router.jobs).add(id))
        });
        RequestProgress {
            router,
            admitted,
            grant,
            job,
            decisions,
            attempts: 0,
            may_have_run: false,
            finished: false,
            started: Instant::now(),
            counted_units: Units::default(),
        }
    }

    /// Runs the request and returns its answer, or the head of it.
    pub(crate) async fn run(mut self, gone: DisconnectSignal) -> Response {
        let service = &self.admitted.job.service;
        self.router
            .budget(service, |b, now| b.record_first_attempt(now));
        loop {
            let decision = or(async { self.decisions.recv().await.ok() }, async {
                gone.wait().await;
                None
            })
            .await;
            let replica = match decision {
                Some(JobDecision::Start(replica)) => replica,
                Some(JobDecision::Reject {
                    reason,
                    retry_after,
                }) => {
                    let outcome = self.overall_outcome(Outcome::NotRun);
                    self.end_unstarted();
                    self.count(outcome);
                    let refused = Refused::from_policy(reason).outcome(outcome);
                    return refused.retry_after(retry_after.into()).into();
                }
                None => return self.cancel_queued(),
            };
            self.attempts += 1;
            match self.attempt(replica, &gone).await {
                AttemptOutcome::Responded(response) => return response,
                AttemptOutcome::Requeued(request) => self = *request,
            }
        }
    }

    /// Returns the outcome over all attempts, given that of the last one.
    ///
    /// A retry may be rejected, or find no endpoint that accepts it, after an endpoint got an
    /// earlier attempt. "Not run" would be true of the last attempt only, and a caller that
    /// then sends the request elsewhere would run it twice.
    fn overall_outcome(&self, last: Outcome) -> Outcome {
        match last {
            Outcome::NotRun if self.may_have_run => Outcome::MayHaveRun,
            _ => last,
        }
    }

    /// Calls the endpoint once.
    async fn attempt(mut self, replica: ReplicaId, gone: &DisconnectSignal) -> AttemptOutcome {
        self.started = Instant::now();
        let call = self
            .admitted
            .call(&replica, self.grant.as_ref(), self.attempts);
        let Some(call) = call else {
            self.finish(Completion::default());
            self.end_unstarted();
            return AttemptOutcome::Responded(internal_error(
                "the endpoint's address can't be used",
            ));
        };
        let answer = self.router.endpoints.call(call);
        match self.await_start(answer, gone).await {
            AnswerStart::Streaming { buffered, answer } => {
                let gone = gone.clone();
                AttemptOutcome::Responded(
                    StreamedAnswer::new(self, buffered, answer, replica, gone).respond(),
                )
            }
            AnswerStart::Gone => AttemptOutcome::Responded(self.cancel_running()),
            AnswerStart::Ended { buffered, end } => {
                match self.handle_end(&replica, buffered, end) {
                    Some(response) => AttemptOutcome::Responded(response),
                    None => AttemptOutcome::Requeued(Box::new(self)),
                }
            }
        }
    }

    /// Waits until the answer to the caller can begin: at the first data of a stream, or at
    /// the end of a plain answer that is not too long.
    ///
    /// Until then nothing was forwarded, so that a failed call can be retried without the
    /// caller noticing.
    async fn await_start(&mut self, mut answer: Answer, gone: &DisconnectSignal) -> AnswerStart {
        let mut buffered = BufferedAnswer::default();
        loop {
            let event = or(async { answer.next().await }, async {
                self.caller_disconnected(gone).await;
                None
            })
            .await;
            match event {
                None => return AnswerStart::Gone,
                Some(Event::Head {
                    status, headers, ..
                }) => {
                    buffered.status = status;
                    buffered.headers = headers;
                }
                Some(Event::Data { bytes, tokens }) => {
                    buffered.body.extend_from_slice(&bytes);
                    buffered.tokens += tokens;
                    if self.admitted.streamed && buffered.status < 300
                        || buffered.body.len() > MAX_BUFFERED_BYTES
                    {
                        return AnswerStart::Streaming { buffered, answer };
                    }
                }
                Some(Event::End(end)) => return AnswerStart::Ended { buffered, end },
            }
        }
    }

    /// Waits for the caller to hang up, if that ends the call.
    ///
    /// A request that may not be repeated goes on without its caller. Its answer is recorded,
    /// so that a caller that lost it can get it with the same ticket.
    async fn caller_disconnected(&self, gone: &DisconnectSignal) {
        if self.admitted.idempotent {
            gone.wait().await;
        } else {
            futures_lite::future::pending::<()>().await;
        }
    }

    /// Handles the end of a call that was not streamed; none means that the request is requeued.
    fn handle_end(
        &mut self,
        replica: &ReplicaId,
        buffered: BufferedAnswer,
        mut end: End,
    ) -> Option<Response> {
        if end.leaving {
            self.router.report_leaving(replica);
        }
        if self.may_retry(&end) {
            log::debug!(
                "router: {} is retried after {}",
                self.admitted.id,
                end.outcome
            );
            metrics::counter!("chervilwind_router_retries").increment(1);
            self.may_have_run |= end.outcome != Outcome::NotRun;
            let job = self.job;
            self.router.dispatch(|d, now| d.requeue(job, replica, now));
            return None;
        }
        let completion = completion_of(&self.admitted, &end, self.attempt_time());
        end.outcome = self.overall_outcome(end.outcome);
        self.finish(completion);
        self.count_units(completion.units);
        self.count(end.outcome);
        self.record_run_time(&end);
        Some(self.respond(buffered, end))
    }

    fn may_retry(&self, end: &End) -> bool {
        let safe = match end.outcome {
            Outcome::NotRun => true,
            Outcome::MayHaveRun | Outcome::Failed => self.admitted.idempotent,
            Outcome::Answered => false,
        };
        let allowed =
            safe && self.attempts < MAX_ATTEMPTS && Instant::now() < self.admitted.deadline;
        let service = &self.admitted.job.service;
        allowed
            && self
                .router
                .budget(service, |b, now| b.try_spend(AnswerState::NotStarted, now))
    }

    fn respond(&mut self, buffered: BufferedAnswer, end: End) -> Response {
        let headers = header_pairs(&buffered.headers);
        let complete = matches!(end.outcome, Outcome::Answered | Outcome::Failed);
        if complete && buffered.status != 0 {
            self.record(end.outcome, &buffered);
            let mut response = Response::complete(buffered.status, end.outcome, buffered.body);
            response.headers = headers;
            return response;
        }
        self.record(end.outcome, &buffered);
        failure(&end).into()
    }

    pub(crate) fn record(&self, outcome: Outcome, buffered: &BufferedAnswer) {
        let Some(grant) = &self.grant else {
            return;
        };
        let fingerprint = self.admitted.fingerprint();
        let answer = match outcome {
            Outcome::Answered | Outcome::Failed => RecordedAnswer::new(buffered, fingerprint),
            Outcome::NotRun | Outcome::MayHaveRun => RecordedAnswer::without_answer(fingerprint),
        };
        self.router.record(grant, outcome, answer);
    }

    /// Counts the service received, `units` in all so far, for operators.
    pub(crate) fn count_units(&mut self, units: Units) {
        let added = units - self.counted_units;
        self.counted_units = units;
        lock(&self.router.counters).add_units(&self.counter_key(), added);
    }

    fn counter_key(&self) -> CounterKey {
        CounterKey {
            workspace: self.admitted.job.workspace.clone(),
            service: self.admitted.job.service.clone(),
        }
    }

    /// Counts how the request ended, for operators.
    pub(crate) fn count(&self, outcome: Outcome) {
        lock(&self.router.counters).record_outcome(&self.counter_key(), outcome);
        metrics::counter!("chervilwind_router_requests", "outcome" => outcome.to_string())
            .increment(1);
    }

    /// Returns how long the current attempt has run.
    pub(crate) fn attempt_time(&self) -> Duration {
        self.started.elapsed()
    }

    pub(crate) fn record_run_time(&self, end: &End) {
        if end.outcome == Outcome::Answered {
            let ran = Span::from(self.attempt_time());
            let job = &self.admitted.job;
            let now = self.router.now();
            lock(&self.router.run_times).record(&job.service, &self.admitted.profile, ran, now);
        }
    }

    /// Ends a request whose caller hung up before it started.
    fn cancel_queued(&mut self) -> Response {
        let outcome = self.overall_outcome(Outcome::NotRun);
        self.cancel();
        self.end_unstarted();
        hung_up_response(outcome)
    }

    /// Ends a request whose caller hung up while it ran; dropping the call cancels it.
    fn cancel_running(&mut self) -> Response {
        self.end_unknown();
        hung_up_response(Outcome::MayHaveRun)
    }

    /// Ends a request that started and whose outcome is unknown.
    pub(crate) fn end_unknown(&mut self) {
        // If the ticket stayed in the running state, its caller would retry forever.
        self.record(Outcome::MayHaveRun, &BufferedAnswer::default());
        self.count(Outcome::MayHaveRun);
        self.cancel();
    }

    fn cancel(&mut self) {
        let job = self.job;
        self.finished = true;
        self.router.dispatch(|d, now| d.cancel(job, now));
        lock(&self.router.jobs).remove(job);
    }

    /// Releases the ticket of a request that the dispatch no longer has.
    fn end_unstarted(&mut self) {
        self.finished = true;
        lock(&self.router.jobs).remove(self.job);
        if let Some(grant) = self.grant.take() {
            self.router.release_ticket(&grant);
        }
    }

    pub(crate) fn finish(&mut self, completion: Completion) {
        let job = self.job;
        self.finished = true;
        self.router
            .dispatch(|d, now| d.finish(job, completion, now));
        lock(&self.router.jobs).remove(job);
    }
}

impl Drop for RequestProgress {
    /// Ends a request that no other path has ended, for example after a panic.
    ///
    /// Otherwise its slot would stay taken, and its ticket running, until the router ends.
    fn drop(&mut self) {
        if !self.finished {
            log::error!(
                "router: {} was dropped before it was finished",
                self.admitted.id
            );
            self.end_unknown();
        }
    }
}
