//! Timed actions: heartbeat rounds, failure detection and removal of departed routers.

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

/// How many dead routers get a heartbeat in each round, to detect those that are back.
const DEAD_PROBES: usize = 2;

impl Members {
    /// Advances the time; must be called at least once in each heartbeat interval.
    pub fn tick(&mut self, now: Time) {
        self.exclude_pause(now);
        if self.next_round.is_none_or(|at| now >= at) {
            self.next_round = Some(now + self.params.interval);
            self.seq += 1;
            let ring = Ring::new(self.ring_ids());
            self.update_expected(&ring, now);
            for id in self.targets(&ring) {
                self.send_heartbeat(&id, false);
            }
        }
        self.detect_failures(now);
        self.remove_departed(now);
    }

    /// Excludes a pause of this process from the silence of the others.
    fn exclude_pause(&mut self, now: Time) {
        // A process that was stopped or starved of CPU sees all others as silent when it
        // resumes. It would declare the whole fleet dead and take over every pool. As their
        // silence can't be distinguished from its own, the pause is not counted.
        let last = self.last_tick.replace(now);
        let Some(gap) = last.map(|t| now.since(t)) else {
            return;
        };
        if gap <= Span(self.params.interval.0 * 2) {
            return;
        }
        for p in self.peers.values_mut() {
            p.exclude_pause(gap, now);
        }
    }

    pub(super) fn ring_ids(&self) -> impl Iterator<Item = &RouterId> {
        let others = self.peers.values().map(|p| &p.member);
        let others = others.filter(|m| m.state.on_ring()).map(|m| &m.id);
        others.chain(std::iter::once(&self.me))
    }

    /// Updates which routers should send a heartbeat to this one in every round.
    fn update_expected(&mut self, ring: &Ring, now: Time) {
        let expected: BTreeSet<RouterId> = ring
            .predecessors(&self.me, &self.params)
            .into_iter()
            .collect();
        for p in self.peers.values_mut() {
            let was = std::mem::replace(&mut p.expected, expected.contains(&p.member.id));
            if p.expected && !was {
                p.silent_since = now;
                p.unheard_since = now;
                p.probed = false;
            }
        }
    }

    /// Chooses the receivers of this round's heartbeats.
    pub(super) fn targets(&mut self, ring: &Ring) -> BTreeSet<RouterId> {
        let mut to: BTreeSet<RouterId> = ring
            .successors(&self.me, &self.params)
            .into_iter()
            .collect();
        let mut dead: Vec<RouterId> = Vec::new();
        let mut rest: Vec<RouterId> = Vec::new();
        for p in self.peers.values() {
            match p.member.state {
                State::Dead => dead.push(p.member.id.clone()),
                s if s.on_ring() && !to.contains(&p.member.id) => rest.push(p.member.id.clone()),
                _ => {}
            }
        }
        self.rng.shuffle(&mut dead);
        self.rng.shuffle(&mut rest);
        to.extend(dead.into_iter().take(DEAD_PROBES));
        let free = self.params.fanout.saturating_sub(to.len());
        to.extend(rest.into_iter().take(free));
        to
    }

    /// Marks silent routers as suspect, and suspects that stay silent as dead.
    fn detect_failures(&mut self, now: Time) {
        let mut probes = Vec::new();
        let mut transitions = Vec::new();
        for p in self.peers.values_mut() {
            let id = &p.member.id;
            let silence = now.since(p.silent_since);
            let timeout = p.intervals.timeout(&self.params);
            match p.member.state {
                State::Listed | State::Live if p.expected => {
                    if now.since(p.unheard_since) + self.params.interval > timeout && !p.probed {
                        p.probed = true;
                        p.member.inbound_ok = false;
                        probes.push(id.clone());
                    }
                    if silence > timeout {
                        transitions.push((id.clone(), State::Suspect));
                    }
                }
                State::Suspect if now.since(p.state_since) > self.params.confirm_timeout => {
                    transitions.push((id.clone(), State::Dead));
                }
                _ => {}
            }
        }
        for id in probes {
            self.send_heartbeat(&id, true);
        }
        for (id, state) in transitions {
            self.set_state(&id, state, now);
        }
    }

    /// Removes routers that departed long ago and are no longer listed.
    fn remove_departed(&mut self, now: Time) {
        let retention = self.params.retention;
        self.peers.retain(|_, p| {
            let departed = matches!(p.member.state, State::Dead | State::Left);
            p.listed || !departed || now.since(p.state_since) < retention
        });
    }
}
