//! The replicas of a measured fleet, which may be added and removed.

use {
    crate::gauge::Used,
    standins::engine,
    std::sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
};

/// The replicas, shared by the stage and the watch.
#[derive(Debug, Clone, Default)]
pub(crate) struct Engines(Arc<Mutex<Vec<Replica>>>);

#[derive(Debug)]
struct Replica {
    engine: engine::Handle,
    leaving: bool,
    /// Its use when that was last read.
    taken: Used,
}

impl Engines {
    pub(crate) fn push(&self, engine: engine::Handle) {
        self.lock().push(Replica {
            engine,
            leaving: false,
            taken: Used::default(),
        });
    }

    pub(crate) fn len(&self) -> usize {
        self.lock().len()
    }

    /// Records that a replica leaves, so that its capacity no longer counts.
    pub(crate) fn leave(&self, i: usize) {
        self.lock()[i].leaving = true;
    }

    /// Slows a replica down by a factor.
    pub(crate) fn slow(&self, i: usize, factor: f64) {
        self.lock()[i].engine.slow(factor);
    }

    /// Returns the address of a replica.
    pub(crate) fn addr(&self, i: usize) -> std::net::SocketAddr {
        self.lock()[i].engine.addr
    }

    /// Returns how many requests each replica runs.
    pub(crate) fn running(&self) -> Vec<u32> {
        let loads = self.lock();
        let each = loads.iter().map(|r| r.engine.load());
        each.map(|l| l.running + l.waiting).collect()
    }

    /// Returns the use of the remaining replicas since the last call.
    pub(crate) fn take_used(&self) -> Used {
        let mut sum = Used::default();
        for r in self.lock().iter_mut() {
            let now = Used::of_one(&r.engine);
            if !r.leaving {
                sum.add(now - r.taken);
            }
            r.taken = now;
        }
        sum
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Replica>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
