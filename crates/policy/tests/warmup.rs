//! Cold replicas and a fleet of routers that send them requests, in virtual time.

use {
    policy::{
        placement::ReplicaKey,
        warmup::{
            ColdReport,
            ColdStart,
            Warmup, //
        },
        RouterId,
        Span,
        Time, //
    },
    std::collections::{
        BTreeSet,
        VecDeque, //
    },
};

const REPLICA: ReplicaKey = ReplicaKey(0x5eed);
const START: ColdStart = ColdStart {
    lasts: Span::secs(3),
    requests: 32,
};
/// Number of active routers.
const ACTIVE: usize = 12;
const STEP: Span = Span::millis(10);
/// Time until the others notice that a router failed or came back.
const NOTICE: Span = Span::secs(1);

/// A router, as far as cold replicas are concerned.
struct Router {
    name: RouterId,
    warmup: Warmup,
    /// Since when it is active; none if it is not, or doesn't run.
    active_since: Option<Time>,
    up: bool,
    /// The routers that it considers active, in the order of their ranks.
    view: Vec<usize>,
}

/// A fleet before one replica that is cold all the while.
struct Fleet {
    routers: Vec<Router>,
    names: Vec<RouterId>,
    now: Time,
    /// Requests that the replica got in the last second.
    recent: VecDeque<Time>,
    /// The most that it got in any second.
    most: usize,
    /// Requests in all.
    total: usize,
}

impl Fleet {
    fn new(count: usize) -> Fleet {
        let router = |i: usize| Router {
            name: format!("r{i:03}").parse().unwrap(),
            warmup: Warmup::default(),
            active_since: (i < ACTIVE).then_some(Time(0)),
            up: true,
            view: (0..ACTIVE.min(count)).collect(),
        };
        let routers: Vec<Router> = (0..count).map(router).collect();
        let mut fleet = Fleet {
            names: routers.iter().map(|r| r.name.clone()).collect(),
            routers,
            now: Time(0),
            recent: VecDeque::new(),
            most: 0,
            total: 0,
        };
        fleet.run(Span::secs(5));
        for router in &mut fleet.routers {
            router.warmup.started(REPLICA, WITHOUT_END, fleet.now);
        }
        fleet
    }

    /// Lets all routers send as many requests to the replica as they may.
    fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            for i in 0..self.routers.len() {
                self.step(i);
            }
        }
    }

    fn step(&mut self, i: usize) {
        let now = self.now;
        let router = &mut self.routers[i];
        let Some(since) = router.active_since.filter(|_| router.up) else {
            return;
        };
        let view = router.view.iter().map(|i| &self.names[*i]);
        router.warmup.assignment.observe_active(view, now);
        let active_for = now.since(since);
        while router.warmup.is_cold(REPLICA, now)
            && router
                .warmup
                .admits(REPLICA, START, &router.name, active_for, now)
        {
            router.warmup.record_sent(REPLICA, now);
            self.recent.push_back(now);
            self.total += 1;
        }
        while self
            .recent
            .front()
            .is_some_and(|at| now.since(*at) >= Span::secs(1))
        {
            self.recent.pop_front();
        }
        self.most = self.most.max(self.recent.len());
    }

    /// Makes a set of routers choose the active ones among those of them that are up.
    fn choose_active(&mut self, among: &BTreeSet<usize>) {
        let up: Vec<usize> = among
            .iter()
            .copied()
            .filter(|i| self.routers[*i].up)
            .take(ACTIVE)
            .collect();
        for i in among {
            let (now, router) = (self.now, &mut self.routers[*i]);
            router.view = up.clone();
            router.active_since = match up.contains(i) {
                true => router.active_since.or(Some(now)),
                false => None,
            };
        }
    }

    fn kill(&mut self, which: impl Iterator<Item = usize>) {
        for i in which {
            self.routers[i].up = false;
        }
    }

    /// Starts killed routers. At first each one considers itself active and knows no other.
    fn restart(&mut self) {
        let now = self.now;
        for (i, router) in self.routers.iter_mut().enumerate() {
            if !router.up {
                router.up = true;
                router.warmup = Warmup::default();
                router.warmup.started(REPLICA, WITHOUT_END, now);
                router.view = vec![i];
                router.active_since = Some(now);
            }
        }
    }

    fn all(&self) -> BTreeSet<usize> {
        (0..self.routers.len()).collect()
    }
}

/// A replica that stays cold for the whole run.
const WITHOUT_END: ColdStart = ColdStart {
    lasts: Span::secs(1_000),
    ..START
};

const SIZES: [usize; 4] = [8, 60, 300, 370];

/// Guards against a cold replica that gets too many requests, or hardly any, from a calm fleet.
#[test]
fn warmup_calm() {
    for size in SIZES {
        let mut fleet = Fleet::new(size);
        fleet.run(Span::secs(10));
        assert_eq!(fleet.most, 16, "{size}");
        assert!(fleet.total >= 150, "{size}: {}", fleet.total);
    }
}

/// Guards against a cold replica that crashes while half of the routers are killed and come back:
/// others take their part, and they no longer know what they sent.
#[test]
fn warmup_half_of_the_routers_killed() {
    for size in SIZES {
        for killed in 0..2 {
            let mut fleet = Fleet::new(size);
            fleet.run(Span::millis(700));
            fleet.kill((0..size).filter(|i| i % 2 == killed));
            fleet.run(Span::millis(300));
            fleet.restart();
            fleet.run(NOTICE);
            let all = fleet.all();
            fleet.choose_active(&all);
            fleet.run(Span::secs(5));
            assert!(
                fleet.most <= START.requests as usize,
                "{size}: {}",
                fleet.most
            );
        }
    }
}

/// Guards against routers that take the part of those which they only can't reach.
#[test]
fn warmup_fleet_in_two_halves() {
    for size in SIZES {
        let mut fleet = Fleet::new(size);
        fleet.run(NOTICE);
        for half in 0..2 {
            let members = (0..size).filter(|i| i % 2 == half).collect();
            fleet.choose_active(&members);
        }
        fleet.run(Span::secs(30));
        assert!(
            fleet.most <= START.requests as usize,
            "{size}: {}",
            fleet.most
        );
        assert!(fleet.total >= 30 * 8, "{size}: {}", fleet.total);
    }
}

/// Guards against a fleet that sends to cold replicas without limit once all routers restarted.
#[test]
fn warmup_all_routers_killed() {
    for size in SIZES {
        let mut fleet = Fleet::new(size);
        fleet.run(NOTICE);
        let all = fleet.all();
        fleet.kill(all.iter().copied());
        fleet.restart();
        fleet.run(NOTICE);
        fleet.choose_active(&all);
        fleet.run(Span::secs(5));
        assert!(
            fleet.most <= START.requests as usize,
            "{size}: {}",
            fleet.most
        );
        assert!(fleet.total > 0, "{size}");
    }
}

/// Guards against a replica that counts as cold for longer with each list that shows the same
/// report, or for good.
#[test]
fn listed_same_report_again() {
    let mut warmup = Warmup::default();
    let report = |number, remaining| {
        Some(ColdReport {
            number,
            remaining: Span::millis(remaining),
        })
    };
    let at = |ms| Time(0) + Span::millis(ms);
    assert!(!warmup.listed(REPLICA, report(1, 2_000), at(0)));
    assert!(warmup.listed(REPLICA, report(1, 2_000), at(900)));
    assert!(warmup.is_cold(REPLICA, at(1_999)));
    assert!(!warmup.is_cold(REPLICA, at(2_000)));
    // A list of a peer says nothing about it.
    warmup.listed(REPLICA, None, at(2_100));
    warmup.listed(REPLICA, report(1, 2_000), at(2_200));
    assert!(!warmup.is_cold(REPLICA, at(2_300)));
    // It became cold again without a restart.
    warmup.listed(REPLICA, report(5, 3_000), at(5_000));
    assert!(warmup.is_cold(REPLICA, at(7_900)));
}

/// Guards against reports that go from router to router and keep a replica cold.
#[test]
fn report_leaves_out_what_peers_reported() {
    let mut first = Warmup::default();
    first.started(REPLICA, START, Time(0));
    let mut second = Warmup::default();
    let later = Time(0) + Span::secs(1);
    let reported = first.report(later);
    assert_eq!(reported[0].remaining, Span::secs(2));
    second.apply_peer(&reported, later);
    assert!(second.is_cold(REPLICA, later));
    assert!(second.report(later).is_empty());
    assert!(first.report(Time(0) + Span::secs(3)).is_empty());
}

/// Guards against a limit so low that no part of it is a whole request.
#[test]
fn warmup_low_limits() {
    for requests in 0..12 {
        let start = ColdStart { requests, ..START };
        let names: Vec<RouterId> = (0..30).map(|i| format!("r{i}").parse().unwrap()).collect();
        let mut sent = 0;
        for name in &names {
            let mut warmup = Warmup::default();
            warmup.assignment.observe_active(names.iter(), Time(0));
            warmup.started(REPLICA, start, Time(0));
            while warmup.admits(REPLICA, start, name, Span::secs(9), Time(0)) {
                warmup.record_sent(REPLICA, Time(0));
                sent += 1;
            }
        }
        assert!(sent <= requests / 2, "{sent} of {requests}");
        assert!(requests < 2 || sent > 0, "{requests}");
    }
}
