//! Which of the routers that are known are active.

use {
    super::{
        choice::{
            choose,
            Member, //
        },
        due::is_recent,
        peer::{
            router_key,
            Peer,
            RouterInfo,
            Silence,
            SILENT, //
        },
        Actives, //
    },
    crate::{
        RouterId,
        Span,
        Time, //
    },
};

/// The active routers are worked out again after this time, and where a router came or said that
/// it goes.
const FRESH: Span = Span::millis(250);
/// Processor time that a request takes, in seconds of a core, with what its events take: a guess, not
/// measured, that leaves 15 instances of 0.5 cores for 3,400 requests a second.
const REQUEST: f64 = 0.5e-3;
/// Active routers are to have this many times the processor time that the requests take, so that
/// a burst, or the loss of half of them, finds room.
const ROOM: f64 = 4.0;
/// Steps of the processor time that is needed, each so many times the one before.
const NEED_STEP: f64 = 1.5;
/// A router drops what it knows of one that was not heard for this long, at the least.
const FORGET: Span = Span::secs(15);
/// How long routers that stand by leave to the active ones what one router is to do for all: two
/// rounds of words of a fleet of 300.
const PATIENCE: Span = Span::secs(6);

impl Actives {
    /// Works out which routers are active, where that is due.
    pub fn refresh(&mut self, now: Time) {
        self.rate.refresh(now);
        if self.refreshed.is_some_and(|at| now.since(at) < FRESH) {
            return;
        }
        self.refreshed = Some(now);
        self.forget(now);
        self.note_silent(now);
        let chosen = choose(&self.members(now), self.least, self.need(now));
        self.active_since = match chosen.contains(&self.name) {
            true => self.active_since.or(Some(now)),
            false => None,
        };
        for (name, peer) in &mut self.peers {
            peer.active = match chosen.contains(name) {
                true => peer.active.or(Some(now)),
                false => None,
            };
        }
        self.active = chosen;
        self.active.retain(|name| *name != self.name);
    }

    /// Notes which active ones are silent, where this router would hear them.
    ///
    /// One that stands by hears each only every few seconds, and one that became active a moment ago
    /// is not known to all of them yet.
    fn note_silent(&mut self, now: Time) {
        if self.active_since.is_none_or(|at| now.since(at) < SILENT) {
            return;
        }
        for peer in self.peers.values_mut() {
            if peer.silent.is_none() && peer.lost_place(now) || peer.is_silent_here(now) {
                peer.silent = Some(Silence::Seen);
            }
        }
    }

    fn forget(&mut self, now: Time) {
        let shorts = &mut self.shorts;
        self.peers.retain(|name, p| {
            let keep = now.since(p.heard) < FORGET.max(p.next * 4.0);
            if !keep {
                shorts.remove(&router_key(name, p.intro.incarnation));
            }
            keep
        });
        self.contacts.forget(now);
    }

    /// Returns those that can be active.
    fn members(&self, now: Time) -> Vec<Member> {
        let member = |name: &RouterId, intro: &RouterInfo| Member {
            name: name.clone(),
            zone: intro.zone.clone(),
            processor: f64::from(intro.processor),
        };
        let own = self.own.ready.then(|| member(&self.name, &self.own));
        let peers = self.peers.iter();
        let there = peers.filter(|(_, p)| p.intro.ready && p.is_live(now));
        let there = there.map(|(name, p)| member(name, &p.intro));
        own.into_iter().chain(there).collect()
    }

    /// Returns the processor time that active routers are to have, in cores.
    ///
    /// It goes up and down by steps. With each request more or less the last router would come and
    /// go, and with it the connections of its callers; and routers that hear of a little more or
    /// less would not agree.
    fn need(&self, now: Time) -> f64 {
        let live = self.peers.values().filter(|p| p.is_live(now));
        let active = live.filter(|p| p.active.is_some() && p.is_rate_known(now));
        let own = if self.is_active() {
            self.rate.per_second()
        } else {
            0.0
        };
        let need = (own + active.map(|p| p.rate).sum::<f64>()) * REQUEST * ROOM;
        NEED_STEP.powf((need.max(f64::MIN_POSITIVE).ln() / NEED_STEP.ln()).ceil())
    }

    /// Tells whether this router is active.
    pub fn is_active(&self) -> bool {
        self.active_since.is_some()
    }

    /// Returns for how long this router has been active.
    pub fn active_for(&self, now: Time) -> Span {
        self.active_since.map_or(Span::ZERO, |at| now.since(at))
    }

    /// Returns how many routers are active, this one included where it is.
    pub fn active_count(&self) -> usize {
        self.active.len() + usize::from(self.is_active())
    }

    /// Returns the others that are active.
    pub fn active(&self) -> impl Iterator<Item = (&RouterId, &Peer)> {
        self.active
            .iter()
            .filter_map(|name| Some((name, self.peers.get(name)?)))
    }

    /// Returns the routers that are there, without this one.
    pub fn live(&self, now: Time) -> impl Iterator<Item = (&RouterId, &Peer)> {
        self.peers.iter().filter(move |(_, p)| p.is_live(now))
    }

    /// Returns how many routers there are, this one included.
    pub fn count(&self, now: Time) -> usize {
        self.live(now).count() + 1
    }

    /// Returns how many routers, this one included, share the fleet's retry budget: the active ones
    /// and the standbys that have many requests.
    ///
    /// Only active routers know the latter. A standby uses the number in the last summary, or counts
    /// all routers where it has none.
    pub fn sharers(&self, now: Time) -> usize {
        if self.is_active() {
            return self.active_count() + self.busy_standbys(now).count();
        }
        let told = self
            .known_sharers
            .filter(|(at, _)| is_recent(Some(*at), now));
        told.map_or(self.contacts.len() + 1, |(_, sharers)| sharers)
    }

    /// Sets how many routers share the fleet's retry budget, as an active one counts them.
    pub fn set_sharers(&mut self, sharers: usize, now: Time) {
        self.known_sharers = Some((now, sharers.max(1)));
    }

    /// Returns among how many routers one is drawn where one of them is to do something.
    pub fn eligible_count(&self) -> usize {
        match self.is_active() {
            true => self.active_count(),
            false => self.contacts.len() + 1,
        }
    }

    /// Returns for how much longer than an active router this one waits until it does what one of
    /// them is to do.
    ///
    /// One that stands by hears each active one every three seconds, and so is late to hear that one
    /// did it. Where such routers waited no longer, 280 of them began one watch after the other
    /// and ended none: 7,018 calls to the store on a quiet day of 48 s.
    pub fn standby_delay(&self) -> Span {
        match self.is_active() {
            true => Span::ZERO,
            false => PATIENCE,
        }
    }
}
