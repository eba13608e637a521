//! What the client keeps: address answers and unused tickets.

use {
    crate::AddressList,
    policy::ServiceId,
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{
            Mutex,
            MutexGuard,
            PoisonError, //
        },
        time::{
            Duration,
            Instant, //
        },
    },
};

#[derive(Debug, Default)]
pub(crate) struct Known {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    answers: HashMap<ServiceId, (AddressList, Instant)>,
    tickets: HashMap<(ServiceId, SocketAddr), Vec<Ticket>>,
}

#[derive(Debug)]
struct Ticket {
    text: String,
    until: Instant,
}

impl Known {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the kept answer, unless it is too old.
    pub(crate) fn answer(&self, service: &ServiceId) -> Option<AddressList> {
        let inner = self.lock();
        let (answer, until) = inner.answers.get(service)?;
        (Instant::now() < *until).then(|| answer.clone())
    }

    /// Returns the addresses of the last answer, however old.
    pub(crate) fn stale(&self, service: &ServiceId) -> Vec<SocketAddr> {
        let inner = self.lock();
        let known = inner.answers.get(service);
        known.map_or_else(Vec::new, |(answer, _)| {
            answer.addresses.iter().map(|a| a.address).collect()
        })
    }

    pub(crate) fn keep(&self, service: &ServiceId, answer: &AddressList) {
        let until = Instant::now() + answer.keep();
        let kept = (answer.clone(), until);
        self.lock().answers.insert(service.clone(), kept);
    }

    /// Forgets the answer, so that the next call asks again.
    pub(crate) fn forget(&self, service: &ServiceId) {
        if let Some((_, until)) = self.lock().answers.get_mut(service) {
            *until = Instant::now();
        }
    }

    pub(crate) fn ticket(&self, service: &ServiceId, router: SocketAddr) -> Option<String> {
        let mut inner = self.lock();
        let kept = inner.tickets.get_mut(&(service.clone(), router))?;
        let now = Instant::now();
        kept.retain(|t| now < t.until);
        kept.pop().map(|t| t.text)
    }

    /// Forgets the tickets that a router gave.
    pub(crate) fn drop_tickets(&self, service: &ServiceId, router: SocketAddr) {
        self.lock().tickets.remove(&(service.clone(), router));
    }

    pub(crate) fn keep_tickets(
        &self,
        service: &ServiceId,
        router: SocketAddr,
        answer: &AddressList,
    ) {
        // Given up a little early, for the time that the answer took to come.
        let keep = Duration::from_millis(answer.ticket_ms) * 9 / 10;
        let until = Instant::now() + keep;
        let new = answer.tickets.iter().rev().map(|text| Ticket {
            text: text.clone(),
            until,
        });
        let key = (service.clone(), router);
        self.lock().tickets.entry(key).or_default().extend(new);
    }
}
