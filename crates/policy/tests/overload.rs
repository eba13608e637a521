//! An instance that has less processor time than its requests need, in virtual time.

use {
    policy::{
        Overload,
        Span,
        Time,
        WorkspaceId, //
    },
    std::collections::VecDeque, //
};

/// Processor time of a request that is served, on an instance with an eighth of a core.
const SERVED: Span = Span::millis(2);
/// The same for one that is rejected.
const REJECTED: Span = Span(400);
/// Interval between two measurements of the delay.
const MEASURED: Span = Span::millis(25);

/// One thread that works off requests in the order of their arrival.
#[derive(Default)]
struct Instance {
    overload: Overload,
    /// Time at which everything that has arrived is worked off.
    busy_until: Time,
    waiting: VecDeque<Time>,
    turn: u64,
}

/// What became of the requests of a workspace.
#[derive(Debug, Default, Clone, Copy)]
struct Outcome {
    requests: u32,
    served: u32,
    /// Served after they had waited for more than 100 ms.
    late: u32,
}

impl Instance {
    fn request(&mut self, workspace: &WorkspaceId, now: Time, outcome: &mut Outcome) {
        self.turn += 1;
        // A sequence that covers the interval evenly.
        let roll = (self.turn as f64 * 0.618_033_988_75).fract();
        self.overload.record_request(workspace, now);
        let begun = self.busy_until.max(now);
        outcome.requests += 1;
        let cost = match self.overload.admits(workspace, roll, || 0.0, now) {
            true => {
                outcome.served += 1;
                outcome.late += u32::from(begun.since(now) > Span::millis(100));
                SERVED
            }
            false => REJECTED,
        };
        self.busy_until = begun + cost;
        self.waiting.push_back(now);
    }

    fn measure(&mut self, now: Time) {
        self.overload.record_delay(self.busy_until.since(now));
    }
}

/// Runs a flood and a small workspace at one instance for ten seconds. The flood sends `rate`
/// requests per second for the first `lasts`. Returns what became of both, and the instance.
fn run(rate: u64, lasts: Span) -> (Outcome, Outcome, Instance) {
    let (flood, small): (WorkspaceId, WorkspaceId) =
        ("flood".parse().unwrap(), "small".parse().unwrap());
    let mut instance = Instance::default();
    let (mut of_flood, mut of_small) = (Outcome::default(), Outcome::default());
    let step = Span(1_000_000 / rate);
    let mut now = Time(0);
    let (mut next_small, mut next_measure) = (Time(0), Time(0));
    while now < Time(0) + Span::secs(10) {
        now += step;
        if now < Time(0) + lasts {
            instance.request(&flood, now, &mut of_flood);
        }
        if now >= next_small {
            next_small = now + Span::millis(200);
            instance.request(&small, now, &mut of_small);
        }
        if now >= next_measure {
            next_measure = now + MEASURED;
            instance.measure(now);
        }
    }
    (of_flood, of_small, instance)
}

/// Guards against a flood at one small instance, whose requests are then all served late, those of
/// small workspaces too.
#[test]
fn overload_flood_at_one_instance() {
    for rate in [800, 1_200] {
        let (flood, small, _) = run(rate, Span::secs(10));
        assert!(
            small.served * 100 >= small.requests * 95,
            "{rate}: {small:?}"
        );
        assert!(flood.late * 5 <= flood.served, "{rate}: {flood:?}");
        // The rest of the processor time serves requests.
        let room = 10_000_000 - u64::from(flood.requests) * REJECTED.0;
        let possible = room / (SERVED.0 - REJECTED.0);
        assert!(
            u64::from(flood.served) * 10 >= possible * 7,
            "{rate}: {flood:?} of {possible}"
        );
    }
}

/// Guards against a workspace whose callers keep to an overloaded instance and that gets less than
/// half of what another one gets elsewhere.
#[test]
fn admits_a_workspace_that_lags() {
    let (_, _, instance) = run(1_200, Span::secs(10));
    let (flood, now) = ("flood".parse().unwrap(), Time(0) + Span::secs(10));
    let admitted = |shortfall: f64| {
        let rolls = (0..100).map(|n| f64::from(n) / 100.0);
        let admitted =
            rolls.filter(|roll| instance.overload.admits(&flood, *roll, || shortfall, now));
        admitted.count()
    };
    assert!(admitted(0.3) < 60, "{}", admitted(0.3));
    assert_eq!(admitted(0.45), 100);
}

/// Guards against rejections by an instance that has time enough, also after a burst.
#[test]
fn overload_within_capacity() {
    let (flood, small, instance) = run(400, Span::secs(10));
    assert_eq!(
        (flood.served, small.served),
        (flood.requests, small.requests)
    );
    assert_eq!(instance.overload.rejected(), 0.0);
    let (_, _, instance) = run(1_200, Span::secs(5));
    assert_eq!(instance.overload.rejected(), 0.0);
}
