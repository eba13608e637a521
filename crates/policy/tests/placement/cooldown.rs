//! Replicas that asked for a pause.

use {
    policy::{
        placement::{
            retry_after_cooldown,
            Cooldowns,
            ReplicaKey, //
        },
        Span,
        Time, //
    },
    std::collections::BTreeSet,
};

const KEY: ReplicaKey = ReplicaKey(7);

fn at(ms: u64) -> Time {
    Time(0) + Span::millis(ms)
}

/// A replica that asked for a pause of three seconds at time 0.
fn paused() -> Cooldowns {
    let mut cooldowns = Cooldowns::default();
    assert_eq!(
        cooldowns.start(KEY, Span::secs(3), at(0)),
        Some(Span::secs(3))
    );
    cooldowns
}

#[test]
fn cooldown_of_one_replica() {
    let cooldowns = paused();
    assert!(!cooldowns.is_available(KEY, at(2_999)));
    assert!(cooldowns.is_available(KEY, at(3_000)));
    assert!(cooldowns.is_available(ReplicaKey(8), at(0)));
    assert_eq!(cooldowns.remaining(KEY, at(1_000)), Some(Span::secs(2)));
    assert_eq!(cooldowns.remaining(KEY, at(3_000)), None);
    assert_eq!((cooldowns.count(at(0)), cooldowns.count(at(3_000))), (1, 0));
}

/// Guards against a pause that a second, shorter one ends.
#[test]
fn cooldown_that_ends_last_counts() {
    let mut cooldowns = paused();
    assert_eq!(cooldowns.start(KEY, Span::millis(500), at(1_000)), None);
    assert!(!cooldowns.is_available(KEY, at(2_999)));
    assert_eq!(cooldowns.start(KEY, Span::secs(3), at(2_000)), None);
    assert!(!cooldowns.is_available(KEY, at(4_999)));
    assert!(cooldowns.is_available(KEY, at(5_000)));
}

/// Guards against a pause that ends with the answer to a request from before its end.
#[test]
fn cooldown_outlives_earlier_answers() {
    let mut cooldowns = paused();
    assert!(!cooldowns.record_answered(KEY, at(0)));
    assert!(!cooldowns.record_answered(KEY, at(2_999)));
    assert!(!cooldowns.is_available(KEY, at(2_999)));
}

/// Guards against all waiting requests going out at once when the pause ends, to a replica that may
/// still be overloaded.
#[test]
fn cooldown_ends_with_one_probe() {
    let mut cooldowns = paused();
    cooldowns.record_sent(KEY, at(3_100));
    assert!(!cooldowns.is_available(KEY, at(3_100)));
    // An earlier request ends; the probe is still running.
    cooldowns.record_ended(KEY, at(0));
    assert!(!cooldowns.is_available(KEY, at(3_200)));
    assert!(cooldowns.record_answered(KEY, at(3_100)));
    assert!(cooldowns.is_available(KEY, at(3_200)));
}

/// Guards against a replica without requests for ever, as the probe got no answer.
#[test]
fn cooldown_probe_without_an_answer() {
    let mut cooldowns = paused();
    cooldowns.record_sent(KEY, at(3_100));
    cooldowns.record_ended(KEY, at(3_100));
    assert!(cooldowns.is_available(KEY, at(3_200)));
    // The next one is a probe too.
    cooldowns.record_sent(KEY, at(3_200));
    assert!(!cooldowns.is_available(KEY, at(3_200)));
}

#[test]
fn cooldown_probe_rejected() {
    let mut cooldowns = paused();
    cooldowns.record_sent(KEY, at(3_100));
    let begun = cooldowns.start(KEY, Span::secs(1), at(3_200));
    assert_eq!(begun, Some(Span::secs(1)));
    cooldowns.record_ended(KEY, at(3_100));
    assert!(!cooldowns.is_available(KEY, at(4_199)));
    assert!(cooldowns.is_available(KEY, at(4_200)));
}

/// Guards against a replica that a mistaken time takes out of use for days.
#[test]
fn cooldown_is_bounded() {
    let mut cooldowns = Cooldowns::default();
    assert_eq!(cooldowns.start(KEY, Span::ZERO, at(0)), None);
    assert!(cooldowns.is_available(KEY, at(0)));
    let asked = Span::secs(1_000_000);
    let begun = cooldowns.start(KEY, asked, at(0)).unwrap();
    assert!(begun < Span::secs(600));
    assert!(cooldowns.is_available(KEY, at(0) + begun));
    let longest = cooldowns.start(KEY, Span(u64::MAX), Time(u64::MAX - 1));
    assert_eq!(longest, Some(begun));
}

#[test]
fn cooldown_is_forgotten() {
    let mut cooldowns = paused();
    cooldowns.forget(at(2_000));
    assert!(!cooldowns.is_available(KEY, at(2_000)));
    cooldowns.record_sent(KEY, at(3_000));
    cooldowns.forget(at(100_000));
    assert!(cooldowns.is_available(KEY, at(100_000)));
}

/// Guards against callers that all return at the moment in which the first pause ends, or before it.
#[test]
fn retry_after_cooldown_spreads_callers() {
    for remaining in [Span::millis(1), Span::secs(3), Span::secs(300)] {
        let returns: BTreeSet<Span> = (0..100)
            .map(|n| retry_after_cooldown(remaining, f64::from(n) / 100.0))
            .collect();
        let (first, last) = (*returns.first().unwrap(), *returns.last().unwrap());
        assert_eq!(first, remaining);
        assert!(last >= remaining + Span::millis(190), "{last:?}");
        assert!(last <= remaining + Span::secs(2), "{last:?}");
        assert_eq!(returns.len(), 100);
    }
}

/// A request on its way to the replica, or its answer on the way back.
#[derive(Debug, Clone, Copy)]
struct Flight {
    sent: Time,
    arrives: Time,
    /// The answer: when it arrives, and the pause that it asks for.
    answer: Option<(Time, Option<Span>)>,
}

/// Guards against any sequence of requests, rejections and lost answers in which a replica gets
/// requests during a pause, but for those sent before the router knew, or several at its end.
#[test]
fn cooldown_holds_in_random_runs() {
    for seed in 0..300 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut cooldowns = Cooldowns::default();
        let mut flights: Vec<Flight> = Vec::new();
        // When the router last learned of a pause, and the latest end of those that it knows of.
        let mut known_until = Time(0);
        let mut paused = false;
        let mut served = true;
        for ms in 0..20_000 {
            let now = at(ms);
            if rng.u32(..400) == 0 {
                served = !served;
            }
            for flight in &mut flights {
                if flight.arrives == now && flight.answer.is_none() {
                    let back = now + Span::millis(rng.u64(1..30));
                    let pause = Span::millis(rng.u64(0..4_000));
                    flight.answer = Some((back, (!served).then_some(pause)));
                }
            }
            let (ended, running): (Vec<Flight>, Vec<Flight>) = flights
                .into_iter()
                .partition(|f| f.answer.is_some_and(|(back, _)| back == now));
            flights = running;
            for flight in ended {
                match flight.answer.unwrap().1 {
                    // The answer is lost.
                    _ if rng.u32(..20) == 0 => {}
                    Some(pause) => {
                        cooldowns.start(KEY, pause, now);
                        known_until = known_until.max(now + pause);
                        paused |= pause > Span::ZERO;
                    }
                    None => {
                        cooldowns.record_answered(KEY, flight.sent);
                        paused &= flight.sent < known_until;
                    }
                }
                cooldowns.record_ended(KEY, flight.sent);
            }
            if rng.u32(..3) == 0 && cooldowns.is_available(KEY, now) {
                assert!(now >= known_until, "seed {seed}: sent at {ms} ms");
                let probes = flights.iter().filter(|f| f.sent >= known_until).count();
                assert!(!paused || probes == 0, "seed {seed}: two at {ms} ms");
                cooldowns.record_sent(KEY, now);
                flights.push(Flight {
                    sent: now,
                    arrives: now + Span::millis(rng.u64(1..10)),
                    answer: None,
                });
            }
            cooldowns.forget(now);
        }
    }
}
