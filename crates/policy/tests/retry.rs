//! Retries stay a fraction of first attempts, no matter what fails.

use policy::{
    retry::{
        Budget,
        BudgetLimits, //
    },
    AnswerState,
    Span,
    Time, //
};

#[test]
fn try_spend_when_half_of_the_endpoints_fail() {
    // Half of a service's endpoints refuse every connection. Each request that meets one is retried
    // and may meet another. Without a budget the fleet would send twice the load to the half that
    // still works.
    let mut rng = fastrand::Rng::with_seed(7);
    let mut budget = Budget::new(BudgetLimits::default());
    let (mut first_attempts, mut retries, mut failed) = (0u32, 0u32, 0u32);
    for i in 0..60_000u64 {
        let now = Time(0) + Span::millis(i);
        budget.record_first_attempt(now);
        first_attempts += 1;
        let mut fails = rng.bool();
        while fails && budget.try_spend(AnswerState::NotStarted, now) {
            retries += 1;
            fails = rng.bool();
        }
        failed += u32::from(fails);
    }
    println!("{first_attempts} first attempts, {retries} retries, {failed} failed");
    assert!(f64::from(retries) <= f64::from(first_attempts) * 0.1 + 0.5 * 60.0 + 5.0);
    assert!(f64::from(retries) >= f64::from(first_attempts) * 0.09);
}

#[test]
fn try_spend_at_a_router_with_few_requests() {
    let mut budget = Budget::new(BudgetLimits::default());
    budget.record_first_attempt(Time(0));
    let spent = (0..20)
        .filter(|i| budget.try_spend(AnswerState::NotStarted, Time(*i)))
        .count();
    assert_eq!(spent, 5);
    assert!(budget.try_spend(AnswerState::NotStarted, Time(0) + Span::secs(11)));
}

/// Guards against an aborted answer because retries of new requests have spent the budget.
#[test]
fn try_spend_for_started_when_new_spent_all() {
    let mut budget = Budget::new(BudgetLimits {
        fraction: 0.2,
        floor: 0.0,
        reserve: 0.25,
    });
    for _ in 0..100 {
        budget.record_first_attempt(Time(0));
    }
    let new = (0..40)
        .filter(|i| budget.try_spend(AnswerState::NotStarted, Time(*i)))
        .count();
    assert_eq!(new, 20);
    let started = (0..40)
        .filter(|i| budget.try_spend(AnswerState::Started, Time(*i)))
        .count();
    assert_eq!(started, 5);
}
