//! Parts of prompts that crash replicas, beside parts that are there by chance.

use {
    super::{
        at,
        parts_fleet::{
            Fleet,
            Outcome,
            Plan, //
        },
    },
    policy::{
        placement::ReplicaKey,
        quarantine::{
            Quarantine,
            QuarantineUpdate,
            Suspect,
            HOLD_DURATION, //
        },
        Span,
        Time, //
    },
};

/// Ends from which a part is held.
const HELD_FROM: u32 = 4;

fn part(id: u64) -> Suspect {
    Suspect::prompt_part(&"drafting".parse().unwrap(), id)
}

/// Records that a replica ended under requests with these suspects.
fn end(quarantine: &mut Quarantine, suspects: &[Suspect], replica: u32, now: Time) {
    for suspect in suspects {
        quarantine.ended(*suspect, ReplicaKey(replica), Time(0), now);
    }
}

/// Returns a router at which this many replicas ended under these suspects, one every 400 ms.
fn after_ends(suspects: &[Suspect], count: u32) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for n in 0..count {
        end(&mut quarantine, suspects, n, at(400 * u64::from(n)));
    }
    quarantine
}

fn holds(quarantine: &Quarantine, suspects: &[Suspect], now: Time) -> bool {
    quarantine.find_hold(suspects, now).is_some()
}

/// Guards against parts that are held sooner than the fourth end, or later.
#[test]
fn part_fourth_end() {
    let deadly = part(1);
    let before = after_ends(&[deadly], HELD_FROM - 1);
    assert!(!holds(&before, &[part(9), deadly], at(2_000)));
    let held = after_ends(&[deadly], HELD_FROM);
    assert!(holds(&held, &[part(9), deadly], at(2_000)));
    assert!(!holds(&held, &[part(9)], at(2_000)));
}

/// Guards against the same id at another service that is held too.
#[test]
fn part_of_another_service() {
    let held = after_ends(&[part(1)], HELD_FROM);
    let other = Suspect::prompt_part(&"review".parse().unwrap(), 1);
    assert!(!holds(&held, &[other], at(2_000)));
}

/// Guards against a hold of the part that all requests share: answers clear it between two ends.
#[test]
fn part_shared_by_answered_requests() {
    let (first, deadly) = (part(1), part(2));
    let mut quarantine = Quarantine::default();
    for n in 0..8 {
        let now = at(400 * u64::from(n));
        end(&mut quarantine, &[first, deadly], n, now);
        quarantine.answered(first, now + Span::millis(200));
    }
    assert!(holds(&quarantine, &[first, deadly], at(3_500)));
    assert!(!holds(&quarantine, &[first], at(3_500)));
}

/// Guards against sound requests that are rejected for a part that always came with the deadly one,
/// and was answered nowhere yet.
#[test]
fn part_always_together() {
    let (deadly, other) = (part(1), part(2));
    let mut quarantine = after_ends(&[deadly, other], HELD_FROM);
    assert!(holds(&quarantine, &[deadly, other], at(2_000)));
    // Each alone is let through. One of them is answered, the other ends a replica.
    assert!(!holds(&quarantine, &[deadly], at(2_000)));
    assert!(!holds(&quarantine, &[other], at(2_000)));
    quarantine.answered(other, at(2_100));
    assert!(holds(&quarantine, &[deadly], at(2_200)));
    let mut quarantine = after_ends(&[deadly, other], HELD_FROM);
    end(&mut quarantine, &[deadly], 20, at(2_100));
    assert!(holds(&quarantine, &[deadly], at(2_200)));
    assert!(!holds(&quarantine, &[other], at(2_200)));
}

/// Guards against a rare part that stays held because replicas ended under the deadly one, and one
/// more by chance.
#[test]
fn part_explained_by_another() {
    let (deadly, rare) = (part(1), part(2));
    let mut quarantine = Quarantine::default();
    end(&mut quarantine, &[rare], 0, at(0));
    for n in 1..4 {
        end(&mut quarantine, &[rare, deadly], n, at(400 * u64::from(n)));
    }
    assert!(holds(&quarantine, &[rare], at(1_300)));
    // Two more ends without it show which of the two it is.
    end(&mut quarantine, &[deadly], 4, at(1_600));
    end(&mut quarantine, &[deadly], 5, at(2_000));
    assert!(holds(&quarantine, &[deadly], at(2_100)));
    assert!(!holds(&quarantine, &[rare], at(2_100)));
    // Nor is it held for further ends at which the deadly part is.
    for n in 6..10 {
        let now = at(400 * u64::from(n));
        end(&mut quarantine, &[deadly, rare], n, now);
        assert!(!holds(&quarantine, &[rare], now), "end {n}");
    }
}

/// Guards against two deadly parts of which one hides the other.
#[test]
fn part_beside_another_deadly_one() {
    let (first, second) = (part(1), part(2));
    let mut quarantine = after_ends(&[first], HELD_FROM);
    // Two of its ends are of both; the fifth shows that it is not the first one.
    for n in [2, 3, 10, 11] {
        end(&mut quarantine, &[second], n, at(400 * u64::from(n)));
        assert!(!holds(&quarantine, &[second], at(5_000)));
    }
    end(&mut quarantine, &[second], 12, at(4_800));
    assert!(holds(&quarantine, &[second], at(5_000)));
    assert!(holds(&quarantine, &[first], at(5_000)));
}

/// Guards against ends under the deadly part that are cut from a report for newer ones of the requests
/// around it, when the reports before it were lost.
#[test]
fn part_reported_once() {
    let deadly = part(1);
    let (mut router, mut other) = (Quarantine::default(), Quarantine::default());
    for crash in 0..HELD_FROM - 1 {
        let now = at(400 * u64::from(crash));
        end(&mut router, &[deadly], crash, now);
        for request in 0..12 {
            let id = 1_000 * u64::from(crash) + request;
            let suspects = [Suspect(id), part(10_000 + id), part(20_000 + id)];
            end(&mut router, &suspects, crash, now);
        }
    }
    other.apply_update(&router.full_update(at(900)), at(905));
    end(&mut other, &[deadly], 50, at(1_200));
    assert!(holds(&other, &[deadly], at(1_300)));
}

/// Guards against a short answer that is complete before its replica crashes, and clears the part
/// under which it does.
#[test]
fn part_answered_before_the_crash() {
    let deadly = part(1);
    let (mut first, mut second) = (Quarantine::default(), Quarantine::default());
    for n in 0..HELD_FROM {
        let (answered, crashed) = (400 * u64::from(n), 400 * u64::from(n) + 60);
        let clears_at = at(answered + 1_000);
        first.completed(vec![deadly], ReplicaKey(n), clears_at, at(answered));
        first.forget(at(answered + 10));
        // Another router sees the crash.
        second.ended(
            part(100 + u64::from(n)),
            ReplicaKey(n),
            Time(0),
            at(crashed),
        );
        first.apply_update(&second.full_update(at(crashed)), at(crashed + 5));
    }
    assert!(holds(&first, &[deadly], at(2_000)));
    second.apply_update(&first.full_update(at(2_000)), at(2_005));
    assert!(holds(&second, &[deadly], at(2_010)));
}

/// Guards against a hold that ends for an answer from before the first end, which is known late.
#[test]
fn part_answered_before_all_ends() {
    let deadly = part(1);
    let mut quarantine = Quarantine::default();
    quarantine.completed(vec![deadly], ReplicaKey(20), at(1_000), at(0));
    for n in 0..HELD_FROM {
        end(&mut quarantine, &[deadly], n, at(200 + 200 * u64::from(n)));
    }
    quarantine.forget(at(1_010));
    assert!(holds(&quarantine, &[deadly], at(1_020)));
    let update = quarantine.full_update(at(1_020));
    let mut other = Quarantine::default();
    other.apply_update(&update, at(1_025));
    assert!(holds(&other, &[deadly], at(1_030)));
}

/// Guards against answers that clear nothing.
#[test]
fn part_answered_by_a_replica_that_goes_on() {
    let sound = part(1);
    let mut quarantine = after_ends(&[sound], HELD_FROM - 1);
    quarantine.completed(vec![sound], ReplicaKey(20), at(2_000), at(1_000));
    quarantine.forget(at(2_010));
    // A crash later on is none of the answered request.
    quarantine.replica_ended(ReplicaKey(20), at(2_020), at(2_020));
    end(&mut quarantine, &[sound], 21, at(2_100));
    assert!(!holds(&quarantine, &[sound], at(2_200)));
}

/// Guards against reports of the deadly part that get lost among those of the requests around it.
#[test]
fn part_reported_among_many() {
    let deadly = part(1);
    let mut routers = [(); 8].map(|()| Quarantine::default());
    let mut other = Quarantine::default();
    for crash in 0..5 {
        let now = at(400 * u64::from(crash));
        // Each router has ten requests at the replica that ends, one of them with the part.
        for (n, router) in routers.iter_mut().enumerate() {
            for request in 0..10 {
                let id = 1_000 * u64::from(crash) + 100 * n as u64 + request;
                let suspects = [Suspect(id), part(10_000 + id), part(20_000 + id)];
                end(router, &suspects, crash, now);
            }
        }
        end(&mut routers[crash as usize], &[deadly], crash, now);
        let updates = routers.each_ref().map(|r| r.full_update(now));
        for update in &updates {
            assert!(update.ended.len() <= 32);
            other.apply_update(update, now + Span::millis(5));
        }
    }
    assert!(holds(&other, &[deadly], at(2_000)));
    assert!(!holds(&other, &[part(10_000)], at(2_000)));
}

/// Guards against a router that starts later and rejects requests with a part that only came with
/// the deadly one.
#[test]
fn part_known_from_a_report() {
    let (deadly, other) = (part(1), part(2));
    let held = after_ends(&[deadly, other], HELD_FROM);
    let mut late = Quarantine::default();
    late.apply_update(&held.held_update(at(60_000)), at(5));
    assert!(holds(&late, &[deadly, other], at(10)));
    assert!(!holds(&late, &[other], at(10)));
}

/// Guards against memory that requests with made-up parts use up, and against the loss of what is
/// held among them.
#[test]
fn part_among_made_up_ones() {
    let deadly = part(1);
    let mut quarantine = after_ends(&[deadly], HELD_FROM - 1);
    for n in 0..20_000 {
        let now = at(2_000 + n);
        quarantine.ended(
            part(1_000 + n),
            ReplicaKey(100 + n as u32 % 50),
            Time(0),
            now,
        );
    }
    end(&mut quarantine, &[deadly], 99, at(23_000));
    assert!(holds(&quarantine, &[deadly], at(23_001)));
    let update: QuarantineUpdate = quarantine.full_update(at(23_002));
    assert!(update.ended.len() <= 32);
    assert!(update.ended.iter().any(|e| e.suspect == deadly));
}

/// Guards against a part that is let through for good after its hold.
#[test]
fn part_let_through_again() {
    let deadly = part(1);
    let mut quarantine = after_ends(&[deadly], HELD_FROM);
    let later = at(3_000) + HOLD_DURATION;
    assert!(!holds(&quarantine, &[deadly], later));
    end(&mut quarantine, &[deadly], 50, later);
    assert!(holds(&quarantine, &[deadly], later));
}

/// Seconds after the fifth end from which on sound requests have to be served again.
const BACK_AFTER: usize = 6;

/// Plays a plan with several seeds, and checks each result.
fn play(routers: usize, seeds: std::ops::Range<u64>, plan: &Plan, check: impl Fn(u64, &Outcome)) {
    for seed in seeds {
        let outcome = Fleet::new(routers, seed).run(plan);
        println!(
            "{routers} routers, seed {seed}: {} ends, {} late, {} of {} sound rejected, begun {:?}",
            outcome.deadly_ends,
            outcome.late,
            outcome.rejected,
            outcome.sound,
            outcome
                .beside
                .iter()
                .map(|s| 100 * s.begun / s.asked.max(1))
                .collect::<Vec<_>>()
        );
        check(seed, &outcome);
    }
}

/// Checks that few requests with the part are sent late, and that sound ones with the same first
/// part begin as before.
fn check_deadly(seed: u64, outcome: &Outcome) {
    assert!(outcome.late <= 3, "seed {seed}: {} late", outcome.late);
    let before = outcome.begun_share(2..10);
    let Some(fifth) = outcome.fifth_end else {
        return;
    };
    let from = fifth.since(Time(0)).as_secs() as usize + BACK_AFTER;
    let after = outcome.begun_share(from..40);
    assert!(
        after >= before / 2.0,
        "seed {seed}: {before:.2} to {after:.2}"
    );
    let rejected = outcome.rejected * 100;
    assert!(rejected <= outcome.sound, "seed {seed}: {outcome:?}");
}

/// Guards against routers that know different things of a part, from one router to many.
#[test]
fn part_in_a_fleet() {
    play(1, 0..12, &Plan::default(), check_deadly);
    play(8, 0..12, &Plan::default(), check_deadly);
    play(61, 0..2, &Plan::default(), check_deadly);
}

/// Guards against a part that is not found, or sound ones that are held, while replicas also crash
/// by themselves.
#[test]
fn part_in_a_fleet_with_crashes() {
    let plan = Plan {
        crash_rate: 0.3,
        rack_at: Some(Span::secs(11)),
        ..Plan::default()
    };
    play(8, 100..116, &plan, check_deadly);
}

/// Guards against sound parts that are held because replicas crash by themselves.
#[test]
fn part_without_a_deadly_one() {
    let plan = Plan {
        deadly_rate: 0.0,
        crash_rate: 0.5,
        rack_at: Some(Span::secs(20)),
        ..Plan::default()
    };
    let check = |seed: u64, outcome: &Outcome| {
        let rejected = outcome.rejected * 100;
        assert!(rejected <= outcome.sound, "seed {seed}: {outcome:?}");
    };
    play(1, 200..212, &plan, check);
    play(8, 200..212, &plan, check);
}
