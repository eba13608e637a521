//! The connections of a limiter, and what they hold.

use {
    crate::{
        account::{
            Evicted,
            Phase, //
        },
        activity::Activity,
        bytes::Bytes,
        eviction::Standing,
        limiter::{
            ListenerId,
            MemoryLimits, //
        },
    },
    slab::Slab,
    std::{
        cmp::Ordering,
        task::Waker,
        time::Instant, //
    },
};

/// Memory that is freed at a time, beyond what is missing, is the limit divided by this.
const HEADROOM_DIVISOR: usize = 32;

#[derive(Debug, Default)]
pub(crate) struct State {
    pub(crate) entries: Slab<Entry>,
    pub(crate) listeners: Vec<Listener>,
    /// Bytes that are held by anything.
    pub(crate) held: usize,
    /// Bytes of the connections that hold much.
    pub(crate) large: usize,
    /// Connections that wait for room for more bytes.
    pub(crate) waiting: Vec<usize>,
    /// Woken when a connection was closed.
    pub(crate) waiting_places: Vec<Waker>,
    pub(crate) evicted_memory: u64,
    pub(crate) evicted_place: u64,
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct Listener {
    pub(crate) limit: usize,
    pub(crate) open: usize,
}

#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) listener: ListenerId,
    pub(crate) standing: Standing,
    /// Capacity of the connection's own buffer.
    pub(crate) buffered: usize,
    pub(crate) evicted: Option<Evicted>,
    /// Whether it is among those that wait for room.
    pub(crate) waiting: bool,
    /// Woken when the connection is evicted, or when there is room.
    pub(crate) waker: Option<Waker>,
}

impl State {
    pub(crate) fn has_room(&self, large: bool, limits: &MemoryLimits) -> bool {
        self.held < limits.total.length() && (!large || self.large < limits.large.length())
    }

    /// Counts bytes in place of others, of a connection or of nothing that can be evicted.
    pub(crate) fn recount(
        &mut self,
        key: Option<usize>,
        before: usize,
        after: usize,
        limits: &MemoryLimits,
    ) {
        self.held = self.held + after - before;
        let mut yielded = false;
        if let Some(key) = key {
            let entry = &mut self.entries[key];
            let large_before = entry.standing.large_bytes();
            entry.standing.held = entry.standing.held + after - before;
            yielded = entry.evicted.is_some() && entry.standing.held == 0;
            self.large = self.large + entry.standing.large_bytes() - large_before;
        }
        if yielded || (after < before && self.has_room(false, limits)) {
            self.wake_waiting();
        }
    }

    fn wake_waiting(&mut self) {
        for key in self.waiting.drain(..) {
            // The key may be of a later connection, which is woken for nothing.
            if let Some(entry) = self.entries.get_mut(key) {
                entry.waiting = false;
                entry.waker.iter().for_each(Waker::wake_by_ref);
            }
        }
    }

    /// Evicts connections until there is room for one that is large or not. Returns whether any memory
    /// is being freed.
    pub(crate) fn free_memory(
        &mut self,
        for_large: bool,
        limits: &MemoryLimits,
        now: Instant,
    ) -> bool {
        let goal = |limit: Bytes| limit.length() - limit.length() / HEADROOM_DIVISOR;
        let leaving = self.entries.iter().filter(|(_, e)| e.evicted.is_some());
        let (mut leaving, mut large_leaving) = leaving.fold((0, 0), |(all, large), (_, e)| {
            let held = e.standing.held;
            (all + held, large + e.standing.large_bytes())
        });
        let mut ranked = self.ranked(|standing| standing.memory_rank(for_large, now));
        ranked.reverse();
        while self.held.saturating_sub(leaving) > goal(limits.total)
            || (for_large && self.large.saturating_sub(large_leaving) > goal(limits.large))
        {
            let Some(key) = ranked.pop() else {
                break;
            };
            let standing = self.entries[key].standing;
            leaving += standing.held;
            large_leaving += standing.large_bytes();
            self.evict(key, Evicted::Memory);
        }
        leaving > 0
    }

    /// Evicts connections of a listener for new ones. Returns whether any is being closed.
    pub(crate) fn free_places(&mut self, listener: ListenerId, count: usize, now: Instant) -> bool {
        let leaving = |e: &Entry| e.listener == listener && e.evicted.is_some();
        if self.entries.iter().any(|(_, e)| leaving(e)) {
            return true;
        }
        let of_listener = |(_, e): &(usize, &Entry)| e.listener == listener;
        let entries = self.entries.iter().filter(of_listener);
        let ranked = entries.filter_map(|(key, e)| Some((e.standing.place_rank(now)?, key)));
        let mut ranked: Vec<_> = ranked.collect();
        let count = count.min(ranked.len());
        if count == 0 {
            return false;
        }
        ranked.select_nth_unstable(count - 1);
        for (_, key) in &ranked[..count] {
            self.evict(*key, Evicted::Place);
        }
        true
    }

    /// Returns the connections that are not being closed, by rank.
    fn ranked<R: PartialOrd>(&self, rank: impl Fn(&Standing) -> Option<R>) -> Vec<usize> {
        let entries = self.entries.iter().filter(|(_, e)| e.evicted.is_none());
        let ranked = entries.filter_map(|(key, e)| Some((rank(&e.standing)?, key)));
        let mut ranked: Vec<(R, usize)> = ranked.collect();
        ranked.sort_by(|(a, _), (b, _)| a.partial_cmp(b).unwrap_or(Ordering::Equal));
        ranked.into_iter().map(|(_, key)| key).collect()
    }

    pub(crate) fn evict(&mut self, key: usize, cause: Evicted) {
        match cause {
            Evicted::Memory => self.evicted_memory += 1,
            Evicted::Place => self.evicted_place += 1,
        }
        let entry = &mut self.entries[key];
        entry.evicted = Some(cause);
        if let Some(waker) = entry.waker.take() {
            waker.wake();
        }
    }
}

impl Entry {
    pub(crate) fn new(listener: ListenerId, now: Instant) -> Entry {
        Entry {
            listener,
            standing: Standing {
                phase: Phase::Idle,
                held: 0,
                activity: Activity::new(now),
                served: false,
                since: now,
                message: now,
            },
            buffered: 0,
            evicted: None,
            waiting: false,
            waker: None,
        }
    }
}
