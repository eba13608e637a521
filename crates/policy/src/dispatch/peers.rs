//! The routers that exchange usage updates about a service.

use {
    crate::{
        RouterId,
        Span,
        Time, //
    },
    std::collections::BTreeMap,
};

/// A peer that has sent nothing about a service for this time gets no more updates about it.
const SILENCE_TIMEOUT: Span = Span::secs(60);

/// The peers of a service: its preferred routers, to which callers are directed, and any
/// other router that has sent a message about it.
#[derive(Debug, Default)]
pub(crate) struct ServicePeers {
    all: BTreeMap<RouterId, ServicePeer>,
}

/// First and maximum interval before the same revision is sent again, and the number of times
/// that the interval doubles.
const RESEND_RANGE: (Span, Span) = (Span::millis(400), Span::secs(30));
const RESEND_DOUBLINGS: u32 = 8;

#[derive(Debug, Default)]
struct ServicePeer {
    preferred: bool,
    last_received: Option<Time>,
    /// When the last update was sent, its revision, and the consecutive repeats of that revision.
    last_sent: Option<(Time, u64, u32)>,
}

impl ServicePeers {
    pub(crate) fn set_preferred(&mut self, routers: impl Iterator<Item = RouterId>) {
        for peer in self.all.values_mut() {
            peer.preferred = false;
        }
        for id in routers {
            self.all.entry(id).or_default().preferred = true;
        }
    }

    pub(crate) fn ids(&self) -> impl Iterator<Item = &RouterId> {
        self.all.keys()
    }

    /// Returns when a router was last sent an update.
    pub(crate) fn last_sent(&self, id: &RouterId) -> Option<Time> {
        self.all.get(id)?.last_sent.map(|t| t.0)
    }

    /// Returns whether a router may be sent an update of revision `rev`.
    ///
    /// The same revision is resent to a router that doesn't answer at increasing intervals.
    pub(crate) fn is_due(&self, id: &RouterId, rev: u64, interval: Span, now: Time) -> bool {
        let Some(peer) = self.all.get(id) else {
            return false;
        };
        let Some((at, revision, attempts)) = peer.last_sent else {
            return true;
        };
        let resend = Span(RESEND_RANGE.0 .0 << attempts.min(RESEND_DOUBLINGS)).min(RESEND_RANGE.1);
        let wait = if revision == rev {
            resend.max(interval)
        } else {
            interval
        };
        now.since(at) >= wait
    }

    /// Records that revision `rev` was sent to a router.
    pub(crate) fn record_sent(&mut self, id: &RouterId, rev: u64, now: Time) {
        if let Some(peer) = self.all.get_mut(id) {
            let attempts = match peer.last_sent {
                Some((_, revision, attempts)) if revision == rev => attempts + 1,
                _ => 0,
            };
            peer.last_sent = Some((now, rev, attempts));
        }
    }

    /// Records a message from a router about the service.
    pub(crate) fn record_received(&mut self, id: &RouterId, now: Time) {
        match self.all.get_mut(id) {
            Some(peer) => {
                peer.last_received = Some(now);
                if let Some(sent) = &mut peer.last_sent {
                    sent.2 = 0;
                }
            }
            None => {
                let last_received = Some(now);
                let peer = ServicePeer {
                    last_received,
                    ..ServicePeer::default()
                };
                self.all.insert(id.clone(), peer);
            }
        }
    }

    /// Removes routers that are not preferred and were silent for `SILENCE_TIMEOUT`.
    pub(crate) fn forget_silent(&mut self, now: Time) {
        let recent = |m: &ServicePeer| {
            m.last_received
                .is_some_and(|t| now.since(t) < SILENCE_TIMEOUT)
        };
        self.all.retain(|_, m| m.preferred || recent(m));
    }
}
