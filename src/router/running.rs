//! A request that was admitted: queued, started, tried again, answered.

use {
    super::{
        claims::Recorded,
        jobs::Verdict,
        passing::Passing,
        state::{
            lock,
            Router, //
        },
        tally::Account,
        told::{
            finish,
            gone_response,
            internal,
            lost,
            pairs, //
        },
        work::Work, //
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

/// How often one request is tried at most, the first try included.
const TRIES: u32 = 4;
/// Longest answer of a plain service that is held back until it is whole, in bytes.
const WHOLE_MAX: usize = 1 << 20;

/// A request on its way.
pub(crate) struct Running {
    pub(crate) router: Arc<Router>,
    pub(crate) work: Work,
    pub(crate) grant: Option<Grant>,
    pub(crate) job: JobId,
    verdicts: Receiver<Verdict>,
    tries: u32,
    /// An earlier try may have run.
    spent: bool,
    /// The dispatch has been told of the end.
    over: bool,
    started: Instant,
    /// Service counted for operators so far.
    counted: Units,
}

/// What is known of a call when the caller's answer begins.
enum Begun {
    /// The first bytes are here, and more follow.
    Streaming {
        /// The first bytes.
        held: Held,
        /// What follows.
        answer: Answer,
    },
    /// All that will come is here.
    Ended { held: Held, end: End },
    /// The caller hung up.
    Gone,
}

/// What came of one try.
enum Step {
    /// The caller's answer, or its head.
    Done(Response),
    /// The request is queued again.
    Again(Box<Running>),
}

/// What came of an answer that has not been passed on.
#[derive(Debug, Default)]
pub(crate) struct Held {
    pub(crate) status: u16,
    pub(crate) headers: Vec<Header>,
    pub(crate) body: Vec<u8>,
    pub(crate) tokens: u32,
}

impl Running {
    pub(crate) fn new(router: Arc<Router>, work: Work, grant: Option<Grant>) -> Running {
        let job = work.job.clone();
        let (job, verdicts) = router.dispatch(|d, now| {
            let id = d.submit(job, now);
            (id, lock(&router.jobs).add(id))
        });
        Running {
            router,
            work,
            grant,
            job,
            verdicts,
            tries: 0,
            spent: false,
            over: false,
            started: Instant::now(),
            counted: Units::default(),
        }
    }

    /// Runs the request and returns its answer, or the head of it.
    pub(crate) async fn run(mut self, gone: DisconnectSignal) -> Response {
        let service = &self.work.job.service;
        self.router
            .budget(service, |b, now| b.record_first_attempt(now));
        loop {
            let verdict = or(async { self.verdicts.recv().await.ok() }, async {
                gone.wait().await;
                None
            })
            .await;
            let replica = match verdict {
                Some(Verdict::Start(replica)) => replica,
                Some(Verdict::Refuse { why, after }) => {
                    let outcome = self.known(Outcome::NotRun);
                    self.drop_unstarted();
                    self.count(outcome);
                    let refused = Refused::from_policy(why).outcome(outcome);
                    return refused.retry_after(after.into()).into();
                }
                None => return self.abandon(),
            };
            self.tries += 1;
            match self.attempt(replica, &gone).await {
                Step::Done(response) => return response,
                Step::Again(run) => self = *run,
            }
        }
    }

    /// Returns what is known of all tries, where the last one ended like this.
    ///
    /// A request that is tried again may be refused, or find no endpoint that takes it,
    /// after an endpoint got an earlier try. "Not run" would be true of the last try only,
    /// and a caller who then asks elsewhere doubles what ran.
    fn known(&self, last: Outcome) -> Outcome {
        match last {
            Outcome::NotRun if self.spent => Outcome::MayHaveRun,
            _ => last,
        }
    }

    /// Calls the endpoint once.
    async fn attempt(mut self, replica: ReplicaId, gone: &DisconnectSignal) -> Step {
        self.started = Instant::now();
        let call = self.work.call(&replica, self.grant.as_ref(), self.tries);
        let Some(call) = call else {
            self.finish(Completion::default());
            self.drop_unstarted();
            return Step::Done(internal("the endpoint's address can't be used"));
        };
        let answer = self.router.endpoints.call(call);
        match self.begin(answer, gone).await {
            Begun::Streaming { held, answer } => {
                let gone = gone.clone();
                Step::Done(Passing::new(self, held, answer, replica, gone).respond())
            }
            Begun::Gone => Step::Done(self.hung_up()),
            Begun::Ended { held, end } => match self.ended(&replica, held, end) {
                Some(response) => Step::Done(response),
                None => Step::Again(Box::new(self)),
            },
        }
    }

    /// Waits until the answer can begin: at the first data of a stream, at the end of a
    /// plain answer that is not too long.
    ///
    /// Until then nothing was passed on, so that a call which fails can be tried elsewhere
    /// unseen.
    async fn begin(&mut self, mut answer: Answer, gone: &DisconnectSignal) -> Begun {
        let mut held = Held::default();
        loop {
            let event = or(async { answer.next().await }, async {
                self.caller_gone(gone).await;
                None
            })
            .await;
            match event {
                None => return Begun::Gone,
                Some(Event::Head {
                    status, headers, ..
                }) => {
                    held.status = status;
                    held.headers = headers;
                }
                Some(Event::Data { bytes, tokens }) => {
                    held.body.extend_from_slice(&bytes);
                    held.tokens += tokens;
                    if self.work.streamed && held.status < 300 || held.body.len() > WHOLE_MAX {
                        return Begun::Streaming { held, answer };
                    }
                }
                Some(Event::End(end)) => return Begun::Ended { held, end },
            }
        }
    }

    /// Waits for the caller to hang up, if that ends the call.
    ///
    /// A request that may not be repeated goes on without its caller: its answer is
    /// recorded, so that a caller who lost it can ask for it again.
    async fn caller_gone(&self, gone: &DisconnectSignal) {
        if self.work.idempotent {
            gone.wait().await;
        } else {
            futures_lite::future::pending::<()>().await;
        }
    }

    /// Ends a call whose answer is all here; none means that the request is queued again.
    fn ended(&mut self, replica: &ReplicaId, held: Held, mut end: End) -> Option<Response> {
        if end.leaving {
            self.router.noticed_leaving(replica);
        }
        if self.may_retry(&end) {
            log::debug!(
                "router: {} is tried again, after {}",
                self.work.id,
                end.outcome
            );
            metrics::counter!("chervilwind_router_retries").increment(1);
            self.spent |= end.outcome != Outcome::NotRun;
            let job = self.job;
            self.router.dispatch(|d, now| d.requeue(job, replica, now));
            return None;
        }
        let finish = finish(&self.work, &end, self.ran());
        end.outcome = self.known(end.outcome);
        self.finish(finish);
        self.count_service(finish.units);
        self.count(end.outcome);
        self.note_time(&end);
        Some(self.answer(held, end))
    }

    fn may_retry(&self, end: &End) -> bool {
        let safe = match end.outcome {
            Outcome::NotRun => true,
            Outcome::MayHaveRun | Outcome::Failed => self.work.idempotent,
            Outcome::Answered => false,
        };
        let again = safe && self.tries < TRIES && Instant::now() < self.work.deadline;
        let service = &self.work.job.service;
        again
            && self
                .router
                .budget(service, |b, now| b.try_spend(AnswerState::NotStarted, now))
    }

    fn answer(&mut self, held: Held, end: End) -> Response {
        let headers = pairs(&held.headers);
        let whole = matches!(end.outcome, Outcome::Answered | Outcome::Failed);
        if whole && held.status != 0 {
            self.record(end.outcome, &held);
            let mut response = Response::complete(held.status, end.outcome, held.body);
            response.headers = headers;
            return response;
        }
        self.record(end.outcome, &held);
        lost(&end).into()
    }

    pub(crate) fn record(&self, outcome: Outcome, held: &Held) {
        let Some(grant) = &self.grant else {
            return;
        };
        let print = self.work.print();
        let answer = match outcome {
            Outcome::Answered | Outcome::Failed => Recorded::new(held, print),
            Outcome::NotRun | Outcome::MayHaveRun => Recorded::without(print),
        };
        self.router.record(grant, outcome, answer);
    }

    /// Counts service as it is received, up to `units` in all, for operators.
    pub(crate) fn count_service(&mut self, units: Units) {
        let more = units - self.counted;
        self.counted = units;
        lock(&self.router.tally).serve(&self.account(), more);
    }

    fn account(&self) -> Account {
        Account {
            workspace: self.work.job.workspace.clone(),
            service: self.work.job.service.clone(),
        }
    }

    /// Counts how the request ended, for operators.
    pub(crate) fn count(&self, outcome: Outcome) {
        lock(&self.router.tally).note(&self.account(), outcome);
        metrics::counter!("chervilwind_router_requests", "outcome" => outcome.to_string())
            .increment(1);
    }

    /// Returns how long the present try has run.
    pub(crate) fn ran(&self) -> Duration {
        self.started.elapsed()
    }

    pub(crate) fn note_time(&self, end: &End) {
        if end.outcome == Outcome::Answered {
            let ran = Span::from(self.ran());
            let job = &self.work.job;
            let now = self.router.now();
            lock(&self.router.times).note(&job.service, &self.work.profile, ran, now);
        }
    }

    /// Ends a request whose caller hung up before it started.
    fn abandon(&mut self) -> Response {
        let outcome = self.known(Outcome::NotRun);
        self.cancel();
        self.drop_unstarted();
        gone_response(outcome)
    }

    /// Ends a request whose caller hung up while it ran; dropping the call cancels it.
    fn hung_up(&mut self) -> Response {
        self.lose();
        gone_response(Outcome::MayHaveRun)
    }

    /// Ends a request that ran and whose end nobody knows.
    pub(crate) fn lose(&mut self) {
        // A ticket left as running would send its caller away to ask again for ever.
        self.record(Outcome::MayHaveRun, &Held::default());
        self.count(Outcome::MayHaveRun);
        self.cancel();
    }

    fn cancel(&mut self) {
        let job = self.job;
        self.over = true;
        self.router.dispatch(|d, now| d.cancel(job, now));
        lock(&self.router.jobs).remove(job);
    }

    /// Gives back the ticket of a request that the dispatch no longer knows.
    fn drop_unstarted(&mut self) {
        self.over = true;
        lock(&self.router.jobs).remove(self.job);
        if let Some(grant) = self.grant.take() {
            self.router.unstarted(&grant);
        }
    }

    pub(crate) fn finish(&mut self, finish: Completion) {
        let job = self.job;
        self.over = true;
        self.router.dispatch(|d, now| d.finish(job, finish, now));
        lock(&self.router.jobs).remove(job);
    }
}

impl Drop for Running {
    /// Ends what no path above has ended, as where one of them panicked.
    ///
    /// The slot would stay taken, and the ticket running, for as long as the router lives.
    fn drop(&mut self) {
        if !self.over {
            log::error!("router: {} was dropped in the middle", self.work.id);
            self.lose();
        }
    }
}
