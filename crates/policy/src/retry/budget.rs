//! Retries as a fraction of first tries.

use {
    crate::{
        AnswerState,
        Span,
        Time, //
    },
    std::collections::VecDeque, //
};

/// First tries are counted over this span.
const WINDOW: Span = Span::secs(10);
/// The window slides in steps of this span.
const STEP: Span = Span::secs(1);

/// How much may be spent on retries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetLimits {
    /// Retries for each first try.
    pub fraction: f64,
    /// Retries in a second that are allowed besides, so that a quiet router can retry.
    pub floor: f64,
    /// Part of all these that is allowed besides to answers that have begun, so that retries of
    /// new requests can't use up what keeps those from being cut.
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
/// When half the endpoints fail, each retry that fails would bring another. The budget
/// bounds them all together: beyond the fraction a request fails at once.
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
    spend: BudgetLimits,
    steps: VecDeque<Step>,
}

#[derive(Debug)]
struct Step {
    start: Time,
    firsts: u32,
    retries: u32,
}

impl Budget {
    /// Makes a budget of which nothing is spent.
    pub fn new(spend: BudgetLimits) -> Budget {
        Budget {
            spend,
            steps: VecDeque::new(),
        }
    }

    /// Changes how much may be spent from now on.
    pub fn set_limits(&mut self, spend: BudgetLimits) {
        self.spend = spend;
    }

    /// Counts a first try.
    pub fn record_first_attempt(&mut self, now: Time) {
        self.step(now).firsts += 1;
    }

    /// Takes one retry from the budget, if there is one left.
    pub fn try_spend(&mut self, claim: AnswerState, now: Time) -> bool {
        let left = self.left(claim, now) > 0;
        if left {
            self.step(now).retries += 1;
        }
        left
    }

    /// Returns how many retries are left.
    pub fn left(&mut self, claim: AnswerState, now: Time) -> u32 {
        self.step(now);
        let firsts: u32 = self.steps.iter().map(|s| s.firsts).sum();
        let retries: u32 = self.steps.iter().map(|s| s.retries).sum();
        let allowed = f64::from(firsts) * self.spend.fraction + self.spend.floor * WINDOW.as_secs();
        let part = match claim {
            AnswerState::NotStarted => 1.0,
            AnswerState::Started => 1.0 + self.spend.reserve,
        };
        ((allowed * part) as u32).saturating_sub(retries)
    }

    /// Returns the present step, after dropping those that left the window.
    fn step(&mut self, now: Time) -> &mut Step {
        while self
            .steps
            .front()
            .is_some_and(|s| now.since(s.start) >= WINDOW)
        {
            self.steps.pop_front();
        }
        let fresh = self.steps.back().is_none_or(|s| now.since(s.start) >= STEP);
        if fresh {
            self.steps.push_back(Step {
                start: now,
                firsts: 0,
                retries: 0,
            });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}
