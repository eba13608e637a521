//! The state kept for each other router.

use {
    super::{
        intervals::IntervalStats,
        GossipUpdate,
        Heartbeat,
        Listed,
        Member,
        MembershipParams,
        ReportedState,
        RouterAddresses,
        State, //
    },
    crate::{
        Incarnation,
        RouterId,
        Span,
        Time, //
    },
};

/// Another router, and the evidence about it.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) member: Member,
    /// The highest sequence number of its heartbeats, received here or by another router.
    pub(super) seq: u64,
    /// The sequence number and the time of its last heartbeat that arrived here.
    pub(super) direct: Option<(u64, Time)>,
    /// When its present silence began, including what other routers report.
    pub(super) silent_since: Time,
    /// When its present silence towards this router began.
    pub(super) unheard_since: Time,
    /// When it entered its state.
    pub(super) state_since: Time,
    /// This router should get its heartbeats in every round.
    pub(super) expected: bool,
    /// It was asked for a heartbeat since its last one arrived.
    pub(super) probed: bool,
    pub(super) listed: bool,
    pub(super) intervals: IntervalStats,
    announced_leaving: bool,
    listed_leaving: bool,
    listed_leaving_stale: bool,
}

impl Peer {
    pub(super) fn new(
        id: RouterId,
        addresses: &RouterAddresses,
        params: &MembershipParams,
        now: Time,
    ) -> Peer {
        Peer {
            member: Member {
                id,
                incarnation: Incarnation::default(),
                addr: addresses.addr,
                caller_addr: addresses.caller_addr,
                operator_addr: addresses.operator_addr,
                zone: addresses.zone.clone(),
                state: State::Listed,
                leaving: false,
                no_platform: false,
                inbound_ok: false,
                outbound_ok: true,
                config: 0,
                list: 0,
                load: 0,
            },
            seq: 0,
            direct: None,
            silent_since: now,
            unheard_since: now,
            state_since: now,
            expected: false,
            probed: false,
            listed: false,
            intervals: IntervalStats::new(params),
            announced_leaving: false,
            listed_leaving: false,
            listed_leaving_stale: false,
        }
    }

    /// Applies its entry of the platform's list. Addresses that it announced itself take
    /// precedence.
    pub(super) fn apply_list_entry(&mut self, l: &Listed) {
        self.listed = true;
        if self.member.incarnation == Incarnation::default() || self.member.state == State::Dead {
            self.member.addr = l.addr;
            self.member.caller_addr = l.caller_addr;
            self.member.zone = l.zone.clone();
        }
        self.listed_leaving_stale &= l.leaving;
        self.listed_leaving = l.leaving && !self.listed_leaving_stale;
        self.member.leaving = self.announced_leaving || self.listed_leaving;
    }

    /// Resets the state for a later incarnation of the router.
    pub(super) fn restart(&mut self, incarnation: Incarnation, params: &MembershipParams) {
        let known = self.member.incarnation != Incarnation::default();
        self.member.incarnation = incarnation;
        self.member.config = 0;
        self.member.no_platform = false;
        self.seq = 0;
        self.direct = None;
        self.announced_leaving = false;
        // The list lags: it still shows the earlier incarnation as leaving. Its flag is ignored
        // until the list has cleared it once.
        self.listed_leaving_stale |= known && self.listed_leaving;
        self.listed_leaving &= !known;
        self.member.leaving = self.listed_leaving;
        self.intervals = IntervalStats::new(params);
    }

    /// Applies a heartbeat of the present incarnation that is newer than those before; returns
    /// whether more than the reported revisions and load has changed.
    pub(super) fn apply_heartbeat(
        &mut self,
        b: &Heartbeat,
        me: &RouterId,
        params: &MembershipParams,
        now: Time,
    ) -> bool {
        if let (true, Some((_, at))) = (self.expected, self.direct) {
            self.intervals.push(now.since(at), params);
        }
        self.direct = Some((b.seq, now));
        self.seq = self.seq.max(b.seq);
        self.silent_since = now;
        self.unheard_since = now;
        self.probed = false;
        self.announced_leaving = b.leaving;
        let m = &mut self.member;
        m.config = m.config.max(b.config);
        m.list = b.list;
        m.load = b.load;
        let before = m.clone();
        m.leaving = self.announced_leaving || self.listed_leaving;
        m.no_platform = b.no_platform;
        m.inbound_ok = true;
        m.outbound_ok = !b.missing.contains(me);
        if let Some(i) = &b.addresses {
            m.addr = i.addr;
            m.caller_addr = i.caller_addr;
            m.operator_addr = i.operator_addr.or(m.operator_addr);
            m.zone = i.zone.clone();
        }
        *m != before
    }

    /// Returns whether a heartbeat of the present incarnation is no newer than the evidence
    /// for its state.
    pub(super) fn is_stale(&self, seq: u64) -> bool {
        // A delayed heartbeat may arrive after others have declared the router dead. If it
        // counted as a sign of life, the dead router would get work for two more seconds. The
        // reports of others are based on the last heartbeat that any of them received.
        let heard = match self.member.state {
            State::Left => return true,
            State::Suspect | State::Dead => Some(self.seq),
            State::Listed | State::Live => self.direct.map(|(seq, _)| seq),
        };
        heard.is_some_and(|last| seq <= last)
    }

    /// Sets the state; returns whether it changed.
    pub(super) fn set_state(&mut self, state: State, now: Time) -> bool {
        if self.member.state == state {
            return false;
        }
        self.member.state = state;
        self.state_since = now;
        true
    }

    /// Returns the gossip update that describes this peer's present state.
    pub(super) fn gossip_update(&self) -> GossipUpdate {
        GossipUpdate {
            id: self.member.id.clone(),
            incarnation: self.member.incarnation,
            seq: self.seq,
            reported: self.reported_state(),
        }
    }

    pub(super) fn reported_state(&self) -> ReportedState {
        match self.member.state {
            State::Listed | State::Live => ReportedState::Live,
            State::Suspect => ReportedState::Suspect,
            State::Dead => ReportedState::Dead,
            State::Left => ReportedState::Left,
        }
    }

    /// Returns whether a heartbeat arrived here within the last two rounds.
    pub(super) fn recently_received(&self, params: &MembershipParams, now: Time) -> bool {
        self.direct
            .is_some_and(|(_, at)| now.since(at) <= Span(params.interval.0 * 2))
    }

    /// Moves the start of each silence forward by a pause of this process.
    pub(super) fn exclude_pause(&mut self, pause: Span, now: Time) {
        self.silent_since = (self.silent_since + pause).min(now);
        self.unheard_since = (self.unheard_since + pause).min(now);
        self.state_since = (self.state_since + pause).min(now);
    }
}
