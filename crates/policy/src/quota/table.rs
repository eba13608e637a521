//! What each workspace asked for and was given, over the fleet.

use {
    super::level,
    crate::{
        RouterId,
        Span,
        Time,
        WorkspaceId, //
    },
    serde::{
        Deserialize,
        Serialize, //
    },
    std::collections::{
        HashMap,
        VecDeque, //
    },
    xxhash_rust::xxh3::xxh3_64, //
};

/// Length of one step of the window.
const STEP: Span = Span::millis(250);
/// A peer's word counts for this long, or for as long as [`Quota::hear`] says; after that its
/// share of the window is unknown.
const HEARD: Span = Span::secs(2);
/// Words of a peer that may be missed before its counts are unknown. One in some hundred is lost.
const MISSED: f64 = 2.3;
/// The level is worked out again after this time.
const FRESH: Span = Span::millis(50);

/// A short name of a workspace for messages between routers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WorkspaceKey(pub u32);

/// The asks of the last second decide how several floods share what there is. A flood that
/// begins is let through whole until it shows in what was asked: over 4 s of window it got
/// three times what another had, over 1 s no more than a half above it.
const LATELY: Span = Span::secs(1);

/// Tokens over the window.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Asked {
    /// That were asked for.
    pub asked: f32,
    /// Of which were begun.
    pub given: f32,
    /// That were asked for in the last second.
    pub lately: f32,
}

/// The shares of workspaces in the fleet's capacity.
///
/// # Examples
///
/// ```
/// use policy::{quota::{Quota, WorkspaceKey}, Span, Time};
///
/// let mut quota = Quota::new(Span::secs(4));
/// quota.set_capacity(100.0);
/// let (large, small) = (WorkspaceKey(1), WorkspaceKey(2));
/// quota.asked(large, 4_000.0, Time(0));
/// quota.given(large, 800.0, Time(0));
/// quota.asked(small, 40.0, Time(0));
/// assert!(quota.standing(large, 0.5, Time(0)).share > 1.0);
/// assert!(quota.standing(small, 0.5, Time(0)).share < 1.0);
/// ```
#[derive(Debug)]
pub struct Quota {
    window: Span,
    /// Tokens a second that all may have together.
    capacity: f64,
    own: HashMap<WorkspaceKey, VecDeque<(Time, Asked)>>,
    peers: HashMap<RouterId, (Time, HashMap<WorkspaceKey, Asked>)>,
    levels: Option<(Time, Levels)>,
    /// How long a peer's word counts.
    heard: Span,
}

/// The most that a workspace may have over the window, in tokens.
#[derive(Debug, Clone, Copy)]
struct Levels {
    /// Of the capacity that the configuration states, over the window.
    stated: f64,
    /// Of what was given to all, in a second.
    actual: f64,
}

/// Where a request stands among those of its workspace, against the parts that are fair.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Standing {
    /// What the workspace was given, as a multiple of its fair share of the stated capacity;
    /// 0 where none is known.
    pub share: f64,
    /// Where the request stands among all that the workspace asked for in the last second, as
    /// a multiple of an even part of all that was given: up to 1 for as many as make up that
    /// part. Engines give more than is stated where little has to be read anew; of the rest
    /// nobody is to have more than another who wants more. 0 where all can be given.
    pub even: f64,
}

impl WorkspaceKey {
    /// Returns the short name of a workspace.
    pub fn of(id: &WorkspaceId) -> WorkspaceKey {
        WorkspaceKey(xxh3_64(id.as_str().as_bytes()) as u32)
    }
}

impl Asked {
    fn add(&mut self, other: Asked) {
        self.asked += other.asked;
        self.given += other.given;
        self.lately += other.lately;
    }
}

impl Quota {
    /// Makes a table with no capacity known, where nobody is above their share.
    pub fn new(window: Span) -> Quota {
        Quota {
            window,
            capacity: 0.0,
            own: HashMap::new(),
            peers: HashMap::new(),
            levels: None,
            heard: HEARD,
        }
    }

    /// Sets how often peers tell their counts, which is more seldom in a large fleet.
    pub fn hear(&mut self, every: Span) {
        self.heard = HEARD.max(every * MISSED);
    }

    /// Sets what all may have together, in tokens a second; 0 where it is not known.
    pub fn set_capacity(&mut self, capacity: f64) {
        self.capacity = capacity;
        self.levels = None;
    }

    /// Counts what a workspace asks for.
    pub fn asked(&mut self, workspace: WorkspaceKey, tokens: f64, now: Time) {
        self.step(workspace, now).asked += tokens as f32;
    }

    /// Counts what a workspace was given, when its request begins.
    pub fn given(&mut self, workspace: WorkspaceKey, tokens: f64, now: Time) {
        self.step(workspace, now).given += tokens as f32;
    }

    fn step(&mut self, workspace: WorkspaceKey, now: Time) -> &mut Asked {
        let window = self.window;
        let steps = self.own.entry(workspace).or_default();
        while steps.front().is_some_and(|s| now.since(s.0) >= window) {
            steps.pop_front();
        }
        if steps.back().is_none_or(|s| now.since(s.0) >= STEP) {
            steps.push_back((now, Asked::default()));
        }
        let last = steps.len() - 1;
        &mut steps[last].1
    }

    fn own_sum(&self, workspace: WorkspaceKey, now: Time) -> Asked {
        let mut sum = Asked::default();
        let steps = self.own.get(&workspace).into_iter().flatten();
        for (at, step) in steps.filter(|s| now.since(s.0) < self.window) {
            sum.add(*step);
            if now.since(*at) < LATELY {
                sum.lately += step.asked;
            }
        }
        sum
    }

    /// Returns this router's own counts, to tell the peers.
    pub fn report(&self, now: Time) -> Vec<(WorkspaceKey, Asked)> {
        let sums = self.own.keys().map(|key| (*key, self.own_sum(*key, now)));
        sums.filter(|(_, sum)| sum.asked > 0.0 || sum.given > 0.0)
            .collect()
    }

    /// Takes a peer's counts, in place of those before.
    pub fn peer(&mut self, from: &RouterId, counts: &[(WorkspaceKey, Asked)], now: Time) {
        let counts = counts.iter().copied().collect();
        self.peers.insert(from.clone(), (now, counts));
    }

    /// Drops what is too old to count.
    pub fn forget(&mut self, now: Time) {
        let window = self.window;
        self.peers.retain(|_, (at, _)| now.since(*at) < self.heard);
        self.own
            .retain(|_, steps| steps.back().is_some_and(|s| now.since(s.0) < window));
    }

    fn sum(&self, workspace: WorkspaceKey, now: Time) -> Asked {
        let mut sum = self.own_sum(workspace, now);
        for (at, counts) in self.peers.values() {
            if now.since(*at) < self.heard {
                sum.add(counts.get(&workspace).copied().unwrap_or_default());
            }
        }
        sum
    }

    /// Returns where a request of a workspace stands; `roll` is a number from 0 to 1 that is
    /// drawn for the request.
    ///
    /// The load is several workspaces that each ask for far more than there is, at many
    /// routers. Each router lets through the same part of each workspace's requests, even part
    /// over what is asked, and the sum over the fleet is that part. Counts that are late do
    /// little harm, as what is asked changes slowly. Judged by what it had been given, a
    /// workspace above its part got nothing for seconds and then, until all had heard of it,
    /// far too much: with counts 0.9 s late 0.14 to 0.48 of what another had, over six seconds;
    /// now 0.5 and more.
    pub fn standing(&mut self, workspace: WorkspaceKey, roll: f64, now: Time) -> Standing {
        if self.capacity <= 0.0 {
            return Standing::default();
        }
        let levels = self.levels(now);
        let sum = self.sum(workspace, now);
        let lately = f64::from(sum.lately);
        Standing {
            share: f64::from(sum.given) / levels.stated.max(1.0),
            even: match lately <= levels.actual {
                true => 0.0,
                false => roll * lately / levels.actual.max(1.0),
            },
        }
    }

    fn levels(&mut self, now: Time) -> Levels {
        if let Some((at, levels)) = self.levels {
            if now.since(at) < FRESH {
                return levels;
            }
        }
        let mut all: HashMap<WorkspaceKey, Asked> = HashMap::new();
        for key in self.own.keys() {
            all.entry(*key).or_default().add(self.own_sum(*key, now));
        }
        let heard = self.peers.values().filter(|p| now.since(p.0) < self.heard);
        for (key, sum) in heard.flat_map(|p| &p.1) {
            all.entry(*key).or_default().add(*sum);
        }
        let asks: Vec<f64> = all.values().map(|a| f64::from(a.asked)).collect();
        let lately: Vec<f64> = all.values().map(|a| f64::from(a.lately)).collect();
        let given: f64 = all.values().map(|a| f64::from(a.given)).sum();
        let stated = self.capacity * self.window.as_secs();
        let part = LATELY.as_secs() / self.window.as_secs();
        let levels = Levels {
            stated: level(&asks, stated),
            actual: level(&lately, given.max(stated) * part),
        };
        self.levels = Some((now, levels));
        levels
    }
}
