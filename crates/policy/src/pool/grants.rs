//! Grants that the owner of a pool sends to a router.

use {
    super::{
        GrantedSlots,
        Grantee,
        OwnedSlots, //
    },
    crate::{
        dispatch::{
            ServiceKey,
            SlotGrant,
            WorkspaceDemand, //
        },
        service::ReplicaKey,
        Span,
        Time, //
    },
};

/// Minimum interval between two lists of limits to one router.
const LIMITS_INTERVAL: Span = Span::secs(2);
/// Minimum interval between two grants to one router.
const MIN_GRANT_INTERVAL: Span = Span::millis(10);
/// An unacknowledged grant is resent after this time.
const RESEND_TIMEOUT: Span = Span::millis(500);
/// A report is acknowledged within this time.
const ACK_INTERVAL: Span = Span::millis(190);

/// The fields that all grants of a pool have in common.
#[derive(Debug)]
pub(crate) struct GrantHeader {
    pub(crate) service: ServiceKey,
    pub(crate) contended: bool,
    pub(crate) capacity: u32,
    pub(crate) sharers: u32,
}

impl GrantHeader {
    /// Creates a grant that asks a router to report all slots that it keeps.
    pub(crate) fn request_full_report(&self, term: u32) -> SlotGrant {
        SlotGrant {
            service: self.service,
            term,
            seq: 0,
            base: 0,
            seen: 0,
            contended: self.contended,
            capacity: self.capacity,
            sharers: self.sharers,
            slots: Vec::new(),
            virtual_times: Vec::new(),
            limits: Vec::new(),
        }
    }
}

impl Grantee {
    /// Returns the grant that is due, if any: the slots that changed since the last grant that the
    /// router has acknowledged.
    pub(crate) fn due_grant(
        &mut self,
        header: &GrantHeader,
        owned_slots: &[OwnedSlots],
        virtual_time: impl Fn(&WorkspaceDemand) -> i64,
        may_send: bool,
        now: Time,
    ) -> Option<SlotGrant> {
        let passed = self.last_sent.map_or(RESEND_TIMEOUT, |t| now.since(t));
        let resend = self.seen_grant < self.last_grant && passed >= RESEND_TIMEOUT;
        let ack = self.acked_report < self.last_report && passed >= ACK_INTERVAL;
        let first = self.last_grant == 0;
        let update = first || self.changed && may_send;
        if !(update || resend || ack) {
            return None;
        }
        if self.changed || first {
            self.last_grant += 1;
        }
        let mut virtual_times = Vec::new();
        if self
            .virtual_times_sent
            .is_none_or(|t| now.since(t) >= ACK_INTERVAL)
        {
            self.virtual_times_sent = Some(now);
            virtual_times = self.demands.iter().map(virtual_time).collect();
        }
        self.changed = false;
        self.last_sent = Some(now);
        self.acked_report = self.last_report;
        let base = self.seen_grant;
        let is_changed = |entry: &GrantedSlots| match base {
            0 => entry.granted > 0,
            _ => entry.changed_in > base,
        };
        let pairs = owned_slots.iter().zip(&self.granted_slots);
        Some(SlotGrant {
            service: header.service,
            term: self.term,
            seq: self.last_grant,
            base,
            seen: self.last_report,
            contended: header.contended,
            capacity: header.capacity,
            sharers: header.sharers,
            slots: pairs
                .filter(|(_, entry)| is_changed(entry))
                .map(|(owned, entry)| (owned.key, entry.granted))
                .collect(),
            virtual_times,
            limits: Vec::new(),
        })
    }

    /// Returns the changed limits that are due, for the successor of the owner.
    pub(crate) fn due_limits(
        &mut self,
        owned_slots: &[OwnedSlots],
        now: Time,
    ) -> Vec<(ReplicaKey, u32)> {
        let (at, sent) = &mut self.sent_limits;
        if at.is_some_and(|t| now.since(t) < LIMITS_INTERVAL) {
            return Vec::new();
        }
        *at = Some(now);
        let mut out = Vec::new();
        for owned in owned_slots {
            let limit = owned.limit();
            if sent.insert(owned.key, limit) != Some(limit) {
                out.push((owned.key, limit));
            }
        }
        out
    }

    /// Returns whether the last message to it is long enough ago.
    pub(crate) fn can_send(&self, now: Time) -> bool {
        self.last_sent
            .is_none_or(|t| now.since(t) >= MIN_GRANT_INTERVAL)
    }
}
