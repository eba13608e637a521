//! Which address a caller should use.

use {
    super::state::{
        lock,
        Router, //
    },
    callers::{
        Address,
        Refused,
        Response,
        Where,
        WhereQuery,
        Why, //
    },
    policy::{
        members::{
            Member,
            State, //
        },
        Slots, //
    },
    std::collections::HashMap,
};

/// How long a caller may keep the answer, in milliseconds. A graceful end waits for it.
pub(crate) const KEEP_MS: u64 = 5_000;
/// How long tickets may be kept by their caller, in milliseconds: half of their life, so
/// that a request still finds its ticket valid after it queued.
const TICKET_MS: u64 = 60_000;
/// Most addresses in one answer. Each answer draws its own, so that callers of a large fleet
/// spread over all of it without a list of all of it.
const MOST: usize = 16;
/// Part of its weight that a router in another zone than the caller keeps.
const FAR: f64 = 0.5;

impl Router {
    /// Answers which addresses to use for a service, the best first.
    pub(crate) fn where_to(&self, query: &WhereQuery) -> Response {
        if let Err(refused) = self.ready() {
            return refused.into();
        }
        if let Err(e) = self.fleet().service(query.service.as_str()) {
            return Refused::new(Why::UnknownService, e.to_string()).into();
        }
        let mut addresses = self.ranked(query);
        // Nobody else may be left to name, as when all are told to end at once.
        if addresses.is_empty() {
            addresses.push(self.own_address());
        }
        let tickets = if self.is_leaving() { 0 } else { query.tickets };
        let now = self.now();
        let issued = lock(&self.tickets).issue(tickets, now);
        let answer = Where {
            addresses,
            keep_ms: KEEP_MS,
            tickets: issued.iter().map(ToString::to_string).collect(),
            ticket_ms: TICKET_MS,
        };
        (&answer).into()
    }

    fn ranked(&self, query: &WhereQuery) -> Vec<Address> {
        let view = lock(&self.members).view();
        let slots = self.slots(query);
        let total: u32 = slots.values().sum();
        let floor = f64::from(total) / (8.0 * view.len().max(1) as f64);
        let mut addresses: Vec<Address> = view
            .iter()
            .filter(|m| m.takes_work() && m.state == State::Live || self.is_me_and_stays(m))
            .map(|m| {
                let owned = slots.get(m.id.as_str()).copied().unwrap_or_default();
                let near = query.zone.as_ref().is_none_or(|z| *z == m.zone);
                let weight = f64::from(owned).max(floor).max(1.0);
                Address {
                    router: m.id.clone(),
                    address: m.caller_addr,
                    zone: m.zone.clone(),
                    weight: if near { weight } else { weight * FAR },
                }
            })
            .collect();
        // Callers that all went to the first would meet there; each answer draws its own
        // order, in proportion to the weights.
        for a in &mut addresses {
            a.weight = (a.weight * 100.0).round() / 100.0;
        }
        let mut keyed: Vec<(f64, Address)> = addresses
            .into_iter()
            .map(|a| (-fastrand::f64().max(1e-9).ln() / a.weight, a))
            .collect();
        keyed.sort_by(|a, b| a.0.total_cmp(&b.0));
        keyed.into_iter().map(|(_, a)| a).take(MOST).collect()
    }

    fn slots(&self, query: &WhereQuery) -> HashMap<String, u32> {
        let owners = lock(&self.dispatch).preferred_routers(&query.service);
        let mut slots: HashMap<String, u32> = HashMap::new();
        for o in owners {
            let Slots(n) = o.slots;
            *slots.entry(o.router.as_str().to_owned()).or_default() += n;
        }
        slots
    }

    fn is_me_and_stays(&self, m: &Member) -> bool {
        m.id == self.me.router && !self.is_leaving()
    }

    fn own_address(&self) -> Address {
        Address {
            router: self.me.router.clone(),
            address: self.settings.callers.advertise,
            zone: self.settings.zone.clone(),
            weight: 1.0,
        }
    }
}
