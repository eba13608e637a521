//! The set of active routers.

use {
    super::{
        choice::{
            choose,
            Member, //
        },
        peer::{
            router_key,
            Peer,
            RouterInfo,
            Silence,
            SILENCE_LIMIT, //
        },
        recipients::is_recent,
        Actives, //
    },
    crate::{
        RouterId,
        Span,
        Time,
        Zone, //
    },
    std::collections::HashSet,
};

/// Interval at which the active set is recomputed. It is also recomputed when a router joins or
/// announces that it leaves.
const REFRESH_INTERVAL: Span = Span::millis(250);
/// Interval at which the followers are determined again if the active set stays the same.
const FOLLOWERS_INTERVAL: Span = Span::secs(1);
/// Processor time of one request with all its events, in core seconds. With it, 15 instances of 0.5
/// cores serve 3,400 requests per second.
const REQUEST_CPU_S: f64 = 0.5e-3;
/// Factor by which the processor time of the active routers exceeds what the requests need, so that
/// they can handle a burst or the loss of half of them.
const HEADROOM: f64 = 4.0;
/// Factor between two steps of the needed processor time.
const NEED_STEP: f64 = 1.5;
/// Minimum time without messages after which a router is forgotten.
const FORGET_AFTER: Span = Span::secs(15);
/// How long standbys leave a task that one router does for all to the active ones: two rounds of
/// messages in a fleet of 300.
const STANDBY_DELAY: Span = Span::secs(6);

impl Actives {
    /// Recomputes the set of active routers, if that is due.
    pub fn refresh(&mut self, now: Time) {
        self.rate.refresh(now);
        if self
            .refreshed
            .is_some_and(|at| now.since(at) < REFRESH_INTERVAL)
        {
            return;
        }
        self.refreshed = Some(now);
        self.forget(now);
        self.mark_silent(now);
        let chosen = choose(&self.members(now), self.least, self.need(now));
        self.active_since = match chosen.contains(&self.name) {
            true => self.active_since.or(Some(now)),
            false => None,
        };
        let names: HashSet<&RouterId> = chosen.iter().collect();
        for (name, peer) in &mut self.peers {
            peer.active = match names.contains(name) {
                true => peer.active.or(Some(now)),
                false => None,
            };
        }
        let before = std::mem::replace(&mut self.active, chosen);
        self.active.retain(|name| *name != self.name);
        let is_due = |at: Time| now.since(at) >= FOLLOWERS_INTERVAL;
        if before != self.active || self.followers_known.is_none_or(is_due) {
            self.update_followers(now);
        }
    }

    /// Marks the active routers that are silent, if this router would receive their messages.
    ///
    /// A standby receives messages from each of them only every few seconds, and not all of them
    /// know yet of a router that became active a moment ago.
    fn mark_silent(&mut self, now: Time) {
        if self
            .active_since
            .is_none_or(|at| now.since(at) < SILENCE_LIMIT)
        {
            return;
        }
        for peer in self.peers.values_mut() {
            if peer.silent.is_none() && peer.fell_silent(now) || peer.is_silent_locally(now) {
                peer.silent = Some(Silence::Observed);
            }
        }
    }

    fn forget(&mut self, now: Time) {
        let keys = &mut self.keys;
        self.peers.retain(|name, p| {
            let keep = now.since(p.last_received) < FORGET_AFTER.max(p.next * 4.0);
            if !keep {
                keys.remove(&router_key(name, p.info.incarnation));
            }
            keep
        });
        self.contacts.forget(now);
    }

    /// Returns the routers that can be active.
    fn members(&self, now: Time) -> Vec<Member> {
        let member = |name: &RouterId, info: &RouterInfo| Member {
            name: name.clone(),
            zone: info.zone.clone(),
            processor: f64::from(info.processor),
        };
        let local = self.local.ready.then(|| member(&self.name, &self.local));
        let peers = self.peers.iter();
        let candidates = peers.filter(|(_, p)| p.info.ready && p.is_live(now));
        let candidates = candidates.map(|(name, p)| member(name, &p.info));
        local.into_iter().chain(candidates).collect()
    }

    /// Returns the processor time that active routers should have, in cores.
    ///
    /// It changes in steps. Otherwise the last active router, and with it the connections of its
    /// callers, would come and go with small changes of the rate, and routers that know slightly
    /// different rates would disagree.
    fn need(&self, now: Time) -> f64 {
        let live = self.peers.values().filter(|p| p.is_live(now));
        let active = live.filter(|p| p.active.is_some() && p.is_rate_known(now));
        let local = if self.is_active() {
            self.rate.per_second()
        } else {
            0.0
        };
        let need = (local + active.map(|p| p.rate).sum::<f64>()) * REQUEST_CPU_S * HEADROOM;
        NEED_STEP.powf((need.max(f64::MIN_POSITIVE).ln() / NEED_STEP.ln()).ceil())
    }

    /// Returns whether this router is active.
    pub fn is_active(&self) -> bool {
        self.active_since.is_some()
    }

    /// Returns for how long this router has been active.
    pub fn active_for(&self, now: Time) -> Span {
        self.active_since.map_or(Span::ZERO, |at| now.since(at))
    }

    /// Returns for how long this router has been active while it had contact to others, if there
    /// are any.
    pub fn joined_for(&self, now: Time) -> Span {
        match self.contacts.len() > 0 && self.live(now).next().is_none() {
            true => Span::ZERO,
            false => self.active_for(now),
        }
    }

    /// Returns the names of the active routers, including this one if it is active.
    pub fn active_names(&self) -> impl Iterator<Item = &RouterId> {
        let local = self.is_active().then_some(&self.name);
        self.active.iter().chain(local)
    }

    /// Returns the number of active routers, including this one if it is active.
    pub fn active_count(&self) -> usize {
        self.active.len() + usize::from(self.is_active())
    }

    /// Returns the other active routers.
    pub fn active(&self) -> impl Iterator<Item = (&RouterId, &Peer)> {
        self.active
            .iter()
            .filter_map(|name| Some((name, self.peers.get(name)?)))
    }

    /// Returns whether another router is known to be in a zone.
    pub fn is_in_zone(&self, name: &RouterId, zone: &Zone) -> bool {
        self.peers.get(name).is_some_and(|p| p.info.zone == *zone)
    }

    /// Returns the live routers without this one.
    pub fn live(&self, now: Time) -> impl Iterator<Item = (&RouterId, &Peer)> {
        self.peers.iter().filter(move |(_, p)| p.is_live(now))
    }

    /// Returns the number of live routers including this one.
    pub fn count(&self, now: Time) -> usize {
        self.live(now).count() + 1
    }

    /// Returns how many routers, including this one, share the fleet's retry budget: the active
    /// ones and the standbys with many requests.
    ///
    /// Only active routers know the latter. A standby uses the number in the last summary, or
    /// counts all routers if it has none.
    pub fn sharers(&self, now: Time) -> usize {
        if self.is_active() {
            return self.active_count() + self.busy_standbys(now).count();
        }
        let reported = self
            .known_sharers
            .filter(|(at, _)| is_recent(Some(*at), now));
        reported.map_or(self.contacts.len() + 1, |(_, sharers)| sharers)
    }

    /// Sets how many routers share the fleet's retry budget, as counted by an active one.
    pub fn set_sharers(&mut self, sharers: usize, now: Time) {
        self.known_sharers = Some((now, sharers.max(1)));
    }

    /// Returns the number of routers among which one is drawn for a task that one of them does for
    /// all.
    pub fn eligible_count(&self) -> usize {
        match self.is_active() {
            true => self.active_count(),
            false => self.contacts.len() + 1,
        }
    }

    /// Returns how much longer than an active router this one waits before it does a task that one
    /// router does for all.
    ///
    /// A standby gets a message from each active router only every three seconds, and so learns
    /// late that one of them did the task. Without the delay, 280 standbys took turns starting a
    /// watch and ended none of them: 7,018 calls to the store within 48 s without changes.
    pub fn standby_delay(&self) -> Span {
        match self.is_active() {
            true => Span::ZERO,
            false => STANDBY_DELAY,
        }
    }
}
