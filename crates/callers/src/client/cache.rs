//! The client's cache of address lists and unused tickets.

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
pub(crate) struct Cache {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    lists: HashMap<ServiceId, (AddressList, Instant)>,
    tickets: HashMap<(ServiceId, SocketAddr), Vec<Ticket>>,
}

#[derive(Debug)]
struct Ticket {
    text: String,
    expires_at: Instant,
}

impl Cache {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the cached address list unless it has expired.
    pub(crate) fn addresses(&self, service: &ServiceId) -> Option<AddressList> {
        let inner = self.lock();
        let (list, expires_at) = inner.lists.get(service)?;
        (Instant::now() < *expires_at).then(|| list.clone())
    }

    /// Returns the addresses of the last list, expired or not.
    pub(crate) fn last_addresses(&self, service: &ServiceId) -> Vec<SocketAddr> {
        let inner = self.lock();
        let cached = inner.lists.get(service);
        cached.map_or_else(Vec::new, |(list, _)| {
            list.addresses.iter().map(|a| a.address).collect()
        })
    }

    pub(crate) fn store_addresses(&self, service: &ServiceId, list: &AddressList) {
        let expires_at = Instant::now() + list.keep();
        let entry = (list.clone(), expires_at);
        self.lock().lists.insert(service.clone(), entry);
    }

    /// Marks the address list as expired, so that the next call fetches a new one.
    pub(crate) fn expire_addresses(&self, service: &ServiceId) {
        if let Some((_, expires_at)) = self.lock().lists.get_mut(service) {
            *expires_at = Instant::now();
        }
    }

    pub(crate) fn take_ticket(&self, service: &ServiceId, router: SocketAddr) -> Option<String> {
        let mut inner = self.lock();
        let unused = inner.tickets.get_mut(&(service.clone(), router))?;
        let now = Instant::now();
        unused.retain(|t| now < t.expires_at);
        unused.pop().map(|t| t.text)
    }

    /// Removes the tickets issued by a router.
    pub(crate) fn drop_tickets(&self, service: &ServiceId, router: SocketAddr) {
        self.lock().tickets.remove(&(service.clone(), router));
    }

    pub(crate) fn store_tickets(
        &self,
        service: &ServiceId,
        router: SocketAddr,
        list: &AddressList,
    ) {
        // Expires earlier than at the router, to allow for the time that the response took.
        let keep = Duration::from_millis(list.ticket_ms) * 9 / 10;
        let expires_at = Instant::now() + keep;
        let new = list.tickets.iter().rev().map(|text| Ticket {
            text: text.clone(),
            expires_at,
        });
        let key = (service.clone(), router);
        self.lock().tickets.entry(key).or_default().extend(new);
    }
}
