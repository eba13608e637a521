//! Accepts connections at an instance that has little processor time.

use {
    crate::http::Listener,
    async_io::Async,
    async_std::task,
    policy::{
        accept::Shedding,
        Span,
        Time, //
    },
    std::{
        io,
        net::TcpStream,
        sync::{
            atomic::{
                AtomicUsize,
                Ordering, //
            },
            Mutex,
            MutexGuard,
            PoisonError, //
        },
    },
};

/// Instances with fewer cores shed connections. In measurements of the busiest days, nearly all
/// failures to connect were at an instance of 0.09 cores.
const MAX_PROCESSOR: f32 = 0.1;
/// Connections that one pass accepts at most: twice the accept queue, as closing some takes time in
/// which others arrive.
const PASS_MAX: usize = 256;

/// Sheds connections of callers.
#[derive(Debug, Default)]
pub(crate) struct Shedder {
    shedding: Mutex<Shedding>,
    /// Connections whose first request was read since the last measurement.
    read: AtomicUsize,
}

impl Shedder {
    /// Returns the shedder of an instance with this processor time, if it sheds connections.
    pub(crate) fn new(processor: f32) -> Option<Shedder> {
        (processor < MAX_PROCESSOR).then(Shedder::default)
    }

    fn shedding(&self) -> MutexGuard<'_, Shedding> {
        self.shedding.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a connection whose first request was read.
    pub(crate) fn record_read(&self) {
        self.read.fetch_add(1, Ordering::Relaxed);
    }

    /// Records how much later than due a task ran.
    pub(crate) fn record_delay(&self, delay: Span, now: Time) {
        let read = self.read.swap(0, Ordering::Relaxed);
        let mut shedding = self.shedding();
        let before = shedding.is_active();
        shedding.record_delay(delay, read, now);
        if before && !shedding.is_active() {
            log::warn!("event=accept outcome=shedding shedding=false kept=all");
        }
    }

    /// Accepts all waiting connections, closes those that can't be read in time, and returns the
    /// others.
    ///
    /// Closed connections have no socket options and are neither read nor written. It yields first,
    /// so that the requests of the pass before are read before more connections are kept.
    pub(crate) async fn accept(
        &self,
        listener: &Listener,
        now: impl Fn() -> Time,
    ) -> io::Result<Vec<Async<TcpStream>>> {
        task::yield_now().await;
        let mut streams = listener.accept_waiting(PASS_MAX).await?;
        let kept = self.keep(streams.len(), now());
        streams.drain(..streams.len() - kept);
        Ok(streams.into_iter().filter_map(register).collect())
    }

    fn keep(&self, found: usize, now: Time) -> usize {
        let mut shedding = self.shedding();
        let before = shedding.is_active();
        let kept = shedding.keep(found, now);
        if !before && shedding.is_active() {
            log::warn!("event=accept outcome=shedding shedding=true kept={kept} found={found}");
        }
        if kept < found {
            let shed = (found - kept) as u64;
            metrics::counter!("chervilwind_connections_shed").increment(shed);
        }
        kept
    }
}

/// Registers a connection with the reactor.
fn register(stream: TcpStream) -> Option<Async<TcpStream>> {
    Async::new(stream)
        .inspect_err(|e| log::debug!("event=accept outcome=broken cause={e:?}"))
        .ok()
}

#[cfg(test)]
mod tests;
