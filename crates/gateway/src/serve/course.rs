//! How far a request has come, over all its tries.

use {
    super::{
        admit::Request,
        answer::Own,
        step::NoRetry, //
    },
    crate::{
        state::Shared,
        upstream::Sent, //
    },
    policy::{
        retry::{
            Budget,
            BudgetLimits, //
        },
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

/// Tries that reached nobody before a request is given up.
const UNREACHED: u32 = 3;
/// Part of what the users allow of retries that the routers use. What each counts is its own
/// and late, and the bound holds for the sum in any window.
const RETRY_PART: f64 = 0.6;
/// Part of that which only answers that have begun may use besides.
const RESERVE: f64 = 0.25;
/// A try is not begun with less time left than this.
const LEAST: Duration = Duration::from_millis(20);

/// How far a request has come.
#[derive(Debug, Default)]
pub(crate) struct Course {
    /// Replicas that were tried.
    pub(crate) tried: Vec<ReplicaId>,
    /// Those that may have run it, or may be running it.
    pub(crate) ran: Vec<ReplicaId>,
    /// Tries of which a byte was sent, without the one under way.
    pub(crate) sends: u32,
    /// How far the try under way has got.
    pub(crate) sent: Arc<Sent>,
    /// Tries that reached nobody.
    pub(crate) unreached: u32,
    /// A try may have run, and its answer is not known.
    pub(crate) may_have_run: bool,
    /// The caller has the head of an answer.
    pub(crate) begun: bool,
    /// The answer says that the connection is closed behind it.
    pub(crate) closes: bool,
    /// When the caller got the first event, or the answer.
    pub(crate) first: Option<Instant>,
    /// When the caller last got some of its answer.
    pub(crate) last: Option<Instant>,
    /// The status that the caller got, 0 where none.
    pub(crate) status: u16,
    /// What the last choice of a replica was made from, for the log.
    pub(crate) inputs: String,
    /// What stands in the log about its end.
    pub(crate) cause: String,
}

impl Course {
    /// Notes that a replica is tried, and returns what tells how far the try gets.
    pub(crate) fn start(&mut self, replica: &ReplicaId) -> Arc<Sent> {
        self.tried.push(replica.clone());
        self.ran.push(replica.clone());
        self.sent.clone()
    }

    /// Notes how far a try got that has ended.
    pub(crate) fn end(&mut self, sent: &Sent) {
        self.sends += u32::from(sent.any());
        self.sent = Arc::default();
    }

    /// Notes that a replica which was tried surely did not run the request.
    pub(crate) fn did_not_run(&mut self, replica: &ReplicaId) {
        self.ran.retain(|id| id != replica);
    }

    /// Lets replicas that surely did not run the request be tried again.
    pub(crate) fn forget_unrun(&mut self) {
        let ran = &self.ran;
        self.tried.retain(|id| ran.contains(id));
    }

    /// Tells whether one more replica may run the request, budget apart.
    ///
    /// # Errors
    ///
    /// Why it may not.
    pub(crate) fn may_run_again(&self, req: &Request) -> Result<(), NoRetry> {
        if !req.route.repeatable() {
            return Err(NoRetry::MayHaveRun);
        }
        if self.ran.len() as u32 >= req.route.attempts {
            return Err(NoRetry::Attempts);
        }
        if !has_time(req.until) {
            return Err(NoRetry::Time);
        }
        Ok(())
    }

    /// Tells whether the retry budget has something left.
    pub(crate) fn has_budget(&self, gw: &Shared, req: &Request) -> bool {
        let claim = self.claim();
        budget(gw, req, |b, now| b.left(claim, now)) > 0
    }

    /// Takes one retry from the budget. Returns whether there was one.
    pub(crate) fn take_retry(&self, gw: &Shared, req: &Request) -> bool {
        let claim = self.claim();
        let taken = budget(gw, req, |b, now| b.try_spend(claim, now));
        if taken {
            metrics::counter!("chervilwind_retries").increment(1);
        }
        taken
    }

    /// Tells whether a try that reached nobody may be followed by another.
    ///
    /// # Errors
    ///
    /// Why it may not.
    pub(crate) fn may_try_unreached(&mut self, until: Instant) -> Result<(), NoRetry> {
        self.unreached += 1;
        if self.unreached >= UNREACHED {
            return Err(NoRetry::Unreached);
        }
        if !has_time(until) {
            return Err(NoRetry::Time);
        }
        Ok(())
    }

    /// Tells whether a request may be sent to one more replica, and takes it from the budget.
    ///
    /// `surely_not_run` is set where all replicas that got it said that they did not run it.
    ///
    /// # Errors
    ///
    /// Why it may not.
    pub(crate) fn may_send(
        &self,
        gw: &Shared,
        req: &Request,
        surely_not_run: bool,
    ) -> Result<(), NoRetry> {
        let most = match surely_not_run {
            // A replica that turned it away has not run it.
            true => req.route.attempts.max(2),
            false => req.route.attempts,
        };
        let safe = surely_not_run && !self.may_have_run || req.route.repeatable();
        if !safe {
            return Err(NoRetry::MayHaveRun);
        }
        if self.sends >= most {
            return Err(NoRetry::Attempts);
        }
        if !has_time(req.until) {
            return Err(NoRetry::Time);
        }
        if !budget(gw, req, |b, now| b.try_spend(AnswerState::NotStarted, now)) {
            return Err(NoRetry::Budget);
        }
        Ok(())
    }

    /// Returns what the request has of its answer.
    pub(crate) fn claim(&self) -> AnswerState {
        match self.begun {
            true => AnswerState::Started,
            false => AnswerState::NotStarted,
        }
    }

    /// Notes that the caller gets a replica's answer.
    pub(crate) fn begin(&mut self, status: u16) {
        self.begun = true;
        self.status = status;
        self.first = Some(Instant::now());
        self.last = self.first;
    }

    /// Notes that the caller got more of its answer.
    pub(crate) fn passed(&mut self) {
        self.last = Some(Instant::now());
    }

    /// Returns the answer to a request that is given up.
    ///
    /// "Not run" is a promise. After a try that may have run it would be broken by that try,
    /// and a caller who then asks elsewhere would double what ran.
    pub(crate) fn given_up(&mut self, why: &'static str, after: Duration) -> Own {
        self.cause = why.to_owned();
        match self.may_have_run {
            true => Own::status(502, why),
            false => Own::not_run(why, after),
        }
    }
}

impl Course {
    /// Tells whether a replica may have got the request in any of its tries.
    ///
    /// The time of a request may end while a try is under way. Its answer must not say then
    /// that the request did not run.
    pub(crate) fn reached_any(&self) -> bool {
        self.sends > 0 || self.sent.any() || self.may_have_run
    }
}

fn has_time(until: Instant) -> bool {
    until.saturating_duration_since(Instant::now()) > LEAST
}

/// Counts a request that this router takes, also for the retry budget of its service.
pub(crate) fn count_first(gw: &Shared, req: &Request) {
    gw.tables().fleet.count_request();
    budget(gw, req, |b, now| b.record_first_attempt(now));
}

/// Returns how many retries of answers that have begun the budget of a request's service has left
/// at this router.
pub(super) fn budget_left(gw: &Shared, req: &Request) -> u32 {
    budget(gw, req, |b, now| b.left(AnswerState::Started, now))
}

/// Runs a step of the retry budget of a request's service.
///
/// Each router spends a part of what the users allow over the fleet: the ratio of its own
/// requests, and an even part among all that have requests of what is allowed besides.
fn budget<R>(gw: &Shared, req: &Request, step: impl FnOnce(&mut Budget, Time) -> R) -> R {
    let now = gw.now();
    let bounds = gw.settings.bounds;
    let mut tables = gw.tables();
    let routers = tables.fleet.sharers(now) as f64;
    let budget = tables
        .budgets
        .entry(req.service.clone())
        .or_insert_with(|| Budget::new(BudgetLimits::default()));
    budget.set_limits(BudgetLimits {
        fraction: bounds.retry_ratio * RETRY_PART,
        floor: bounds.retry_slack * RETRY_PART / bounds.retry_window_s / routers,
        reserve: RESERVE,
    });
    step(budget, now)
}
