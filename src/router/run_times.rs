//! Estimates of how long requests run, from those at this router.

use {
    policy::{
        ProfileName,
        ServiceId,
        Span,
        Time, //
    },
    std::collections::HashMap,
};

/// How long a mean is valid after its last sample.
const MEAN_TTL: Span = Span::secs(10);
/// Weight of the newest request in the running mean.
const NEWEST_WEIGHT: f64 = 0.1;

/// Running means of how long requests ran, by service and profile.
#[derive(Debug, Default)]
pub(crate) struct RunTimes {
    mean: HashMap<(ServiceId, ProfileName), Mean>,
}

#[derive(Debug)]
struct Mean {
    micros: f64,
    updated: Time,
}

impl RunTimes {
    pub(crate) fn record(
        &mut self,
        service: &ServiceId,
        profile: &ProfileName,
        ran: Span,
        now: Time,
    ) {
        let key = (service.clone(), profile.clone());
        let ran = ran.0 as f64;
        let mean = self.mean.entry(key).or_insert(Mean {
            micros: ran,
            updated: now,
        });
        if now.since(mean.updated) > MEAN_TTL {
            mean.micros = ran;
        }
        mean.micros += NEWEST_WEIGHT * (ran - mean.micros);
        mean.updated = now;
    }

    /// Returns the mean, or zero if there is no recent sample.
    ///
    /// A request whose deadline is below the mean is rejected as late, and so gives no sample.
    /// Means therefore expire: after a few slow minutes of the endpoints, the rejections would
    /// otherwise go on forever.
    pub(crate) fn estimate(&self, service: &ServiceId, profile: &ProfileName, now: Time) -> Span {
        let key = (service.clone(), profile.clone());
        let mean = self.mean.get(&key);
        let known = mean.filter(|m| now.since(m.updated) <= MEAN_TTL);
        known.map_or(Span::ZERO, |m| Span(m.micros as u64))
    }
}

#[cfg(test)]
mod tests;
