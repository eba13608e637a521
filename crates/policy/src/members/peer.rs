//! What is kept about another router.

use {
    super::{
        gaps::Gaps,
        GossipUpdate,
        Heartbeat,
        Intro,
        Listed,
        Member,
        MembershipParams,
        ReportedState,
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
    /// The freshest of its heartbeats that is known of, heard here or by others.
    pub(super) seq: u64,
    /// The last of its heartbeats that arrived here, and when.
    pub(super) direct: Option<(u64, Time)>,
    /// When the present silence began, by all that is known.
    pub(super) since: Time,
    /// When the present silence towards this router began.
    pub(super) quiet: Time,
    /// When it came into its state.
    pub(super) changed: Time,
    /// Its heartbeats are due here in every round.
    pub(super) due: bool,
    /// It was asked for a heartbeat since it was last heard.
    pub(super) probed: bool,
    pub(super) listed: bool,
    pub(super) gaps: Gaps,
    own_leaving: bool,
    list_leaving: bool,
    list_stale: bool,
}

impl Peer {
    pub(super) fn new(id: RouterId, intro: &Intro, params: &MembershipParams, now: Time) -> Peer {
        Peer {
            member: Member {
                id,
                incarnation: Incarnation::default(),
                addr: intro.addr,
                callers: intro.callers,
                operators: intro.operators,
                zone: intro.zone.clone(),
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
            since: now,
            quiet: now,
            changed: now,
            due: false,
            probed: false,
            listed: false,
            gaps: Gaps::new(params),
            own_leaving: false,
            list_leaving: false,
            list_stale: false,
        }
    }

    /// Notes what the platform's list says. Its own word on where it is goes first.
    pub(super) fn list(&mut self, l: &Listed) {
        self.listed = true;
        if self.member.incarnation == Incarnation::default() || self.member.state == State::Dead {
            self.member.addr = l.addr;
            self.member.callers = l.callers;
            self.member.zone = l.zone.clone();
        }
        self.list_stale &= l.leaving;
        self.list_leaving = l.leaving && !self.list_stale;
        self.member.leaving = self.own_leaving || self.list_leaving;
    }

    /// Starts over for a later start of the router.
    pub(super) fn restart(&mut self, incarnation: Incarnation, params: &MembershipParams) {
        let known = self.member.incarnation != Incarnation::default();
        self.member.incarnation = incarnation;
        self.member.config = 0;
        self.member.no_platform = false;
        self.seq = 0;
        self.direct = None;
        self.own_leaving = false;
        // The list lags: what it says of leaving was said of the earlier start, and it goes on
        // saying so for a while. It counts again once it has taken that back.
        self.list_stale |= known && self.list_leaving;
        self.list_leaving &= !known;
        self.member.leaving = self.list_leaving;
        self.gaps = Gaps::new(params);
    }

    /// Notes a heartbeat of the present start that is newer than those before; tells whether
    /// more than the figures it reports has changed.
    pub(super) fn hear(
        &mut self,
        b: &Heartbeat,
        me: &RouterId,
        params: &MembershipParams,
        now: Time,
    ) -> bool {
        if let (true, Some((_, at))) = (self.due, self.direct) {
            self.gaps.push(now.since(at), params);
        }
        self.direct = Some((b.seq, now));
        self.seq = self.seq.max(b.seq);
        self.since = now;
        self.quiet = now;
        self.probed = false;
        self.own_leaving = b.leaving;
        let m = &mut self.member;
        m.config = m.config.max(b.config);
        m.list = b.list;
        m.load = b.load;
        let before = m.clone();
        m.leaving = self.own_leaving || self.list_leaving;
        m.no_platform = b.no_platform;
        m.inbound_ok = true;
        m.outbound_ok = !b.missing.contains(me);
        if let Some(i) = &b.intro {
            m.addr = i.addr;
            m.callers = i.callers;
            m.operators = i.operators.or(m.operators);
            m.zone = i.zone.clone();
        }
        *m != before
    }

    /// Tells whether a heartbeat of the present start proves nothing.
    pub(super) fn stale(&self, seq: u64) -> bool {
        // A heartbeat that was held up may come when others have found the router dead. Taken
        // for a sign of life it would bring work to a dead router for two more seconds. What
        // the others say rests on the last heartbeat that any of them heard.
        let heard = match self.member.state {
            State::Left => return true,
            State::Suspect | State::Dead => Some(self.seq),
            State::Listed | State::Live => self.direct.map(|(seq, _)| seq),
        };
        heard.is_some_and(|last| seq <= last)
    }

    /// Moves to another state; returns whether it is another.
    pub(super) fn turn(&mut self, state: State, now: Time) -> bool {
        if self.member.state == state {
            return false;
        }
        self.member.state = state;
        self.changed = now;
        true
    }

    /// Returns the news about this router, as it is known here.
    pub(super) fn gossip_update(&self) -> GossipUpdate {
        GossipUpdate {
            id: self.member.id.clone(),
            incarnation: self.member.incarnation,
            seq: self.seq,
            state: self.reported_state(),
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

    /// Tells whether a heartbeat arrived here within the last two rounds.
    pub(super) fn fresh(&self, params: &MembershipParams, now: Time) -> bool {
        self.direct
            .is_some_and(|(_, at)| now.since(at) <= Span(params.interval.0 * 2))
    }

    /// Shifts the moments from which silence is counted, after a pause of this process.
    pub(super) fn forgive(&mut self, pause: Span, now: Time) {
        self.since = (self.since + pause).min(now);
        self.quiet = (self.quiet + pause).min(now);
        self.changed = (self.changed + pause).min(now);
    }
}
