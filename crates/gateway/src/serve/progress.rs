//! Progress of a request over all its attempts.

use {
    super::{
        admit::Request,
        choose::Selection,
        local_answer::LocalAnswer,
        outcome::NoRetry, //
    },
    crate::{
        state::Shared,
        upstream::SendMarker, //
    },
    policy::{
        retry::{
            Budget,
            BudgetLimits, //
        },
        streams::StreamOrigin,
        AnswerState,
        ReplicaId,
        Time, //
    },
    std::{
        sync::Arc,
        time::{
            Duration,
            Instant, //
        },
    },
};

/// Attempts that reached no replica after which a request is given up.
const UNREACHED_LIMIT: u32 = 3;
/// Replicas that may reject a request which goes on with a stream before it is given up.
const RESUMED_SENDS: u32 = 6;
/// Fraction of the fleet's retry limit that the routers use together. Each router counts only its
/// own retries, and with a delay, while the limit holds for the fleet's sum in any window.
const ROUTERS_FRACTION: f64 = 0.6;
/// Extra retries, as a fraction of that budget, for requests whose answer has started.
const STARTED_EXTRA: f64 = 0.25;
/// No attempt is started with less time left.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(20);

/// Progress of a request over all its attempts.
#[derive(Debug, Default)]
pub(crate) struct RequestProgress {
    /// Replicas tried so far, except those cleared for another attempt.
    pub(crate) tried: Vec<ReplicaId>,
    /// Those of them that have run the request, or may still do so.
    pub(crate) ran: Vec<ReplicaId>,
    /// Finished attempts that sent at least one byte to a replica.
    pub(crate) sends: u32,
    /// Whether the current attempt has sent anything.
    pub(crate) sent: Arc<SendMarker>,
    /// Attempts that reached no replica.
    pub(crate) unreached: u32,
    /// An attempt may have run the request, and its answer is lost.
    pub(crate) may_have_run: bool,
    /// The caller was sent the head of an answer.
    pub(crate) answer_started: bool,
    /// The request goes on with a stream that an earlier one began.
    pub(crate) resumed: bool,
    /// What began the stream of which the caller has events.
    pub(crate) origin: Option<StreamOrigin>,
    /// The answer announced that the connection is closed after it.
    pub(crate) closes: bool,
    /// When the first event, or the answer, was forwarded to the caller.
    pub(crate) first_sent_at: Option<Instant>,
    /// When the caller was last sent a part of the answer.
    pub(crate) last_sent_at: Option<Instant>,
    /// Status of the answer that the caller was sent, 0 if none.
    pub(crate) status: u16,
    /// What the last placement decision was based on, for the request log.
    pub(crate) inputs: String,
    /// Cause of the request's end, for the request log.
    pub(crate) cause: String,
}

impl RequestProgress {
    /// Records that a replica is tried, and returns the marker that tells whether anything was
    /// sent.
    pub(crate) fn start_attempt(&mut self, replica: &ReplicaId) -> Arc<SendMarker> {
        self.tried.push(replica.clone());
        self.ran.push(replica.clone());
        self.sent.clone()
    }

    /// Records the end of an attempt.
    pub(crate) fn end_attempt(&mut self, sent: &SendMarker) {
        self.sends += u32::from(sent.started());
        self.sent = Arc::default();
    }

    /// Records that a tried replica certainly did not run the request.
    pub(crate) fn record_not_run(&mut self, replica: &ReplicaId) {
        self.ran.retain(|id| id != replica);
    }

    /// Allows another attempt at replicas that certainly did not run the request.
    pub(crate) fn clear_not_run(&mut self) {
        let ran = &self.ran;
        self.tried.retain(|id| ran.contains(id));
    }

    /// Checks whether one more replica may run the request, apart from the retry budget.
    ///
    /// # Errors
    ///
    /// Why it may not.
    pub(crate) fn check_rerun(&self, req: &Request) -> Result<(), NoRetry> {
        if !req.route.is_repeatable() {
            return Err(NoRetry::MayHaveRun);
        }
        if self.ran.len() as u32 >= req.route.max_attempts {
            return Err(NoRetry::Attempts);
        }
        if !has_time(req.until) {
            return Err(NoRetry::Time);
        }
        Ok(())
    }

    /// Returns whether the retry budget allows another attempt.
    pub(crate) fn has_budget(&self, gw: &Shared, req: &Request) -> bool {
        let answer_state = self.answer_state();
        with_budget(gw, req, |b, now| b.left(answer_state, now)) > 0
    }

    /// Takes one retry from the budget. Returns whether one was left.
    pub(crate) fn take_retry(&self, gw: &Shared, req: &Request) -> bool {
        let answer_state = self.answer_state();
        let taken = with_budget(gw, req, |b, now| b.try_spend(answer_state, now));
        if taken {
            metrics::counter!("chervilwind_retries").increment(1);
        }
        taken
    }

    /// Checks whether another attempt may follow one that reached no replica.
    ///
    /// # Errors
    ///
    /// Why it may not.
    pub(crate) fn check_unreached_retry(&mut self, until: Instant) -> Result<(), NoRetry> {
        self.unreached += 1;
        if self.unreached >= UNREACHED_LIMIT {
            return Err(NoRetry::Unreached);
        }
        if !has_time(until) {
            return Err(NoRetry::Time);
        }
        Ok(())
    }

    /// Checks whether the request may be sent to one more replica, and takes that retry from the
    /// budget.
    ///
    /// `known_not_run` is set if all replicas that received the request reported that they did not
    /// run it.
    ///
    /// # Errors
    ///
    /// Why it may not.
    pub(crate) fn take_resend(
        &self,
        gw: &Shared,
        req: &Request,
        known_not_run: bool,
    ) -> Result<(), NoRetry> {
        let limit = match known_not_run {
            // A replica that rejected the request has not used up an attempt.
            true if self.resumed => req.route.max_attempts.max(RESUMED_SENDS),
            true => req.route.max_attempts.max(2),
            false => req.route.max_attempts,
        };
        let safe = known_not_run && !self.may_have_run || req.route.is_repeatable();
        if !safe {
            return Err(NoRetry::MayHaveRun);
        }
        if self.sends >= limit {
            return Err(NoRetry::Attempts);
        }
        if !has_time(req.until) {
            return Err(NoRetry::Time);
        }
        if !with_budget(gw, req, |b, now| b.try_spend(AnswerState::NotStarted, now)) {
            return Err(NoRetry::Budget);
        }
        Ok(())
    }

    /// Returns what the choice of the next replica has to respect.
    pub(crate) fn selection(&self) -> Selection<'_> {
        Selection {
            tried: &self.tried,
            answer: self.answer_state(),
            origin: self.origin.as_ref(),
        }
    }

    /// Returns whether the caller has the start of its answer; such requests come first.
    pub(crate) fn answer_state(&self) -> AnswerState {
        match (self.answer_started, self.resumed) {
            (true, _) => AnswerState::Started,
            (false, true) => AnswerState::Resumed,
            (false, false) => AnswerState::NotStarted,
        }
    }

    /// Records that the caller is sent the head of a replica's answer.
    pub(crate) fn start_answer(&mut self, status: u16) {
        self.answer_started = true;
        self.status = status;
        self.first_sent_at = Some(Instant::now());
        self.last_sent_at = self.first_sent_at;
    }

    /// Records that the caller was sent more of the answer.
    pub(crate) fn record_forwarded(&mut self) {
        self.last_sent_at = Some(Instant::now());
    }

    /// Returns the answer to a request that is given up.
    ///
    /// An answer that says "not run" is a guarantee. After an attempt that may have run the request
    /// it would be false, and a caller that retries elsewhere would run the request twice.
    pub(crate) fn give_up(&mut self, message: &'static str, retry_delay: Duration) -> LocalAnswer {
        self.cause = message.to_owned();
        match self.may_have_run {
            true => LocalAnswer::status(502, message),
            false => LocalAnswer::not_run(message, retry_delay),
        }
    }
}

impl RequestProgress {
    /// Returns whether a replica may have received the request in any attempt.
    ///
    /// The deadline may pass during an attempt; the answer must then not say that the request was
    /// not run.
    pub(crate) fn reached_any(&self) -> bool {
        self.sends > 0 || self.sent.started() || self.may_have_run
    }
}

fn has_time(until: Instant) -> bool {
    until.saturating_duration_since(Instant::now()) > MIN_ATTEMPT_TIME
}

/// Counts a request that this router accepted, also for the retry budget of its service.
pub(crate) fn record_request(gw: &Shared, req: &Request) {
    gw.tables().fleet.count_request();
    with_budget(gw, req, |b, now| b.record_first_attempt(now));
}

/// Returns how many retries the budget of the request's service has left at this router for answers
/// that have started.
pub(super) fn budget_left(gw: &Shared, req: &Request) -> u32 {
    with_budget(gw, req, |b, now| b.left(AnswerState::Started, now))
}

/// Applies `step` to the retry budget of the request's service.
///
/// Each router spends its part of the fleet's limit: the allowed ratio of its own requests, and an
/// equal part, among all routers that have requests, of the retries allowed on top of that.
fn with_budget<R>(gw: &Shared, req: &Request, step: impl FnOnce(&mut Budget, Time) -> R) -> R {
    let now = gw.now();
    let bounds = gw.settings.bounds;
    let mut tables = gw.tables();
    let routers = tables.fleet.sharers(now) as f64;
    let budget = tables
        .budgets
        .entry(req.service.clone())
        .or_insert_with(|| Budget::new(BudgetLimits::default()));
    budget.set_limits(BudgetLimits {
        fraction: bounds.retry_ratio * ROUTERS_FRACTION,
        floor: bounds.retry_slack * ROUTERS_FRACTION / bounds.retry_window_s / routers,
        reserve: STARTED_EXTRA,
    });
    step(budget, now)
}
