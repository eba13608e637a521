//! Retries stay a fraction of first tries, whatever fails.

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
fn take_when_half_the_endpoints_fail() {
    // Half of a service's endpoints refuse every connection. Each request that meets one is
    // tried again and may meet another. Without a budget the fleet would send twice the
    // load to the half that still works.
    let mut rng = fastrand::Rng::with_seed(7);
    let mut budget = Budget::new(BudgetLimits::default());
    let (mut firsts, mut retries, mut failed) = (0u32, 0u32, 0u32);
    for i in 0..60_000u64 {
        let now = Time(0) + Span::millis(i);
        budget.record_first_attempt(now);
        firsts += 1;
        let mut fails = rng.bool();
        while fails && budget.try_spend(AnswerState::NotStarted, now) {
            retries += 1;
            fails = rng.bool();
        }
        failed += u32::from(fails);
    }
    println!("{firsts} first tries, {retries} retries, {failed} failed");
    assert!(f64::from(retries) <= f64::from(firsts) * 0.1 + 0.5 * 60.0 + 5.0);
    assert!(f64::from(retries) >= f64::from(firsts) * 0.09);
}

#[test]
fn take_at_a_quiet_router() {
    let mut budget = Budget::new(BudgetLimits::default());
    budget.record_first_attempt(Time(0));
    let taken = (0..20)
        .filter(|i| budget.try_spend(AnswerState::NotStarted, Time(*i)))
        .count();
    assert_eq!(taken, 5);
    assert!(budget.try_spend(AnswerState::NotStarted, Time(0) + Span::secs(11)));
}

/// Guards against an answer that is cut as retries of new requests have spent the budget.
#[test]
fn take_begun_when_new_ones_spent_all() {
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
    let begun = (0..40)
        .filter(|i| budget.try_spend(AnswerState::Started, Time(*i)))
        .count();
    assert_eq!(begun, 5);
}
