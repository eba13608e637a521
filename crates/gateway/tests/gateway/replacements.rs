//! Replicas that are replaced when they crash.

use {
    crate::{
        harness::{
            entry,
            wait_until,
            TestGateway, //
        },
        replica::{
            Replica,
            SeenRequest,
            Step, //
        },
    },
    std::sync::Arc,
};

/// Replicas running at any time.
pub(crate) const RUNNING: usize = 3;

type Script = dyn Fn(&SeenRequest) -> Vec<Step> + Send + Sync;

/// Replicas that are replaced by new ones, with other ids, when they crash.
pub(crate) struct Replicas {
    pub(crate) up: Vec<(String, Replica)>,
    started: usize,
    script: Arc<Script>,
}

impl Replicas {
    pub(crate) fn start(
        script: impl Fn(&SeenRequest) -> Vec<Step> + Send + Sync + 'static,
    ) -> Replicas {
        let mut replicas = Replicas {
            up: Vec::new(),
            started: 0,
            script: Arc::new(script),
        };
        replicas.replace_crashed();
        replicas
    }

    /// Starts new replicas for those that have crashed.
    fn replace_crashed(&mut self) {
        self.up.retain(|(_, replica)| !replica.has_crashed());
        while self.up.len() < RUNNING {
            self.started += 1;
            let script = self.script.clone();
            let replica = Replica::start(move |_, seen| script(seen));
            self.up.push((format!("i-{}", self.started), replica));
        }
    }

    pub(crate) fn crashed(&self) -> usize {
        let up = self.up.iter().filter(|(_, r)| !r.has_crashed());
        self.started - up.count()
    }

    /// Puts the running replicas into the list that the instances read, and waits until it was
    /// read: an instance then serves a request.
    pub(crate) fn list_running(&mut self, gateways: &[&TestGateway]) {
        self.replace_crashed();
        for gw in gateways {
            let list = self.up.iter().map(|(id, r)| entry(id, r)).collect();
            gw.store.lock().unwrap().replicas = list;
        }
        for gw in gateways {
            wait_until(|| gw.get("/again/other", "o").status == 200);
        }
    }
}
