//! Reports connections of clients that were evicted.

use {
    crate::state::Shared,
    resources::{
        Evicted,
        UsageStats, //
    },
};

/// Counts the connections that were evicted since the last time, and logs them in one line.
pub(crate) fn report_evictions(gw: &Shared, last: &mut UsageStats) {
    let stats = gw.limiter.stats();
    let memory = stats.evicted_memory - last.evicted_memory;
    let place = stats.evicted_place - last.evicted_place;
    *last = stats;
    if memory + place == 0 {
        return;
    }
    for (evicted, count) in [(Evicted::Memory, memory), (Evicted::Place, place)] {
        metrics::counter!("chervilwind_evictions", "cause" => evicted.cause()).increment(count);
    }
    let UsageStats {
        held,
        receiving,
        connections,
        ..
    } = stats;
    log::warn!(
        "event=evict memory={memory} place={place} held={held} receiving={receiving} \
         connections={connections}"
    );
}
