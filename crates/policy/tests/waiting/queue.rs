//! Places in the queue.

use policy::{
    waiting::{
        NoPlace,
        Place,
        Priority,
        Queue,
        Rank,
        Timing, //
    },
    ServiceId,
    Span,
    Time, //
};

/// The number of requests that may wait.
const WAITING_MAX: u64 = 64;

fn service() -> ServiceId {
    "s".parse().unwrap()
}

fn place(over_share: bool, send_by: u64, priority: u32) -> Place {
    Place {
        rank: Rank {
            over_share,
            send_by: Time(send_by),
            priority: Priority(priority),
        },
        latest_start: Time(0) + Span::millis(200),
        gave_way: false,
    }
}

fn join(queue: &mut Queue<u64>, place: Place, handle: u64) {
    queue.join(&service(), place, handle, Time(0)).unwrap();
}

/// Guards against requests of workspaces over their share, or with more time, coming first.
#[test]
fn queue_order() {
    let mut queue = Queue::default();
    let places = [(true, 1, 0), (false, 9, 1), (false, 9, 0), (false, 8, 5)];
    for (n, (over, send_by, priority)) in (0..).zip(places) {
        join(&mut queue, place(over, send_by, priority), n);
    }
    assert_eq!(queue.begin_round().turns, [3, 2, 1, 0]);
}

/// Guards against rounds that cost more than four placement decisions.
#[test]
fn queue_round_is_bounded() {
    let mut queue = Queue::default();
    for n in 0..WAITING_MAX {
        join(&mut queue, place(false, n, 0), n);
    }
    assert_eq!(queue.begin_round().turns, [0, 1, 2, 3]);
    let more = queue.join(&service(), place(false, 0, 0), 99, Time(0));
    assert_eq!(more, Err(NoPlace::Full));
}

/// Guards against places that stay taken after a caller has left.
#[test]
fn queue_leave_frees_the_place() {
    let mut queue = Queue::default();
    let first = queue.join(&service(), place(false, 1, 0), 1, Time(0));
    join(&mut queue, place(false, 2, 0), 2);
    queue.leave(first.unwrap());
    queue.leave(first.unwrap());
    assert_eq!(queue.begin_round().turns, [2]);
    assert_eq!(queue.waiting(&service()), 1);
}

/// Guards against waits that are known to be in vain, and against rejections while the rate is
/// unknown.
#[test]
fn queue_rejects_what_has_no_turn_in_time() {
    let mut queue = Queue::default();
    for n in 0..12 {
        join(&mut queue, place(false, n, 0), n);
    }
    // Nothing was admitted for 150 ms, so that 13 more admissions take far longer than the rest.
    let now = Time(0) + Span::millis(150);
    let last = place(false, 99, 0);
    let joined = queue.join(&service(), last, 99, now);
    assert_eq!(joined, Err(NoPlace::TooLate));
    let service = "other".parse().unwrap();
    assert!(queue.join(&service, last, 99, now).is_ok());
}

/// Guards against a new request that takes the room for which earlier ones wait, and against waits
/// of requests that have found room when nobody's try is due.
#[test]
fn queue_gives_way_until_the_round_ends() {
    let mut queue = Queue::default();
    for n in 0..6 {
        join(&mut queue, place(false, 10 + n, 0), n);
    }
    let (early, late) = (place(false, 1, 0), place(false, 99, 0));
    assert!(!queue.gives_way(&service(), late, Time(0)));
    assert!(queue.record_room());
    assert!(queue.gives_way(&service(), late, Time(0)));
    assert!(!queue.gives_way(&service(), early, Time(0)));
    let gave_way = Place {
        gave_way: true,
        ..late
    };
    join(&mut queue, gave_way, 6);
    let round = queue.begin_round();
    assert_eq!(round.turns, [0, 1, 2, 3, 6]);
    assert!(queue.gives_way(&service(), late, Time(0)));
    queue.end_round(&round);
    assert!(!queue.gives_way(&service(), late, Time(0)));
    assert_eq!(queue.begin_round().turns, [0, 1, 2, 3]);
}

/// Guards against a wait after which the prompt can't be read before the target, or before the
/// caller gives up.
#[test]
fn timing_leaves_time_to_read() {
    let timing = |target, deadline, reading| Timing {
        arrived: Time(0),
        target: Span::millis(target),
        deadline: Time(0) + Span::millis(deadline),
        reading: Span::millis(reading),
    };
    let limit = |t: Timing| t.latest_start().since(Time(0)).as_millis();
    assert_eq!(limit(timing(800, 6_000, 100)), 200);
    assert_eq!(limit(timing(800, 6_000, 700)), 100);
    assert_eq!(limit(timing(800, 150, 100)), 50);
    assert_eq!(limit(timing(800, 6_000, 900)), 0);
}
