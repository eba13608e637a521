use {
    super::{
        MemoryRank,
        Standing, //
    },
    crate::{
        account::Phase,
        activity::Activity, //
    },
    std::time::{
        Duration,
        Instant, //
    },
};

/// Returns a connection that began a request some seconds ago and received so many bytes each second.
fn receiving(begun: Instant, seconds: u64, each: usize) -> Standing {
    let mut activity = Activity::new(begun);
    let at = |n: u64| begun + Duration::from_secs(n);
    (1..=seconds).for_each(|n| activity.record(each, at(n)));
    Standing {
        phase: Phase::Receiving,
        held: each * seconds as usize,
        activity,
        served: false,
        since: begun,
        message: begun,
    }
}

/// Guards against a slow but steady upload that counts as stalled.
#[test]
fn memory_rank_of_a_steady_body() {
    let begun = Instant::now();
    let standing = receiving(begun, 30, 130_000);
    let rank = standing.memory_rank(true, begun + Duration::from_secs(30));
    assert!(matches!(rank, Some(MemoryRank::Large(_))), "{rank:?}");
}

/// Guards against a stalled body that stays as long as its connection.
#[test]
fn memory_rank_of_a_stalled_body() {
    let begun = Instant::now();
    let standing = receiving(begun, 1, 4_000_000);
    let rank = |s: u64| standing.memory_rank(false, begun + Duration::from_secs(s));
    assert!(matches!(rank(2), Some(MemoryRank::Large(_))));
    assert!(matches!(rank(11), Some(MemoryRank::Stalled(_))));
}

/// Guards against a short request that yields to large ones.
#[test]
fn memory_rank_of_a_short_body() {
    let begun = Instant::now();
    let now = begun + Duration::from_secs(1);
    let short = receiving(begun, 1, 600);
    let large = receiving(begun, 1, 4_000_000);
    assert_eq!(short.memory_rank(true, now), None);
    assert!(large.memory_rank(false, now) < short.memory_rank(false, now));
}

/// Guards against a request that is ended while it is being served.
#[test]
fn ranks_of_a_served_request() {
    let begun = Instant::now();
    let standing = Standing {
        phase: Phase::Serving,
        ..receiving(begun, 1, 4_000_000)
    };
    let later = begun + Duration::from_secs(60);
    assert_eq!(standing.memory_rank(false, later), None);
    assert_eq!(standing.place_rank(later), None);
}

/// Guards against a kept connection that yields before one that never brought a request.
#[test]
fn place_rank_of_a_kept_connection() {
    let begun = Instant::now();
    let fresh = Standing {
        phase: Phase::Idle,
        since: begun + Duration::from_secs(5),
        ..receiving(begun, 0, 0)
    };
    let kept = Standing {
        served: true,
        since: begun,
        ..fresh
    };
    let now = begun + Duration::from_secs(6);
    assert!(fresh.place_rank(now) < kept.place_rank(now));
}
