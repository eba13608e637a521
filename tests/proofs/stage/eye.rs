//! Watching that no router's revision ever goes down.

use {
    super::Fleet,
    async_std::{
        future::timeout,
        task::{
            self,
            JoinHandle, //
        },
    },
    operators::Status,
    policy::Incarnation,
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{
            atomic::{
                AtomicBool,
                Ordering, //
            },
            Arc, //
        },
        time::Duration,
    },
};

const LOOK: Duration = Duration::from_millis(15);
const ANSWER: Duration = Duration::from_secs(2);

/// Looks at every router's revision all the time.
#[derive(Debug)]
pub(crate) struct Eye {
    end: Arc<AtomicBool>,
    looks: Vec<JoinHandle<Vec<String>>>,
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
        self.end.store(true, Ordering::SeqCst);
        self.looks.into_iter().flat_map(task::block_on).collect()
    }
}

async fn look(router: SocketAddr, end: &AtomicBool) -> Vec<String> {
    let mut highest: HashMap<Incarnation, u64> = HashMap::new();
    let mut back = Vec::new();
    while !end.load(Ordering::SeqCst) {
        if let Some(s) = status(router).await {
            let known = highest.entry(s.incarnation).or_default();
            if s.revision < *known {
                back.push(format!("{}: {} after {known}", s.name, s.revision));
            }
            *known = s.revision.max(*known);
        }
        task::sleep(LOOK).await;
    }
    back
}

async fn status(router: SocketAddr) -> Option<Status> {
    let body = timeout(ANSWER, operators::ask(router, "/status")).await;
    serde_json::from_str(&body.ok()?.ok()?).ok()
}
