//! Watching what every router says of its revision and of the other routers.

use {
    super::Fleet,
    async_std::{
        future::timeout,
        task::{
            self,
            JoinHandle, //
        },
    },
    operators::{
        MemberState,
        Status, //
    },
    policy::{
        Incarnation,
        RouterId, //
    },
    std::{
        collections::{
            HashMap,
            HashSet, //
        },
        net::SocketAddr,
        sync::{
            atomic::{
                AtomicBool,
                Ordering, //
            },
            Arc, //
        },
        time::{
            Duration,
            Instant, //
        },
    },
};

const LOOK: Duration = Duration::from_millis(15);
const ANSWER: Duration = Duration::from_secs(2);

/// Looks at every router's status all the time.
#[derive(Debug)]
pub(crate) struct Eye {
    end: Arc<AtomicBool>,
    looks: Vec<JoinHandle<Look>>,
}

/// What was seen of one router.
#[derive(Debug, Default)]
pub(crate) struct Look {
    /// Revisions that went down, in words.
    pub(crate) back: Vec<String>,
    /// Each revision that was new, and when it was seen first.
    pub(crate) risen: Vec<(u64, Instant)>,
    /// How often it began to take another router for silent or gone.
    pub(crate) missed: u32,
    /// The highest revision of each start.
    highest: HashMap<Incarnation, u64>,
    /// The routers that it takes for live.
    live: HashSet<RouterId>,
}

impl Eye {
    /// Begins to look at a fleet's routers.
    pub(crate) fn open(fleet: &Fleet) -> Eye {
        let end = Arc::new(AtomicBool::new(false));
        let looks = fleet.routers.iter().map(|r| {
            let (at, end) = (r.operators, end.clone());
            task::spawn(async move { look(at, &end).await })
        });
        Eye {
            looks: looks.collect(),
            end,
        }
    }

    /// Returns what went back, in words.
    pub(crate) fn close(self) -> Vec<String> {
        self.looks().into_iter().flat_map(|l| l.back).collect()
    }

    /// Returns what was seen of each router.
    pub(crate) fn looks(self) -> Vec<Look> {
        self.end.store(true, Ordering::SeqCst);
        self.looks.into_iter().map(task::block_on).collect()
    }
}

async fn look(router: SocketAddr, end: &AtomicBool) -> Look {
    let mut seen = Look::default();
    while !end.load(Ordering::SeqCst) {
        if let Some(s) = status(router).await {
            seen.revision(&s);
            seen.members(&s);
        }
        task::sleep(LOOK).await;
    }
    seen
}

impl Look {
    fn revision(&mut self, s: &Status) {
        let known = self.highest.entry(s.incarnation).or_default();
        if s.revision < *known {
            let word = format!("{}: {} after {known}", s.name, s.revision);
            self.back.push(word);
        }
        if s.revision > *known {
            self.risen.push((s.revision, Instant::now()));
        }
        *known = s.revision.max(*known);
    }

    fn members(&mut self, s: &Status) {
        let up =
            |m: &&operators::Member| matches!(m.state, MemberState::Live | MemberState::Leaving);
        let live: HashSet<RouterId> = s
            .members
            .iter()
            .filter(up)
            .map(|m| m.name.clone())
            .collect();
        self.missed += self.live.difference(&live).count() as u32;
        self.live = live;
    }
}

async fn status(router: SocketAddr) -> Option<Status> {
    let body = timeout(ANSWER, operators::query(router, "/status")).await;
    serde_json::from_str(&body.ok()?.ok()?).ok()
}
