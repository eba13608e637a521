//! Records what replicas announce in the heads of their answers.

use {
    super::permit::SlotPermit,
    crate::{
        http::Head,
        model::Notice,
        state::Shared, //
    },
};

impl SlotPermit {
    /// Records what the head of an answer on the permit's connection announces.
    ///
    /// Called for every head, also if the answer is rejected, belongs to another request, or
    /// arrives for an attempt that is abandoned afterwards.
    pub(super) fn record_head(&self, gw: &Shared, head: &Head) {
        // Another replica may have the address now, and the answer is that one's.
        if head.status() == 421 {
            return;
        }
        let notice = (gw.dialect.parse_notice)(head.status(), &head.headers);
        if notice != Notice::default() {
            log_notice(self, &notice);
        }
    }
}

fn log_notice(permit: &SlotPermit, notice: &Notice) {
    let replica = &permit.replica.id;
    if notice.leaving {
        count("leaving");
        log::info!("event=notice outcome=leaving replica={replica}");
    }
    if let Some(time) = notice.retry_after {
        count("retry-after");
        let ms = time.as_millis();
        log::info!("event=notice outcome=retry-after replica={replica} ms={ms}");
    }
    if let Some(text) = &notice.invalid_time {
        count("invalid-time");
        log::warn!("event=notice outcome=invalid-time replica={replica} value={text:?}");
    }
}

fn count(kind: &'static str) {
    metrics::counter!("chervilwind_replica_notices", "kind" => kind).increment(1);
}
