//! What a heartbeat tells, of its sender and of others.

use {
    super::{
        peer::Peer,
        Event,
        GossipUpdate,
        Heartbeat,
        Members,
        ReportedState,
        State, //
    },
    crate::{
        Incarnation,
        RouterId,
        Time, //
    },
};

/// Most updates about routers that are not live that a newcomer is told at once.
const GREETING: usize = 64;

impl Members {
    /// Takes a heartbeat. It may be late, doubled or out of order.
    pub fn receive_heartbeat(&mut self, b: Heartbeat, now: Time) {
        if b.id == self.me {
            self.replaced(b.incarnation);
            return;
        }
        if !self.known_or_new(&b, now) {
            return;
        }
        if self.hear(&b, now) {
            self.vouch(&b, now);
        }
        for r in b.updates {
            self.receive_update(r, &b.id, now);
        }
        if b.reply_requested {
            // The asker may have had this round's heartbeat already; a new number shows
            // that this router has lived on since.
            self.seq += 1;
            self.send_heartbeat(&b.id, false);
        }
    }

    /// Makes an entry for a sender not known before; tells whether there is one.
    fn known_or_new(&mut self, b: &Heartbeat, now: Time) -> bool {
        if self.peers.contains_key(&b.id) {
            return true;
        }
        let Some(intro) = &b.intro else {
            return false;
        };
        let peer = Peer::new(b.id.clone(), intro, &self.params, now);
        self.peers.insert(b.id.clone(), peer);
        true
    }

    /// Notes what the sender says of itself; tells whether the heartbeat was news.
    fn hear(&mut self, b: &Heartbeat, now: Time) -> bool {
        let Some(p) = self.peers.get_mut(&b.id) else {
            return false;
        };
        if b.incarnation < p.member.incarnation {
            return false;
        }
        let newcomer = b.incarnation > p.member.incarnation;
        if newcomer {
            p.restart(b.incarnation, &self.params);
        } else if p.stale(b.seq) {
            return false;
        }
        if p.hear(b, &self.me, &self.params, now) {
            self.events.push(Event::Changed);
        }
        self.turn(&b.id, State::Live, now);
        if newcomer {
            self.greet(&b.id);
        }
        true
    }

    /// Tells a newcomer which routers are not live, since that news is no longer spread.
    fn greet(&mut self, id: &RouterId) {
        let news = self
            .peers
            .values()
            .filter(|p| p.reported_state() != ReportedState::Live);
        let news: Vec<GossipUpdate> = news.map(Peer::gossip_update).take(GREETING).collect();
        if news.is_empty() {
            return;
        }
        self.owed.insert(id.clone(), news);
        self.send_heartbeat(id, true);
    }

    /// Tells the sender that routers which it misses are heard here.
    fn vouch(&mut self, b: &Heartbeat, now: Time) {
        for id in &b.missing {
            let Some(p) = self.peers.get(id).filter(|p| p.fresh(&self.params, now)) else {
                continue;
            };
            let r = p.gossip_update();
            self.owed.entry(b.id.clone()).or_default().push(r);
        }
    }

    /// Takes news of a router, told by another.
    fn receive_update(&mut self, r: GossipUpdate, from: &RouterId, now: Time) {
        if r.id == self.me {
            return self.accused(&r, from);
        }
        let n = self.peers.len();
        let Some(p) = self.peers.get_mut(&r.id) else {
            return;
        };
        if r.incarnation < p.member.incarnation {
            if r.state != ReportedState::Live && p.reported_state() == ReportedState::Live {
                self.gossip.push(p.gossip_update(), n);
            }
            return;
        }
        if r.incarnation > p.member.incarnation {
            p.restart(r.incarnation, &self.params);
            p.member.inbound_ok = false;
        } else if !r.supersedes(p.seq, p.reported_state()) {
            // Fresher evidence is at hand: pass that on instead.
            if r.state != ReportedState::Live
                && p.reported_state() == ReportedState::Live
                && r.seq < p.seq
            {
                self.gossip.push(p.gossip_update(), n);
            }
            return;
        }
        p.seq = p.seq.max(r.seq);
        if r.state == ReportedState::Live {
            p.since = now;
        }
        self.turn(&r.id, r.state.member_state(), now);
    }

    /// Answers news of this router itself.
    fn accused(&mut self, r: &GossipUpdate, from: &RouterId) {
        self.replaced(r.incarnation);
        if r.incarnation != self.incarnation || r.state == ReportedState::Live {
            return;
        }
        self.seq = self.seq.max(r.seq) + 1;
        let live = GossipUpdate {
            id: self.me.clone(),
            incarnation: self.incarnation,
            seq: self.seq,
            state: ReportedState::Live,
        };
        let n = self.peers.len();
        self.gossip.push(live, n);
        self.send_heartbeat(from, false);
    }

    fn replaced(&mut self, by: Incarnation) {
        if by > self.incarnation {
            self.events.push(Event::Replaced(by));
        }
    }
}

impl ReportedState {
    fn member_state(self) -> State {
        match self {
            ReportedState::Live => State::Live,
            ReportedState::Suspect => State::Suspect,
            ReportedState::Dead => State::Dead,
            ReportedState::Left => State::Left,
        }
    }
}
