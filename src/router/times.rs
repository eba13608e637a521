//! How long requests run, as seen here.

use {
    policy::{
        ProfileName,
        ServiceId,
        Span,
        Time, //
    },
    std::collections::HashMap,
};

/// How long a mean is believed after the last request that it was taken from.
const BELIEVED: Span = Span::secs(10);
/// Weight of the newest request in the running mean.
const NEWEST: f64 = 0.1;

/// Running means of how long requests ran, by service and profile.
#[derive(Debug, Default)]
pub(crate) struct Times {
    mean: HashMap<(ServiceId, ProfileName), Mean>,
}

#[derive(Debug)]
struct Mean {
    micros: f64,
    noted: Time,
}

impl Times {
    pub(crate) fn note(
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
            noted: now,
        });
        if now.since(mean.noted) > BELIEVED {
            mean.micros = ran;
        }
        mean.micros += NEWEST * (ran - mean.micros);
        mean.noted = now;
    }

    /// Returns the mean, or zero where nothing is known of late.
    ///
    /// A request whose deadline is below the mean is refused as late. If none gets through,
    /// no shorter run is ever seen, and the refusals would go on for ever after a few slow
    /// minutes of the endpoints. So a mean that nothing renews is forgotten.
    pub(crate) fn expect(&self, service: &ServiceId, profile: &ProfileName, now: Time) -> Span {
        let key = (service.clone(), profile.clone());
        let mean = self.mean.get(&key);
        let known = mean.filter(|m| now.since(m.noted) <= BELIEVED);
        known.map_or(Span::ZERO, |m| Span(m.micros as u64))
    }
}

#[cfg(test)]
mod tests;
