//! What all connections of a process hold.

use {
    crate::{
        account::{
            Account,
            Evicted,
            Phase, //
        },
        bytes::Bytes,
        charge::Charge,
        eviction::LARGE,
        segments::SEGMENT_SIZE,
        state::{
            Entry,
            Listener,
            State, //
        },
    },
    std::{
        future::poll_fn,
        mem,
        sync::{
            atomic::{
                AtomicBool,
                Ordering, //
            },
            Arc,
            Mutex,
            MutexGuard,
            PoisonError, //
        },
        task::{
            Context,
            Poll,
            Waker, //
        },
        time::Instant,
    },
};

/// Connections that yield at a time are the listener's limit divided by this.
const PLACES_DIVISOR: usize = 128;

/// How much memory clients may take.
#[derive(Debug, Clone, Copy)]
pub struct MemoryLimits {
    /// Memory that all connections may hold.
    pub total: Bytes,
    /// The part of it that connections may hold which hold more than 128 KiB each, so that there is
    /// room left for short requests.
    pub large: Bytes,
}

impl MemoryLimits {
    /// Returns limits of which three quarters are for connections that hold much.
    pub fn of(total: Bytes) -> MemoryLimits {
        MemoryLimits {
            total,
            large: Bytes(total.0 / 4 * 3),
        }
    }
}

/// Names a listener of a limiter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenerId(pub(crate) usize);

/// What a limiter counts, for metrics and logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct UsageStats {
    /// Bytes that are held.
    pub held: usize,
    /// Bytes of connections whose requests have not arrived completely.
    pub receiving: usize,
    /// Open connections.
    pub connections: usize,
    /// Connections that were evicted to free memory, since the start.
    pub evicted_memory: u64,
    /// Connections that were evicted for new ones, since the start.
    pub evicted_place: u64,
}

/// Counts what the connections of a process hold, and evicts some when it is too much.
#[derive(Debug, Clone)]
pub struct Limiter(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    limits: MemoryLimits,
    state: Mutex<State>,
    /// Whether some connections have to wait for room.
    full: AtomicBool,
    /// Segments that were used, for the next ones. They are never more than were in use at once.
    segments: Mutex<Vec<Vec<u8>>>,
}

impl Limiter {
    /// Creates a limiter.
    pub fn new(limits: MemoryLimits) -> Limiter {
        Limiter(Arc::new(Shared {
            limits,
            state: Mutex::default(),
            full: AtomicBool::new(false),
            segments: Mutex::default(),
        }))
    }

    /// Adds a listener, which may have this many connections open.
    pub fn add_listener(&self, limit: usize) -> ListenerId {
        let mut state = self.state();
        state.listeners.push(Listener { limit, open: 0 });
        ListenerId(state.listeners.len() - 1)
    }

    /// Returns the limits.
    pub fn limits(&self) -> MemoryLimits {
        self.0.limits
    }

    /// Returns whether some connections have to wait for room before they receive more.
    pub fn is_full(&self) -> bool {
        self.0.full.load(Ordering::Relaxed)
    }

    /// Returns whether more may be held than requests need.
    pub fn has_spare(&self) -> bool {
        self.state().held < self.0.limits.large.length()
    }

    /// Returns whether requests with bodies of this length could be received if all connections without
    /// a request in service were closed.
    pub fn admits(&self, bytes: usize) -> bool {
        if bytes <= LARGE {
            return true;
        }
        let state = self.state();
        let entries = state.entries.iter().map(|(_, e)| e.standing);
        let serving = entries.filter(|s| s.phase == Phase::Serving && s.is_large());
        let serving: usize = serving.map(|s| s.held).sum();
        serving.saturating_add(bytes) <= self.0.limits.large.length()
    }

    /// Opens the account of a new connection. If the listener has no place, it waits for
    /// connections without a request in service to yield; none if all have one.
    pub async fn open(&self, listener: ListenerId) -> Option<Account> {
        poll_fn(|cx| self.poll_open(listener, cx, Instant::now())).await
    }

    /// Returns memory that is counted, and that no connection is evicted for.
    pub fn charge(&self) -> Charge {
        Charge::new(self.clone(), None)
    }

    /// Returns what is counted.
    pub fn stats(&self) -> UsageStats {
        let state = self.state();
        let receiving = state.entries.iter().map(|(_, e)| e.standing);
        let receiving = receiving.filter(|s| s.phase == Phase::Receiving);
        UsageStats {
            held: state.held,
            receiving: receiving.map(|s| s.held).sum(),
            connections: state.entries.len(),
            evicted_memory: state.evicted_memory,
            evicted_place: state.evicted_place,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // Each change of the state is complete before anything can panic.
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn poll_open(
        &self,
        listener: ListenerId,
        cx: &mut Context<'_>,
        now: Instant,
    ) -> Poll<Option<Account>> {
        let mut state = self.state();
        let Listener { limit, open } = state.listeners[listener.0];
        if open < limit {
            state.listeners[listener.0].open += 1;
            let key = state.entries.insert(Entry::new(listener, now));
            drop(state);
            return Poll::Ready(Some(Account::new(self.clone(), key)));
        }
        if !state.free_places(listener, (limit / PLACES_DIVISOR).max(1), now) {
            return Poll::Ready(None);
        }
        state.waiting_places.push(cx.waker().clone());
        Poll::Pending
    }

    pub(crate) fn close(&self, key: usize) {
        let mut state = self.state();
        let buffered = state.entries[key].buffered;
        self.recount_in(&mut state, Some(key), buffered, 0);
        let entry = state.entries.remove(key);
        state.listeners[entry.listener.0].open -= 1;
        state.waiting_places.drain(..).for_each(Waker::wake);
    }

    pub(crate) fn set_phase(&self, key: usize, phase: Phase, now: Instant) {
        let mut state = self.state();
        let standing = &mut state.entries[key].standing;
        if standing.phase == Phase::Serving {
            standing.served = true;
            standing.since = now;
        }
        match phase {
            Phase::Receiving => standing.message = now,
            // Nobody sends another request on it.
            Phase::Closing => standing.served = false,
            Phase::Idle | Phase::Serving => {}
        }
        standing.phase = phase;
    }

    pub(crate) fn serve(&self, key: usize) -> Result<(), Evicted> {
        let mut state = self.state();
        let entry = &mut state.entries[key];
        if let Some(evicted) = entry.evicted {
            return Err(evicted);
        }
        entry.standing.phase = Phase::Serving;
        Ok(())
    }

    pub(crate) fn refuse(&self, key: usize) {
        let mut state = self.state();
        let buffered = mem::take(&mut state.entries[key].buffered);
        self.recount_in(&mut state, Some(key), buffered, 0);
        let entry = &mut state.entries[key];
        entry.evicted = None;
        entry.standing.phase = Phase::Serving;
    }

    pub(crate) fn update(
        &self,
        key: usize,
        cx: &mut Context<'_>,
        buffered: usize,
        received: usize,
        now: Instant,
    ) -> Result<(), Evicted> {
        let mut state = self.state();
        let entry = &mut state.entries[key];
        if let Some(evicted) = entry.evicted {
            return Err(evicted);
        }
        match &mut entry.waker {
            Some(waker) => waker.clone_from(cx.waker()),
            none => *none = Some(cx.waker().clone()),
        }
        if received > 0 {
            entry.standing.activity.record(received, now);
        }
        let before = mem::replace(&mut entry.buffered, buffered);
        if before != buffered {
            self.recount_in(&mut state, Some(key), before, buffered);
        }
        Ok(())
    }

    pub(crate) fn evicted(&self, key: usize) -> Option<Evicted> {
        self.state().entries[key].evicted
    }

    /// Counts bytes that something holds, in place of others.
    pub(crate) fn recount(&self, key: Option<usize>, before: usize, after: usize) {
        self.recount_in(&mut self.state(), key, before, after);
    }

    fn recount_in(&self, state: &mut State, key: Option<usize>, before: usize, after: usize) {
        state.recount(key, before, after, &self.0.limits);
        let full = !state.has_room(true, &self.0.limits);
        self.0.full.store(full, Ordering::Relaxed);
    }

    pub(crate) fn poll_room(
        &self,
        key: usize,
        cx: &mut Context<'_>,
        now: Instant,
    ) -> Poll<Result<(), Evicted>> {
        let mut state = self.state();
        let limits = &self.0.limits;
        let Entry {
            standing, evicted, ..
        } = state.entries[key];
        if let Some(evicted) = evicted {
            return Poll::Ready(Err(evicted));
        }
        if state.has_room(standing.is_large(), limits) {
            return Poll::Ready(Ok(()));
        }
        if matches!(standing.phase, Phase::Serving | Phase::Closing) {
            return Poll::Ready(Ok(()));
        }
        if !state.free_memory(standing.is_large(), limits, now) {
            state.evict(key, Evicted::Memory);
        }
        if let Some(evicted) = state.entries[key].evicted {
            return Poll::Ready(Err(evicted));
        }
        let entry = &mut state.entries[key];
        entry.waker = Some(cx.waker().clone());
        if !mem::replace(&mut entry.waiting, true) {
            state.waiting.push(key);
        }
        Poll::Pending
    }

    /// Returns a segment of full size.
    pub(crate) fn take_segment(&self) -> Vec<u8> {
        let free = self.segments().pop();
        free.unwrap_or_else(|| Vec::with_capacity(SEGMENT_SIZE))
    }

    pub(crate) fn give_segment(&self, mut segment: Vec<u8>) {
        segment.clear();
        self.segments().push(segment);
    }

    fn segments(&self) -> MutexGuard<'_, Vec<Vec<u8>>> {
        self.0
            .segments
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
