//! When an era counts as a return of the store from an older copy.

use super::*;

fn after_answers(answers: &[u64]) -> Eras {
    let mut eras = Eras::default();
    for era in answers {
        eras.observe_answer(Era(*era));
    }
    eras
}

#[test]
fn eras_first_answer() {
    assert!(!Eras::default().observe_answer(Era(7)));
}

#[test]
fn eras_answer_of_a_newer_one() {
    let mut eras = after_answers(&[1, 1]);
    assert!(eras.observe_answer(Era(2)));
    assert!(!eras.observe_answer(Era(2)));
    assert!(!eras.observe_answer(Era(1)));
    assert_eq!(eras.confirmed(), Era(2));
}

#[test]
fn eras_named_by_a_peer_first() {
    let mut eras = after_answers(&[1]);
    assert!(eras.observe_peer(Era(2)));
    assert!(!eras.observe_answer(Era(2)));
    assert_eq!(eras.confirmed(), Era(2));
}

/// Guards against a return of the store that goes unnoticed because one peer reported an era far
/// too high.
#[test]
fn eras_after_a_wrong_one() {
    let mut eras = after_answers(&[1]);
    assert!(eras.observe_peer(Era(u64::MAX)));
    assert!(!eras.observe_peer(Era(u64::MAX)));
    assert_eq!(eras.confirmed(), Era(1));
    assert!(eras.observe_answer(Era(2)));
    assert!(eras.observe_answer(Era(3)));
}
