//! A connection's part of a limiter.

use {
    crate::{
        charge::Charge, //
        limiter::Limiter,
    },
    std::{
        future::poll_fn,
        io,
        sync::Arc,
        task::{
            Context,
            Poll, //
        },
        time::Instant,
    },
    thiserror::Error,
};

/// What a connection does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It waits for a request.
    Idle,
    /// A request has begun to arrive.
    Receiving,
    /// A request is being served. The connection is not evicted.
    Serving,
    /// The last answer was sent, and what still arrives is discarded.
    Closing,
}

/// A connection has to be closed, as others need what it takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Evicted {
    /// The process is short of memory.
    #[error("the connection is evicted, as the process is short of memory")]
    Memory,
    /// The listener has no place for another connection.
    #[error("the connection is evicted, as too many are open")]
    Place,
}

impl Evicted {
    /// Returns why a read failed, if its connection was evicted.
    pub fn of(error: &io::Error) -> Option<Evicted> {
        error.get_ref()?.downcast_ref().copied()
    }

    /// Returns the cause, as metrics and logs name it.
    pub fn cause(self) -> &'static str {
        match self {
            Evicted::Memory => "memory",
            Evicted::Place => "place",
        }
    }
}

impl From<Evicted> for io::Error {
    fn from(evicted: Evicted) -> io::Error {
        io::Error::other(evicted)
    }
}

/// A connection's part of a limiter. The connection counts as open until all clones are dropped.
#[derive(Debug, Clone)]
pub struct Account(Arc<Entry>);

#[derive(Debug)]
struct Entry {
    limiter: Limiter,
    key: usize,
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.limiter.close(self.key);
    }
}

impl Account {
    pub(crate) fn new(limiter: Limiter, key: usize) -> Account {
        Account(Arc::new(Entry { limiter, key }))
    }

    pub(crate) fn key(&self) -> usize {
        self.0.key
    }

    /// Returns the limiter that the account belongs to.
    pub fn limiter(&self) -> &Limiter {
        &self.0.limiter
    }

    /// Records what the connection does from now on.
    pub fn set_phase(&self, phase: Phase) {
        self.0.limiter.set_phase(self.key(), phase, Instant::now());
    }

    /// Records that a complete request is served from now on.
    ///
    /// # Errors
    ///
    /// If the connection was evicted before; the request must not run.
    pub fn serve(&self) -> Result<(), Evicted> {
        self.0.limiter.serve(self.key())
    }

    /// Records that the connection has freed its memory, and writes its last answer.
    pub fn refuse(&self) {
        self.0.limiter.refuse(self.key());
    }

    /// Records the capacity of the connection's own buffer and the bytes received since the last time.
    /// The task is woken when the connection is evicted later on.
    ///
    /// # Errors
    ///
    /// If the connection was evicted.
    pub fn update(
        &self,
        cx: &mut Context<'_>,
        buffered: usize,
        received: usize,
    ) -> Result<(), Evicted> {
        let now = Instant::now();
        self.0
            .limiter
            .update(self.key(), cx, buffered, received, now)
    }

    /// Returns memory that is counted for this connection.
    pub fn charge(&self) -> Charge {
        Charge::new(self.0.limiter.clone(), Some(self.clone()))
    }

    /// Waits until there is room to receive more, for which other connections may be evicted.
    ///
    /// While a request is being served, its connection doesn't wait.
    ///
    /// # Errors
    ///
    /// If the connection itself has to yield.
    pub fn poll_room(&self, cx: &mut Context<'_>) -> Poll<Result<(), Evicted>> {
        self.0.limiter.poll_room(self.key(), cx, Instant::now())
    }

    /// Waits until the connection has to be closed.
    pub async fn wait_evicted(&self) -> Evicted {
        poll_fn(|cx| match self.update(cx, 0, 0) {
            Err(evicted) => Poll::Ready(evicted),
            Ok(()) => Poll::Pending,
        })
        .await
    }

    /// Returns why the connection has to be closed, if it has to.
    pub fn evicted(&self) -> Option<Evicted> {
        self.0.limiter.evicted(self.key())
    }
}
