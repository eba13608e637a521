//! Applies what replicas announce in the heads of their answers.

use {
    super::permit::SlotPermit,
    crate::{
        http::Head,
        state::Shared, //
    },
    policy::Span,
    std::time::Duration,
};

impl SlotPermit {
    /// Applies what the head of an answer on the permit's connection announces.
    ///
    /// Called for every head, also if the answer is rejected, belongs to another request, or
    /// arrives for an attempt that is abandoned afterwards.
    pub(super) fn apply_head(&self, gw: &Shared, head: &Head) {
        // Another replica may have the address now, and the answer is that one's.
        if head.status() == 421 {
            return;
        }
        let notice = (gw.dialect.parse_notice)(head.status(), &head.headers);
        if notice.leaving {
            count("leaving");
            self.apply_leaving(gw);
        }
        if let Some(time) = notice.retry_after {
            count("retry-after");
            self.start_cooldown(gw, time);
        }
        if let Some(text) = &notice.invalid_time {
            count("invalid-time");
            let replica = &self.replica.id;
            log::warn!("event=notice outcome=invalid-time replica={replica} value={text:?}");
        }
    }

    /// Records an answer to the permit's own request, which may end a cooldown of the replica.
    pub(super) fn record_own_answer(&self, gw: &Shared, status: u16) {
        let (key, sent_at) = (self.key(), self.sent_at());
        if status != 421 && gw.tables().cooldowns.record_answered(key, sent_at) {
            let replica = &self.replica.id;
            log::info!("event=cooldown outcome=ended replica={replica}");
        }
    }

    fn apply_leaving(&self, gw: &Shared) {
        let now = gw.now();
        if !gw.tables().roster.announce_leaving(self.key(), now) {
            return;
        }
        let replica = &self.replica.id;
        gw.pool.forget(replica);
        log::info!("event=replica outcome=leaving replica={replica} from=answer");
    }

    fn start_cooldown(&self, gw: &Shared, time: Duration) {
        let now = gw.now();
        let started = gw
            .tables()
            .cooldowns
            .start(self.key(), Span::from(time), now);
        if let Some(span) = started {
            log::info!(
                "event=cooldown outcome=begun replica={} asked-ms={} ms={}",
                self.replica.id,
                time.as_millis(),
                span.as_millis()
            );
        }
    }
}

fn count(kind: &'static str) {
    metrics::counter!("chervilwind_replica_notices", "kind" => kind).increment(1);
}
