//! Retries as a fraction of first attempts.

use {
    crate::{
        AnswerState,
        Span,
        Time, //
    },
    std::collections::VecDeque, //
};

/// Span over which first attempts are counted.
const WINDOW: Span = Span::secs(10);
/// Length of the steps in which the window slides.
const STEP_LENGTH: Span = Span::secs(1);

/// Limits of the retry budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetLimits {
    /// Retries per first attempt.
    pub fraction: f64,
    /// Additional retries per second, so that a router with few requests can retry.
    pub floor: f64,
    /// Additional fraction for answers that have started, so that retries of new requests can't use
    /// up the retries that keep those answers from being aborted.
    pub reserve: f64,
}

impl Default for BudgetLimits {
    fn default() -> BudgetLimits {
        BudgetLimits {
            fraction: 0.1,
            floor: 0.5,
            reserve: 0.25,
        }
    }
}

/// The retries that one router may still make to one service.
///
/// When half of the endpoints fail, each failed retry would cause another one. The budget limits
/// all of them together: beyond it, a request fails at once.
///
/// # Examples
///
/// ```
/// use policy::{retry::{Budget, BudgetLimits}, AnswerState, Time};
///
/// let mut budget = Budget::new(BudgetLimits { fraction: 0.1, floor: 0.0, reserve: 0.5 });
/// for _ in 0..20 {
///     budget.record_first_attempt(Time(0));
/// }
/// assert!(budget.try_spend(AnswerState::NotStarted, Time(1)));
/// assert!(budget.try_spend(AnswerState::NotStarted, Time(2)));
/// assert!(!budget.try_spend(AnswerState::NotStarted, Time(3)));
/// assert!(budget.try_spend(AnswerState::Started, Time(4)));
/// assert!(!budget.try_spend(AnswerState::Started, Time(5)));
/// ```
#[derive(Debug)]
pub struct Budget {
    limits: BudgetLimits,
    steps: VecDeque<Step>,
}

#[derive(Debug)]
struct Step {
    start: Time,
    first_attempts: u32,
    retries: u32,
}

impl Budget {
    /// Creates a budget of which nothing is spent.
    pub fn new(limits: BudgetLimits) -> Budget {
        Budget {
            limits,
            steps: VecDeque::new(),
        }
    }

    /// Changes the limits from now on.
    pub fn set_limits(&mut self, limits: BudgetLimits) {
        self.limits = limits;
    }

    /// Counts a first attempt.
    pub fn record_first_attempt(&mut self, now: Time) {
        self.step(now).first_attempts += 1;
    }

    /// Takes one retry from the budget, and returns whether there was one left.
    pub fn try_spend(&mut self, answer: AnswerState, now: Time) -> bool {
        let left = self.left(answer, now) > 0;
        if left {
            self.step(now).retries += 1;
        }
        left
    }

    /// Returns the number of retries left.
    pub fn left(&mut self, answer: AnswerState, now: Time) -> u32 {
        self.step(now);
        let first_attempts: u32 = self.steps.iter().map(|s| s.first_attempts).sum();
        let retries: u32 = self.steps.iter().map(|s| s.retries).sum();
        let allowed =
            f64::from(first_attempts) * self.limits.fraction + self.limits.floor * WINDOW.as_secs();
        let factor = match answer {
            AnswerState::NotStarted | AnswerState::Resumed => 1.0,
            AnswerState::Started => 1.0 + self.limits.reserve,
        };
        ((allowed * factor) as u32).saturating_sub(retries)
    }

    /// Returns the current step, after dropping those that have left the window.
    fn step(&mut self, now: Time) -> &mut Step {
        while self
            .steps
            .front()
            .is_some_and(|s| now.since(s.start) >= WINDOW)
        {
            self.steps.pop_front();
        }
        let is_over = self
            .steps
            .back()
            .is_none_or(|s| now.since(s.start) >= STEP_LENGTH);
        if is_over {
            self.steps.push_back(Step {
                start: now,
                first_attempts: 0,
                retries: 0,
            });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}
