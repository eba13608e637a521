//! Replicas that asked this router for a pause, by a rejection with a time to wait.

use {
    super::{
        ReplicaKey,
        ReplicaMap, //
    },
    crate::{
        Span,
        Time, //
    },
};

/// Longest cooldown. A replica that asks for more, perhaps by mistake, is tried once in this time.
const COOLDOWN_MAX: Span = Span::secs(300);
/// How long a cooldown that is over is remembered, so that the first request after it is one probe.
const RETENTION: Span = Span::secs(60);
/// Callers that are rejected during a cooldown are told to return within this fraction of it after
/// its end, so that they don't all return at once.
const RETURN_FRACTION: f64 = 0.25;
/// Limits of that time.
const RETURN_SPREAD_MIN: Span = Span::millis(200);
const RETURN_SPREAD_MAX: Span = Span::secs(2);

/// The cooldowns of replicas. After its cooldown a replica gets one probe request at a time, until
/// it answers one without asking for a pause again.
///
/// # Examples
///
/// ```
/// use policy::{placement::{Cooldowns, ReplicaKey}, Span, Time};
///
/// let key = ReplicaKey::of(&"i-1".parse()?);
/// let mut cooldowns = Cooldowns::default();
/// cooldowns.start(key, Span::secs(3), Time(0));
/// assert!(!cooldowns.is_available(key, Time(0) + Span::secs(2)));
/// assert!(cooldowns.is_available(key, Time(0) + Span::secs(3)));
/// # Ok::<(), policy::IdError>(())
/// ```
#[derive(Debug, Clone, Default)]
pub struct Cooldowns {
    replicas: ReplicaMap<Cooldown>,
}

#[derive(Debug, Clone, Copy)]
struct Cooldown {
    until: Time,
    /// When the probe request was sent, while it has no result.
    probe: Option<Time>,
}

impl Cooldowns {
    /// Records that a replica asked for a pause. Of several, the one that ends last counts. Returns
    /// the length of the cooldown if the replica was in none.
    pub fn start(&mut self, key: ReplicaKey, pause: Span, now: Time) -> Option<Span> {
        if pause == Span::ZERO {
            return None;
        }
        let pause = pause.min(COOLDOWN_MAX);
        let before = self.replicas.get(&key).map(|c| c.until);
        let until = before.map_or(now + pause, |until| until.max(now + pause));
        self.replicas.insert(key, Cooldown { until, probe: None });
        before.is_none_or(|until| until <= now).then_some(pause)
    }

    /// Returns how much longer a replica wants no requests.
    pub fn remaining(&self, key: ReplicaKey, now: Time) -> Option<Span> {
        let until = self.replicas.get(&key)?.until;
        (now < until).then(|| until.since(now))
    }

    /// Returns whether a replica may get a request.
    pub fn is_available(&self, key: ReplicaKey, now: Time) -> bool {
        let cooldown = self.replicas.get(&key);
        cooldown.is_none_or(|c| now >= c.until && c.probe.is_none())
    }

    /// Records that a request is sent to a replica.
    pub fn record_sent(&mut self, key: ReplicaKey, now: Time) {
        if let Some(cooldown) = self.replicas.get_mut(&key) {
            cooldown.probe.get_or_insert(now);
        }
    }

    /// Records that a replica answered a request without asking for a pause. Returns whether that
    /// ends its cooldown: requests that were sent before the end of the pause say nothing.
    pub fn record_answered(&mut self, key: ReplicaKey, sent_at: Time) -> bool {
        let ends = |c: &Cooldown| sent_at >= c.until;
        let ended = self.replicas.get(&key).is_some_and(ends);
        if ended {
            self.replicas.remove(&key);
        }
        ended
    }

    /// Records the end of a request, with or without an answer. If it was the probe, the next
    /// request is one.
    pub fn record_ended(&mut self, key: ReplicaKey, sent_at: Time) {
        if let Some(cooldown) = self.replicas.get_mut(&key) {
            cooldown.probe.take_if(|at| *at == sent_at);
        }
    }

    /// Returns how many replicas want no requests.
    pub fn count(&self, now: Time) -> usize {
        let cooldowns = self.replicas.values();
        cooldowns.filter(|c| now < c.until).count()
    }

    /// Drops cooldowns that ended long ago.
    pub fn forget(&mut self, now: Time) {
        self.replicas.retain(|_, c| now < c.until + RETENTION);
    }
}

/// Returns when a caller should retry if all replicas are in a cooldown, of which the first ends in
/// `remaining`. `roll` is a random number from 0 to 1.
pub fn retry_after_cooldown(remaining: Span, roll: f64) -> Span {
    let spread = remaining * RETURN_FRACTION;
    let spread = spread.clamp(RETURN_SPREAD_MIN, RETURN_SPREAD_MAX);
    remaining + spread * roll
}
