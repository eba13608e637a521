//! Log lines on evicted connections.

use {
    crate::{
        account::Evicted,
        limiter::{
            Limiter,
            UsageStats, //
        },
    },
    std::{
        sync::{
            Mutex,
            PoisonError, //
        },
        time::{
            Duration,
            Instant, //
        },
    },
};

const INTERVAL: Duration = Duration::from_secs(1);

/// Logs evicted connections, one in each second.
#[derive(Debug, Default)]
pub struct EvictionLog {
    logged: Mutex<Option<Instant>>,
}

impl EvictionLog {
    /// Logs an eviction and what the limiter counts, unless another one was logged in the last second.
    pub fn warn(&self, listener: &str, evicted: Evicted, limiter: &Limiter) {
        if !self.begin_interval() {
            return;
        }
        let UsageStats {
            held, connections, ..
        } = limiter.stats();
        log::warn!("{listener}: {evicted} ({held} bytes held, {connections} connections)");
    }

    fn begin_interval(&self) -> bool {
        let mut logged = self.logged.lock().unwrap_or_else(PoisonError::into_inner);
        if logged.is_some_and(|at| at.elapsed() < INTERVAL) {
            return false;
        }
        *logged = Some(Instant::now());
        true
    }
}
