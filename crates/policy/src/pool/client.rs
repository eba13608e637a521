//! A router's side of a pool: the slots granted to it, and its reports.

use {
    super::{
        report_body::{
            queued,
            ReportBody, //
        },
        ByteBudget,
        Limits, //
    },
    crate::{
        dispatch::{
            Report,
            ServiceKey,
            SlotGrant,
            WorkspaceDemand, //
        },
        service::{
            Queue,
            ReplicaKey,
            ServiceReplicas, //
        },
        shares::Key,
        Incarnation,
        RouterId,
        Span,
        Time, //
    },
    std::collections::{
        BTreeMap,
        VecDeque, //
    },
};

/// Minimum interval between two reports.
const URGENT_INTERVAL: Span = Span::millis(10);
/// Minimum interval between two reports without urgency while requests are queued.
const BACKLOG_INTERVAL: Span = Span::millis(200);
/// The same while no requests are queued.
const IDLE_INTERVAL: Span = Span::millis(250);
/// Rates of reports that an owner receives from all routers: without urgency, and at most.
const OWNER_REPORT_BYTES_PER_SEC: u64 = 4_000;
const OWNER_URGENT_BYTES_PER_SEC: f64 = 9_000.0;
/// Bytes of urgent reports in a burst.
const URGENT_BURST_BYTES: f64 = 600.0;
/// An unacknowledged report is resent after this time.
const RESEND_TIMEOUT: Span = Span::millis(400);
/// Number of times that this doubles while the owner doesn't answer.
const RESEND_DOUBLINGS: u32 = 4;
/// After this number of unanswered reports none is sent as urgent.
const UNANSWERED_LIMIT: u32 = 16;
/// If the owner is silent for this time, the static share is used.
const OWNER_TIMEOUT: Span = Span::secs(1);
/// Interval between two reports of replica performance.
const LOADS_INTERVAL: Span = Span::millis(500);
/// Minimum of that interval for each replica, for services with many of them.
const LOADS_INTERVAL_PER_REPLICA: Span = Span::millis(3);
/// Number of reports whose workspaces are remembered until the owner answers.
const REPORTED_KEYS_LIMIT: usize = 8;

/// The slots that this router holds of a pool, which another router or itself owns.
#[derive(Debug, Default)]
pub(crate) struct PoolClient {
    pub(crate) owner: Option<(RouterId, Incarnation)>,
    /// Whether callers of the service are directed to this router.
    pub(crate) preferred: bool,
    /// Number of times that the owner has changed.
    term: u32,
    owner_since: Time,
    /// Sequence number of the last applied grant.
    last_grant: u64,
    /// Whether the owner has not been informed yet of released slots.
    return_pending: bool,
    /// Whether a due report was delayed.
    pub(crate) report_delayed: bool,
    pub(crate) contended: bool,
    pub(crate) capacity: u32,
    /// Number of routers that use the pool.
    sharers: u32,
    urgent_budget: ByteBudget,
    /// Limits of replicas, as last received.
    pub(crate) limits: Limits,
    seq: u64,
    /// Reports since the last acknowledgement.
    unanswered: u32,
    /// The last grant that was acknowledged to the owner.
    reported_grant: u64,
    last_report: Option<(Time, ReportBody)>,
    /// The last report that listed the backlogged workspaces: its number, its time and the list.
    last_demands: Option<(u64, Time, Vec<WorkspaceDemand>)>,
    acked_report: u64,
    /// The backlogged workspaces of the last reports, by the number of the report.
    reported_keys: VecDeque<(u64, Vec<Key>)>,
    /// When replica performance was last reported.
    loads_sent_at: Option<Time>,
    /// Since when reports have been sent without any acknowledgement.
    unacked_since: Option<Time>,
}

impl PoolClient {
    /// Sets the owner of the pool. Slots that are held stay.
    pub(crate) fn set_owner(&mut self, owner: Option<(RouterId, Incarnation)>, now: Time) {
        if self.owner == owner {
            return;
        }
        self.owner = owner;
        self.term += 1;
        self.owner_since = now;
        self.last_grant = 0;
        self.reported_grant = 0;
        self.last_report = None;
        self.acked_report = 0;
        self.last_demands = None;
        self.unacked_since = None;
    }

    /// Returns whether the owner has not answered for `OWNER_TIMEOUT`.
    ///
    /// A router that is cut off from an owner that it still believes to be live would wait for
    /// slots forever. It uses its static share instead.
    pub(crate) fn owner_unreachable(&self, now: Time) -> bool {
        let since = match self.owner {
            None => Some(self.owner_since),
            Some(_) => self.unacked_since,
        };
        since.is_some_and(|t| now.since(t) >= OWNER_TIMEOUT)
    }

    /// Applies a grant; returns whether it is new.
    pub(crate) fn apply_grant(
        &mut self,
        from: &RouterId,
        inc: Incarnation,
        g: &SlotGrant,
        replicas: &mut ServiceReplicas,
        now: Time,
    ) -> bool {
        let from_owner = self.owner.as_ref() == Some(&(from.clone(), inc));
        if !from_owner || g.term != self.term {
            return false;
        }
        if g.seq == 0 {
            self.acked_report = 0;
            self.last_report = None;
            return false;
        }
        if g.seq < self.last_grant {
            return false;
        }
        if g.seen > self.acked_report {
            self.acked_report = g.seen;
            self.unanswered = 0;
            self.unacked_since = (self.acked_report < self.seq).then_some(now);
        }
        self.capacity = g.capacity;
        self.sharers = g.sharers;
        self.limits.extend(g.limits.iter().copied());
        if g.seq == self.last_grant {
            // The owner resends the grant, so the report that acknowledged it was lost.
            if g.base < g.seq {
                self.reported_grant = 0;
            }
            return false;
        }
        if self.last_grant < g.base {
            return false;
        }
        self.last_grant = g.seq;
        self.contended = g.contended;
        self.return_pending |= replicas.set_allowed(&g.slots, g.base == 0);
        true
    }

    /// Returns the virtual times of a grant, without this router's own charges.
    pub(crate) fn granted_virtual_times(
        &self,
        from: &RouterId,
        inc: Incarnation,
        g: &SlotGrant,
    ) -> Vec<(Key, i64)> {
        let from_owner = self.owner.as_ref() == Some(&(from.clone(), inc));
        let reported = self.reported_keys.iter().find(|(seq, _)| *seq == g.seen);
        match reported {
            Some((_, keys)) if from_owner && g.term == self.term => {
                let virtual_times = g.virtual_times.iter().copied();
                keys.iter().copied().zip(virtual_times).collect()
            }
            _ => Vec::new(),
        }
    }

    /// Releases idle slots under contention if nothing is queued here, or on shutdown.
    pub(crate) fn release_unused(
        &mut self,
        queues: &BTreeMap<Key, Queue>,
        replicas: &mut ServiceReplicas,
        leaving: bool,
    ) {
        let has_backlog = queues.values().any(|q| !q.is_empty());
        let unused = self.contended && self.last_grant > 0 && !has_backlog;
        if unused || leaving {
            self.return_pending |= replicas.release_idle();
        }
    }

    /// Releases idle slots on replicas that can serve none of the queued requests.
    ///
    /// Such a slot would count against the demand and stay idle: after one replica has failed a
    /// request, its retry would wait until its deadline in an idle fleet. The owner learns of
    /// these replicas with the released slots, and grants slots on others.
    pub(crate) fn release_avoided(
        &mut self,
        replicas: &mut ServiceReplicas,
        avoided: &[ReplicaKey],
        now: Time,
    ) {
        if self.last_grant > 0 && !self.owner_unreachable(now) {
            self.return_pending |= replicas.release_idle_on(avoided);
        }
    }

    /// Returns the report that is due, if any, without replica performance.
    ///
    /// It is `local` if this router owns the pool, and then costs no message.
    pub(crate) fn report(
        &mut self,
        service: ServiceKey,
        queues: &BTreeMap<Key, Queue>,
        replicas: &mut ServiceReplicas,
        avoided: Vec<ReplicaKey>,
        local: bool,
        now: Time,
    ) -> Option<Report> {
        let too_soon = |(at, _): &(Time, ReportBody)| now.since(*at) < URGENT_INTERVAL;
        if !local && self.last_report.as_ref().is_some_and(too_soon) {
            self.report_delayed = true;
            return None;
        }
        let body = ReportBody::of(queues, replicas, avoided);
        if !self.preferred && self.seq == 0 && body.is_empty() {
            return None;
        }
        let loads = body.running > 0 && self.loads_due(replicas.all.len(), now);
        if !self.report_due(&body, local, now) && !loads {
            return None;
        }
        self.seq += 1;
        self.unanswered += 1;
        self.report_delayed = false;
        self.return_pending = false;
        self.reported_grant = self.last_grant;
        self.unacked_since.get_or_insert(now);
        let kept = replicas.report_changes(self.seq, self.acked_report);
        let with_demands = self.demands_due(&body, now);
        if with_demands {
            self.last_demands = Some((self.seq, now, body.demands.clone()));
        }
        self.urgent_budget
            .spend(body.size(kept.len(), with_demands));
        let limits = match self.last_grant {
            0 => self.limits.iter().map(|(k, n)| (*k, *n)).collect(),
            _ => Vec::new(),
        };
        let reported = self.last_demands.iter().flat_map(|w| &w.2);
        let keys = reported.map(|w| w.key).collect();
        self.reported_keys.push_back((self.seq, keys));
        if self.reported_keys.len() > REPORTED_KEYS_LIMIT {
            self.reported_keys.pop_front();
        }
        self.last_report = Some((
            now,
            ReportBody {
                changed: false,
                ..body.clone()
            },
        ));
        Some(Report {
            service,
            term: self.term,
            seq: self.seq,
            seen: self.last_grant,
            base: self.acked_report,
            kept,
            running: body.running,
            demands: with_demands.then_some(body.demands),
            avoided: body.avoided,
            limits,
            loads: None,
        })
    }

    /// Returns whether the report should list the backlogged workspaces.
    fn demands_due(&self, body: &ReportBody, now: Time) -> bool {
        let Some((seq, at, reported)) = &self.last_demands else {
            return true;
        };
        let much_changed =
            body.queued() >= 2 * queued(reported) || 2 * body.queued() <= queued(reported);
        if much_changed || *seq > self.acked_report || now.since(*at) >= self.interval(body) {
            return true;
        }
        // With many backlogged workspaces, some begin or end all the time. Until the next list
        // this router serves them from the slots that it has.
        let keys = body.demands.iter().map(|w| w.key);
        !self.contended || reported.is_empty() && !keys.eq(reported.iter().map(|w| w.key))
    }

    /// Returns whether replica performance should be reported.
    pub(crate) fn loads_due(&self, replicas: usize, now: Time) -> bool {
        let interval = LOADS_INTERVAL.max(Span(LOADS_INTERVAL_PER_REPLICA.0 * replicas as u64));
        self.loads_sent_at.is_none_or(|t| now.since(t) >= interval)
    }

    /// Records that replica performance was reported.
    pub(crate) fn record_loads_sent(&mut self, now: Time) {
        self.loads_sent_at = Some(now);
    }

    fn report_due(&mut self, body: &ReportBody, local: bool, now: Time) -> bool {
        let sharers = self.sharers.max(1) as f64;
        self.urgent_budget.refill(
            OWNER_URGENT_BYTES_PER_SEC / sharers,
            URGENT_BURST_BYTES,
            now,
        );
        let Some((at, last)) = &self.last_report else {
            return true;
        };
        let passed = now.since(*at);
        if local {
            return body != last || self.reported_grant != self.last_grant || self.return_pending;
        }
        let urgent = self.return_pending || body.is_urgent(last, self.contended);
        self.report_delayed = urgent;
        let answered = self.unanswered < UNANSWERED_LIMIT;
        let interval = if urgent && answered && self.urgent_budget.has_bytes() {
            URGENT_INTERVAL
        } else if body == last && self.reported_grant == self.last_grant {
            match self.acked_report < self.seq {
                true => Span(RESEND_TIMEOUT.0 << self.unanswered.min(RESEND_DOUBLINGS)),
                false => return false,
            }
        } else {
            self.interval(body)
        };
        passed >= interval
    }

    /// Returns the interval between two reports without urgency.
    ///
    /// It increases with their size and with the number of routers that report, which bounds the
    /// bytes that an owner receives.
    fn interval(&self, body: &ReportBody) -> Span {
        let total_bytes = body.size(0, true) as u64 * u64::from(self.sharers);
        let paced = Span::millis(total_bytes * 1000 / OWNER_REPORT_BYTES_PER_SEC);
        if self.contended || !body.demands.is_empty() {
            paced.max(BACKLOG_INTERVAL)
        } else {
            paced.max(IDLE_INTERVAL)
        }
    }
}
