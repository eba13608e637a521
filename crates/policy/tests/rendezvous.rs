//! Rendezvous hashing: an even spread of the keys, and few moves when members change.

use policy::rendezvous;

fn names(n: usize) -> Vec<String> {
    (0..n).map(|i| format!("router-{i}")).collect()
}

#[test]
fn best_spreads_evenly() {
    let members = names(8);
    let mut held = [0u32; 8];
    for key in 0..8000 {
        let owner = rendezvous::best(&key.to_string(), &members, |m| m).unwrap();
        held[members.iter().position(|m| m == owner).unwrap()] += 1;
    }
    assert!(held.iter().all(|n| (850..1150).contains(n)), "{held:?}");
}

#[test]
fn best_moves_only_the_keys_of_the_member_that_left() {
    let members = names(8);
    let rest: Vec<String> = members.iter().skip(1).cloned().collect();
    for key in 0..1000 {
        let key = key.to_string();
        let before = rendezvous::best(&key, &members, |m| m).unwrap();
        let after = rendezvous::best(&key, &rest, |m| m).unwrap();
        assert!(before == after || *before == members[0]);
    }
}

#[test]
fn top_agrees_with_best_and_takes_the_near_first() {
    let members = names(9);
    let near = |m: &&String| m.ends_with('3') || m.ends_with('7');
    for key in 0..200 {
        let key = key.to_string();
        let top = rendezvous::top_near(&key, &members, 4, |m| m, near);
        let best = rendezvous::best_near(&key, &members, |m| m, near);
        assert_eq!(top.first().copied(), best);
        assert!(near(&top[0]) && near(&top[1]) && !near(&top[2]));
    }
}
