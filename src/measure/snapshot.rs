//! What each router has used up to a moment.

use {
    super::stage::Stage,
    crate::errors::Error,
    operators::query,
    serde::Serialize,
    serde_json::Value,
    std::{
        net::SocketAddr,
        time::Instant, //
    },
};

/// What the routers have used since their start.
#[derive(Debug)]
pub(crate) struct Snapshot {
    at: Instant,
    routers: Vec<Sums>,
}

#[derive(Debug, Clone, Copy)]
struct Sums {
    sent: f64,
    received: f64,
    calls: f64,
    cpu: f64,
    memory: f64,
}

/// What one router used a second.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(crate) struct Rates {
    /// Bytes sent to other routers.
    pub(crate) sent: f64,
    /// Bytes received from them.
    pub(crate) received: f64,
    /// Calls of the platform.
    pub(crate) calls: f64,
    /// Part of a core.
    pub(crate) cpu: f64,
    /// Resident memory at the end, in bytes.
    pub(crate) memory: f64,
}

impl Snapshot {
    /// Reads the counts of all routers.
    pub(crate) async fn take(stage: &Stage) -> Result<Snapshot, Error> {
        let mut routers = Vec::new();
        let calls = stage.platform.counts();
        for (i, router) in stage.routers.iter().enumerate() {
            let dump = dump(router.ports.operators).await?;
            let usage = router.usage();
            let name = super::setup::router_name(i);
            let own = calls.iter().filter(|c| c.client == name);
            routers.push(Sums {
                sent: dump["traffic"]["sent"].as_f64().unwrap_or_default(),
                received: dump["traffic"]["received"].as_f64().unwrap_or_default(),
                calls: own.map(|c| c.calls as f64).sum(),
                cpu: usage.cpu,
                memory: usage.memory as f64,
            });
        }
        Ok(Snapshot {
            at: Instant::now(),
            routers,
        })
    }

    /// Returns what each router used a second since an earlier moment.
    pub(crate) fn since(&self, before: &Snapshot) -> Vec<Rates> {
        let seconds = self.at.duration_since(before.at).as_secs_f64();
        let both = self.routers.iter().zip(&before.routers);
        both.map(|(now, then)| Rates {
            sent: (now.sent - then.sent) / seconds,
            received: (now.received - then.received) / seconds,
            calls: (now.calls - then.calls) / seconds,
            cpu: (now.cpu - then.cpu) / seconds,
            memory: now.memory,
        })
        .collect()
    }
}

/// Reads a router's dump.
pub(crate) async fn dump(operators: SocketAddr) -> Result<Value, Error> {
    let body = query(operators, "/dump").await?;
    Ok(operators::read_view(operators, &body)?)
}
