//! What happens as time passes: rounds of heartbeats, suspicion, death.

use {
    super::{
        ring::Ring,
        Members,
        State, //
    },
    crate::{
        RouterId,
        Span,
        Time, //
    },
    std::collections::BTreeSet, //
};

/// How many routers that are thought dead are tried in a round, to find those that are back.
const DEAD_TRIES: usize = 2;

impl Members {
    /// Lets time pass; call it at least once in each heartbeat interval.
    pub fn tick(&mut self, now: Time) {
        self.forgive(now);
        if self.round.is_none_or(|at| now >= at) {
            self.round = Some(now + self.params.interval);
            self.seq += 1;
            let ring = Ring::new(self.ring_ids());
            self.expect(&ring, now);
            for id in self.targets(&ring) {
                self.send_heartbeat(&id, false);
            }
        }
        self.judge(now);
        self.forget(now);
    }

    /// Counts no silence that fell into a pause of this process.
    fn forgive(&mut self, now: Time) {
        // A process that was stopped or starved finds all others silent when it goes on.
        // It would call the whole fleet dead, and take over every pool. The others' silence
        // can't be told from its own, so the pause is not counted.
        let last = self.ticked.replace(now);
        let Some(gap) = last.map(|t| now.since(t)) else {
            return;
        };
        if gap <= Span(self.params.interval.0 * 2) {
            return;
        }
        for p in self.peers.values_mut() {
            p.forgive(gap, now);
        }
    }

    pub(super) fn ring_ids(&self) -> impl Iterator<Item = &RouterId> {
        let others = self.peers.values().map(|p| &p.member);
        let others = others.filter(|m| m.state.on_ring()).map(|m| &m.id);
        others.chain(std::iter::once(&self.me))
    }

    /// Notes whose heartbeats are due here in every round.
    fn expect(&mut self, ring: &Ring, now: Time) {
        let due: BTreeSet<RouterId> = ring
            .predecessors(&self.me, &self.params)
            .into_iter()
            .collect();
        for p in self.peers.values_mut() {
            let was = std::mem::replace(&mut p.due, due.contains(&p.member.id));
            if p.due && !was {
                p.since = now;
                p.quiet = now;
                p.probed = false;
            }
        }
    }

    /// Chooses whom to beat in this round.
    pub(super) fn targets(&mut self, ring: &Ring) -> BTreeSet<RouterId> {
        let mut to: BTreeSet<RouterId> = ring
            .successors(&self.me, &self.params)
            .into_iter()
            .collect();
        let mut lost: Vec<RouterId> = Vec::new();
        let mut rest: Vec<RouterId> = Vec::new();
        for p in self.peers.values() {
            match p.member.state {
                State::Dead => lost.push(p.member.id.clone()),
                s if s.on_ring() && !to.contains(&p.member.id) => rest.push(p.member.id.clone()),
                _ => {}
            }
        }
        self.rng.shuffle(&mut lost);
        self.rng.shuffle(&mut rest);
        to.extend(lost.into_iter().take(DEAD_TRIES));
        let free = self.params.fanout.saturating_sub(to.len());
        to.extend(rest.into_iter().take(free));
        to
    }

    /// Suspects the silent, and gives up suspects that stay silent.
    fn judge(&mut self, now: Time) {
        let mut probes = Vec::new();
        let mut turns = Vec::new();
        for p in self.peers.values_mut() {
            let id = &p.member.id;
            let silence = now.since(p.since);
            let limit = p.gaps.limit(&self.params);
            match p.member.state {
                State::Listed | State::Live if p.due => {
                    if now.since(p.quiet) + self.params.interval > limit && !p.probed {
                        p.probed = true;
                        p.member.inbound_ok = false;
                        probes.push(id.clone());
                    }
                    if silence > limit {
                        turns.push((id.clone(), State::Suspect));
                    }
                }
                State::Suspect if now.since(p.changed) > self.params.confirm_timeout => {
                    turns.push((id.clone(), State::Dead));
                }
                _ => {}
            }
        }
        for id in probes {
            self.send_heartbeat(&id, true);
        }
        for (id, state) in turns {
            self.turn(&id, state, now);
        }
    }

    /// Forgets routers that are long gone and no longer listed.
    fn forget(&mut self, now: Time) {
        let forget = self.params.retention;
        self.peers.retain(|_, p| {
            let gone = matches!(p.member.state, State::Dead | State::Left);
            p.listed || !gone || now.since(p.changed) < forget
        });
    }
}
