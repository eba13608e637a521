//! How long requests run, as seen here.

use {
    policy::{
        ProfileName,
        ServiceId,
        Span, //
    },
    std::collections::HashMap,
};

/// Weight of the newest request in the running mean.
const NEWEST: f64 = 0.1;

/// Running means of how long requests ran, by service and profile.
#[derive(Debug, Default)]
pub(crate) struct Times {
    mean: HashMap<(ServiceId, ProfileName), f64>,
}

impl Times {
    pub(crate) fn note(&mut self, service: &ServiceId, profile: &ProfileName, ran: Span) {
        let key = (service.clone(), profile.clone());
        let mean = self.mean.entry(key).or_insert(ran.0 as f64);
        *mean += NEWEST * (ran.0 as f64 - *mean);
    }

    /// Returns the mean, or zero where nothing is known.
    pub(crate) fn expect(&self, service: &ServiceId, profile: &ProfileName) -> Span {
        let key = (service.clone(), profile.clone());
        self.mean.get(&key).map_or(Span::ZERO, |m| Span(*m as u64))
    }
}
