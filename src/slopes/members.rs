//! Membership: heartbeats sent, and the time and memory of the table.

use {
    super::{
        memory::bytes_of,
        series::{
            points,
            Series, //
        },
    },
    policy::{
        members::{
            Event,
            Heartbeat,
            Listed,
            LocalStatus,
            Members,
            MembershipParams,
            RouterAddresses, //
        },
        Incarnation,
        RouterId,
        Span,
        Time, //
    },
    std::{
        collections::HashMap,
        net::SocketAddr,
        time::Instant, //
    },
};

const SIZES: [usize; 6] = [8, 32, 92, 185, 277, 370];
const TARGET: f64 = 370.0;
const TICK: Span = Span::millis(50);
/// Time simulated for each figure, after as much to settle.
const SPAN: Span = Span::secs(5);
/// Bytes that a stream adds to a message: its frame, the chunk around it.
const FRAME: usize = 18;

pub(crate) fn measure() -> Vec<Series> {
    let runs: HashMap<usize, Run> = SIZES.iter().map(|&n| (n, run(n))).collect();
    let series = |name, cost, of: fn(&Run) -> f64| Series {
        name,
        role: "heartbeats",
        size: "routers",
        cost,
        target: TARGET,
        points: points(&SIZES, |n| of(&runs[&n])),
    };
    vec![
        series("members-sent", "bytes/s sent by one", |r| r.sent),
        series("members-time", "% of a core at one", |r| r.core),
    ]
}

pub(crate) fn memory() -> Vec<Series> {
    vec![Series {
        name: "members-memory",
        role: "heartbeats",
        size: "routers",
        cost: "KB",
        target: TARGET,
        points: points(&SIZES, |n| bytes_of(64, || table(0, n)) / 1e3),
    }]
}

/// What one router spent.
struct Run {
    sent: f64,
    core: f64,
}

fn run(n: usize) -> Run {
    let mut all: Vec<Members> = (0..n).map(|i| table(i, n)).collect();
    let index: HashMap<RouterId, usize> = (0..n).map(|i| (id(i), i)).collect();
    let mut now = Time(0);
    let mut spent = Spent::default();
    while now < Time(0) + SPAN {
        step(&mut all, &index, &mut now, &mut spent);
    }
    spent = Spent::default();
    let end = now + SPAN;
    while now < end {
        step(&mut all, &index, &mut now, &mut spent);
    }
    let share = n as f64 * SPAN.as_secs();
    Run {
        sent: spent.bytes as f64 / share,
        core: spent.seconds / share * 100.0,
    }
}

#[derive(Default)]
struct Spent {
    bytes: usize,
    seconds: f64,
}

fn step(all: &mut [Members], index: &HashMap<RouterId, usize>, now: &mut Time, spent: &mut Spent) {
    *now += TICK;
    let mut mail: Vec<(usize, Heartbeat)> = Vec::new();
    let begin = Instant::now();
    for m in all.iter_mut() {
        m.set_local_status(LocalStatus::default());
        m.tick(*now);
        mail.extend(
            m.take_events()
                .into_iter()
                .filter_map(|e| beat_of(e, index)),
        );
    }
    let mut replies = Vec::new();
    for (to, beat) in mail.drain(..) {
        spent.bytes += size(&beat);
        all[to].receive_heartbeat(beat, *now);
        let events = all[to].take_events().into_iter();
        replies.extend(events.filter_map(|e| beat_of(e, index)));
    }
    for (to, beat) in replies {
        spent.bytes += size(&beat);
        all[to].receive_heartbeat(beat, *now);
    }
    spent.seconds += begin.elapsed().as_secs_f64();
}

fn beat_of(e: Event, index: &HashMap<RouterId, usize>) -> Option<(usize, Heartbeat)> {
    match e {
        Event::SendHeartbeat { to, heartbeat, .. } => Some((*index.get(&to)?, *heartbeat)),
        Event::Changed | Event::Replaced(_) => None,
    }
}

fn size(beat: &Heartbeat) -> usize {
    rmp_serde::to_vec(beat).map_or(0, |b| b.len()) + FRAME
}

fn id(i: usize) -> RouterId {
    format!("router-{i}").parse().expect("a valid name")
}

fn addr(port: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (port >> 8) as u8, port as u8], 7400))
}

fn table(me: usize, n: usize) -> Members {
    let zone = |i: usize| format!("zone-{}", i % 9).parse().expect("a valid name");
    let intro = RouterAddresses {
        addr: addr(me),
        caller_addr: addr(me),
        operator_addr: Some(addr(me)),
        zone: zone(me),
    };
    let seed = me as u64;
    let mut members = Members::new(
        id(me),
        Incarnation(1),
        intro,
        MembershipParams::default(),
        seed,
    );
    let list = (0..n).map(|i| Listed {
        id: id(i),
        addr: addr(i),
        caller_addr: addr(i),
        zone: zone(i),
        leaving: false,
    });
    members.update_list(list.collect(), Time(0));
    members
}
