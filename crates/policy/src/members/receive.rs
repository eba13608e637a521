//! Handles received heartbeats: the sender's state, and gossip about others.

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

/// Maximum number of updates about routers that are not live in the first heartbeat to a
/// newcomer.
const NEWCOMER_UPDATES: usize = 64;

impl Members {
    /// Handles a heartbeat, which may be delayed, duplicated or out of order.
    pub fn receive_heartbeat(&mut self, b: Heartbeat, now: Time) {
        if b.id == self.me {
            self.check_replaced(b.incarnation);
            return;
        }
        if !self.ensure_peer(&b, now) {
            return;
        }
        if self.apply_heartbeat(&b, now) {
            self.report_received(&b, now);
        }
        for r in b.updates {
            self.receive_update(r, &b.id, now);
        }
        if b.reply_requested {
            // The sender may have received this round's heartbeat already; a new sequence
            // number proves that this router is still running.
            self.seq += 1;
            self.send_heartbeat(&b.id, false);
        }
    }

    /// Adds a sender that was not known; returns whether there is an entry for it now.
    fn ensure_peer(&mut self, b: &Heartbeat, now: Time) -> bool {
        if self.peers.contains_key(&b.id) {
            return true;
        }
        let Some(addresses) = &b.addresses else {
            return false;
        };
        let peer = Peer::new(b.id.clone(), addresses, &self.params, now);
        self.peers.insert(b.id.clone(), peer);
        true
    }

    /// Applies the sender's own state; returns whether the heartbeat was newer than what is
    /// known.
    fn apply_heartbeat(&mut self, b: &Heartbeat, now: Time) -> bool {
        let Some(p) = self.peers.get_mut(&b.id) else {
            return false;
        };
        if b.incarnation < p.member.incarnation {
            return false;
        }
        let newcomer = b.incarnation > p.member.incarnation;
        if newcomer {
            p.restart(b.incarnation, &self.params);
        } else if p.is_stale(b.seq) {
            return false;
        }
        if p.apply_heartbeat(b, &self.me, &self.params, now) {
            self.events.push(Event::Changed);
        }
        self.set_state(&b.id, State::Live, now);
        if newcomer {
            self.inform_newcomer(&b.id);
        }
        true
    }

    /// Sends a newcomer the routers that are not live, as those updates are no longer gossiped.
    fn inform_newcomer(&mut self, id: &RouterId) {
        let updates = self
            .peers
            .values()
            .filter(|p| p.reported_state() != ReportedState::Live);
        let updates: Vec<GossipUpdate> = updates
            .map(Peer::gossip_update)
            .take(NEWCOMER_UPDATES)
            .collect();
        if updates.is_empty() {
            return;
        }
        self.pending.insert(id.clone(), updates);
        self.send_heartbeat(id, true);
    }

    /// Queues updates for the sender about routers that it misses and that are received here.
    fn report_received(&mut self, b: &Heartbeat, now: Time) {
        for id in &b.missing {
            let Some(p) = self
                .peers
                .get(id)
                .filter(|p| p.recently_received(&self.params, now))
            else {
                continue;
            };
            let r = p.gossip_update();
            self.pending.entry(b.id.clone()).or_default().push(r);
        }
    }

    /// Handles a gossip update that another router sent.
    fn receive_update(&mut self, r: GossipUpdate, from: &RouterId, now: Time) {
        if r.id == self.me {
            return self.refute(&r, from);
        }
        let n = self.peers.len();
        let Some(p) = self.peers.get_mut(&r.id) else {
            return;
        };
        if r.incarnation < p.member.incarnation {
            if r.reported != ReportedState::Live && p.reported_state() == ReportedState::Live {
                self.gossip.push(p.gossip_update(), n);
            }
            return;
        }
        if r.incarnation > p.member.incarnation {
            p.restart(r.incarnation, &self.params);
            p.member.inbound_ok = false;
        } else if !r.supersedes(p.seq, p.reported_state()) {
            // More recent evidence is known here: pass that on instead.
            if r.reported != ReportedState::Live
                && p.reported_state() == ReportedState::Live
                && r.seq < p.seq
            {
                self.gossip.push(p.gossip_update(), n);
            }
            return;
        }
        p.seq = p.seq.max(r.seq);
        if r.reported == ReportedState::Live {
            p.silent_since = now;
        }
        self.set_state(&r.id, r.reported.member_state(), now);
    }

    /// Handles an update about this router: refutes that it is not live.
    fn refute(&mut self, r: &GossipUpdate, from: &RouterId) {
        self.check_replaced(r.incarnation);
        if r.incarnation != self.incarnation || r.reported == ReportedState::Live {
            return;
        }
        self.seq = self.seq.max(r.seq) + 1;
        let live = GossipUpdate {
            id: self.me.clone(),
            incarnation: self.incarnation,
            seq: self.seq,
            reported: ReportedState::Live,
        };
        let n = self.peers.len();
        self.gossip.push(live, n);
        self.send_heartbeat(from, false);
    }

    /// Reports a later incarnation of this router.
    fn check_replaced(&mut self, by: Incarnation) {
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
