//! Seeded schedules of overlapping faults.

use {
    super::{
        plan::Plan,
        store::StoreFault, //
    },
    std::time::Duration,
};

/// Length of a run without its start and its end.
pub(crate) const LENGTH: Duration = Duration::from_secs(14);
/// Faults begin only this long before the end, so that each of them ends within the run.
const FAULTS_END: u64 = 9_000;
/// Replicas begin to leave by then, as it takes them longer to be back.
const LEAVE_END: u64 = 3_000;
/// How much later than a replica the list says that it is leaving: twice as long as routers tell
/// each other of it.
const LIST_LAG_MAX: u64 = 12_000;
/// Faults of a run.
const FAULTS: usize = 16;
/// Replicas that break streams off or fall silent, besides.
const BREAKS: usize = 10;
/// Replicas that crash by themselves where a part of a prompt crashes others.
const CRASHES: usize = 3;

/// A change of one process or stand-in.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Step {
    /// The replica says in its answers that it is leaving.
    Leave(usize),
    /// The list says so too.
    ListLeaving(usize),
    Unlist(usize),
    EndReplica(usize),
    /// It starts again under its id and address, and is listed.
    RestartReplica(usize),
    Pause(usize, Option<Duration>),
    Failing(usize, bool),
    /// Some of its streams break off.
    Breaking(usize, bool),
    /// It crashes, and starts again under a new id some time later.
    Crash(usize),
    /// It sends nothing for this long.
    Silent(usize, Duration),
    /// It starts again with another version, under a new id, and is listed.
    Replace(usize, u32),
    Store(Option<StoreFault>),
    Kill(usize),
    Term(usize),
    StartRouter(usize),
    Stop(usize),
    Cont(usize),
    Configure,
}

/// A step and when it is done, in milliseconds.
pub(crate) type Timed = (u64, Step);

/// Returns the steps of a seed, in order.
pub(crate) fn steps(seed: u64, plan: &Plan) -> Vec<Timed> {
    let mut rng = fastrand::Rng::with_seed(seed);
    if plan.crashes {
        return crashes(&mut rng, plan);
    }
    let (replicas, routers) = (plan.replicas(), plan.routers);
    let mut steps = match plan.releases {
        true => releases(&mut rng, plan),
        false => Vec::new(),
    };
    // A replica or router that leaves or restarts is not made to do so again in the same run.
    let mut restarted: Vec<bool> = (0..replicas).map(|n| is_replaced(&steps, n)).collect();
    let mut ended = vec![plan.releases; routers];
    for _ in 0..FAULTS {
        let at = rng.u64(500..FAULTS_END);
        let replica = rng.usize(..replicas);
        let router = rng.usize(..routers);
        match rng.u32(..10) {
            0..=2 if !std::mem::replace(&mut restarted[replica], true) => {
                let at = at.min(LEAVE_END);
                steps.extend(leave(&mut rng, replica, at));
            }
            0..=2 => {}
            3 | 4 => {
                let time = Duration::from_millis(rng.u64(300..3_000));
                let until = at + rng.u64(300..3_000);
                steps.push((at, Step::Pause(replica, Some(time))));
                steps.push((until, Step::Pause(replica, None)));
            }
            5 => {
                // All replicas of both services, one after the other.
                for replica in 0..replicas {
                    let time = Duration::from_millis(rng.u64(300..2_000));
                    let at = at + rng.u64(..300);
                    steps.push((at, Step::Pause(replica, Some(time))));
                    steps.push((at + rng.u64(300..1_500), Step::Pause(replica, None)));
                }
            }
            6 => {
                let fault = [StoreFault::Busy, StoreFault::Reset, StoreFault::Silent];
                let fault = fault[rng.usize(..fault.len())];
                steps.push((at, Step::Store(Some(fault))));
                steps.push((at + rng.u64(500..4_000), Step::Store(None)));
            }
            7 => {
                let until = at + rng.u64(500..3_000);
                for replica in [replica, rng.usize(..replicas)] {
                    steps.push((at, Step::Failing(replica, true)));
                    steps.push((until, Step::Failing(replica, false)));
                }
            }
            8 if !std::mem::replace(&mut ended[router], true) => {
                let (step, pause) = match rng.bool() {
                    true => (Step::Kill(router), rng.u64(200..1_500)),
                    false => (Step::Term(router), 5_000),
                };
                steps.push((at, step));
                steps.push((at + pause, Step::StartRouter(router)));
            }
            8 => {
                steps.push((at, Step::Stop(router)));
                steps.push((at + rng.u64(100..1_500), Step::Cont(router)));
            }
            _ => steps.push((at, Step::Configure)),
        }
    }
    steps.sort_by_key(|(at, _)| *at);
    steps
}

/// Replicas that crash by themselves, and routers that are killed, ended and stopped.
fn crashes(rng: &mut fastrand::Rng, plan: &Plan) -> Vec<Timed> {
    let mut steps = ended_routers(rng, plan);
    for _ in 0..CRASHES {
        let at = rng.u64(500..FAULTS_END);
        let replica = rng.usize(..plan.services[0].replicas);
        steps.push((at, Step::Crash(replica)));
    }
    for _ in 0..rng.u32(0..3) {
        let (at, router) = (rng.u64(500..FAULTS_END), rng.usize(..plan.routers));
        steps.push((at, Step::Stop(router)));
        steps.push((at + rng.u64(100..1_000), Step::Cont(router)));
    }
    steps.sort_by_key(|(at, _)| *at);
    steps
}

fn is_replaced(steps: &[Timed], replica: usize) -> bool {
    let of_replica = |step: &Step| matches!(step, Step::Replace(n, _) if *n == replica);
    steps.iter().any(|(_, step)| of_replica(step))
}

/// Two releases of the first service, the second of which is reverted for some replicas or goes on to
/// a third version, one of another service, and streams that break off meanwhile.
fn releases(rng: &mut fastrand::Rng, plan: &Plan) -> Vec<Timed> {
    let mut steps = Vec::new();
    let first = plan.services[0].replicas;
    let second = plan.services[1].replicas;
    let back = rng.u32(1..=3);
    let mut at = rng.u64(300..1_000);
    for replica in 0..first {
        steps.extend(replace(rng, replica, at, 2));
        at += rng.u64(150..500);
    }
    let mut at = rng.u64(6_000..7_000);
    for replica in 0..rng.usize(1..=first) {
        steps.extend(replace(rng, replica, at, back));
        at += rng.u64(100..400);
    }
    let mut at = rng.u64(1_000..6_000);
    for replica in first..first + rng.usize(1..=second) {
        steps.extend(replace(rng, replica, at, 2));
        at += rng.u64(100..900);
    }
    for _ in 0..BREAKS {
        let at = rng.u64(500..FAULTS_END);
        let replica = rng.usize(..first + second);
        match rng.bool() {
            true => {
                let until = at + rng.u64(300..2_000);
                steps.push((at, Step::Breaking(replica, true)));
                steps.push((until, Step::Breaking(replica, false)));
            }
            false => {
                let time = Duration::from_millis(rng.u64(1_100..2_200));
                steps.push((at, Step::Silent(replica, time)));
            }
        }
    }
    steps.extend(ended_routers(rng, plan));
    steps
}

/// Each router is killed or ended once, or all but one are killed at the same time.
fn ended_routers(rng: &mut fastrand::Rng, plan: &Plan) -> Vec<Timed> {
    let mut steps = Vec::new();
    if rng.u32(..3) == 0 {
        let (at, spared) = (rng.u64(1_500..FAULTS_END), rng.usize(..plan.routers));
        for router in (0..plan.routers).filter(|n| *n != spared) {
            steps.push((at, Step::Kill(router)));
            steps.push((at + rng.u64(200..800), Step::StartRouter(router)));
        }
        return steps;
    }
    for router in 0..plan.routers {
        let at = rng.u64(1_500..FAULTS_END);
        let (step, pause) = match rng.u32(..4) {
            0 => (Step::Term(router), 5_000),
            _ => (Step::Kill(router), rng.u64(200..800)),
        };
        steps.push((at, step));
        steps.push((at + pause, Step::StartRouter(router)));
    }
    steps
}

/// A replica leaves, ends, and another one with another version takes its place.
fn replace(rng: &mut fastrand::Rng, replica: usize, at: u64, version: u32) -> Vec<Timed> {
    let ended = at + rng.u64(2_000..2_400);
    vec![
        (at, Step::Leave(replica)),
        (at + rng.u64(..50), Step::ListLeaving(replica)),
        (ended, Step::EndReplica(replica)),
        (ended + rng.u64(50..400), Step::Replace(replica, version)),
    ]
}

/// A replica leaves, is listed as leaving some time later, ends and starts again.
fn leave(rng: &mut fastrand::Rng, replica: usize, at: u64) -> Vec<Timed> {
    let listed = at + rng.u64(..LIST_LAG_MAX);
    let ended = listed.max(at + 2_000) + rng.u64(..1_000);
    let mut steps = vec![
        (at, Step::Leave(replica)),
        (ended, Step::EndReplica(replica)),
    ];
    steps.push((
        listed,
        match rng.bool() {
            true => Step::ListLeaving(replica),
            false => Step::Unlist(replica),
        },
    ));
    steps.push((ended + rng.u64(200..2_000), Step::RestartReplica(replica)));
    steps
}
