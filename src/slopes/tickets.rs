//! Tickets: memory of those used, time of a use.

use {
    super::{
        memory::bytes_of,
        series::{
            points,
            Series, //
        },
    },
    policy::{
        tickets::{
            Claim,
            Holder,
            RetentionLimits,
            Tickets, //
        },
        Incarnation,
        Outcome,
        Time, //
    },
    std::time::Instant,
};

const SIZES: [usize; 4] = [1_000, 4_000, 16_000, 32_000];
/// 70 requests a second at a node, all with tickets, remembered for seven minutes.
const TARGET: f64 = 70.0 * 420.0;

pub(crate) fn memory() -> Vec<Series> {
    vec![Series {
        name: "tickets-memory",
        role: "tickets",
        size: "tickets used and remembered",
        cost: "KB",
        target: TARGET,
        points: points(&SIZES, |n| bytes_of(4, || used(n)) / 1e3),
    }]
}

pub(crate) fn measure() -> Vec<Series> {
    vec![Series {
        name: "tickets-time",
        role: "tickets",
        size: "tickets used and remembered",
        cost: "us for one use",
        target: TARGET,
        points: points(&SIZES, time),
    }]
}

fn empty() -> Tickets {
    let me = Holder {
        router: "r1".parse().expect("a valid name"),
        incarnation: Incarnation(1),
    };
    Tickets::new(me, RetentionLimits::default())
}

fn used(n: usize) -> Tickets {
    let mut tickets = empty();
    for t in tickets.issue(n as u32, Time(0)) {
        if let Claim::Granted(grant) = tickets.claim(&t, Time(1)) {
            tickets.finish(&grant, Outcome::Answered, None, Time(2));
        }
    }
    tickets
}

fn time(n: usize) -> f64 {
    let begin = Instant::now();
    let tickets = used(n);
    let took = begin.elapsed().as_secs_f64() * 1e6 / n as f64;
    drop(tickets);
    took
}
