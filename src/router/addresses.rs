//! Answers to callers that ask which router addresses to use.

use {
    super::state::{
        lock,
        Router, //
    },
    callers::{
        Address,
        AddressList,
        AddressListQuery,
        Reason,
        Refused,
        Response, //
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

/// How long a caller may cache the answer, in milliseconds. A graceful shutdown waits for it.
pub(crate) const ADDRESS_TTL_MS: u64 = 5_000;
/// How long a caller may keep tickets, in milliseconds: half of their lifetime, so that a
/// ticket is still valid after its request was queued.
const TICKET_TTL_MS: u64 = 60_000;
/// Maximum number of addresses in one answer. Each answer is a random sample, so that callers
/// spread over a large fleet without a list of all routers.
const MAX_ADDRESSES: usize = 16;
/// Factor on the weight of a router in another zone than the caller.
const REMOTE_ZONE_FACTOR: f64 = 0.5;

impl Router {
    /// Answers which addresses to use for a service, in order of preference.
    pub(crate) fn address_response(&self, query: &AddressListQuery) -> Response {
        if let Err(refused) = self.ready() {
            return refused.into();
        }
        if let Err(e) = self.fleet().service(query.service.as_str()) {
            return Refused::new(Reason::UnknownService, e.to_string()).into();
        }
        let mut addresses = self.ranked_addresses(query);
        // There may be no other router, for example when all shut down at once.
        if addresses.is_empty() {
            addresses.push(self.local_address());
        }
        let tickets = if self.is_leaving() { 0 } else { query.tickets };
        let now = self.now();
        let issued = lock(&self.tickets).issue(tickets, now);
        let answer = AddressList {
            addresses,
            keep_ms: ADDRESS_TTL_MS,
            tickets: issued.iter().map(ToString::to_string).collect(),
            ticket_ms: TICKET_TTL_MS,
        };
        (&answer).into()
    }

    fn ranked_addresses(&self, query: &AddressListQuery) -> Vec<Address> {
        let view = lock(&self.members).view();
        let slots = self.owned_slots(query);
        let total: u32 = slots.values().sum();
        let min_weight = f64::from(total) / (8.0 * view.len().max(1) as f64);
        let mut addresses: Vec<Address> = view
            .iter()
            .filter(|m| m.takes_work() && m.state == State::Live || self.is_local_and_staying(m))
            .map(|m| {
                let owned = slots.get(m.id.as_str()).copied().unwrap_or_default();
                let same_zone = query.zone.as_ref().is_none_or(|z| *z == m.zone);
                let weight = f64::from(owned).max(min_weight).max(1.0);
                Address {
                    router: m.id.clone(),
                    address: m.caller_addr,
                    zone: m.zone.clone(),
                    weight: if same_zone {
                        weight
                    } else {
                        weight * REMOTE_ZONE_FACTOR
                    },
                }
            })
            .collect();
        // Each answer has a random order in proportion to the weights, as callers would
        // otherwise all use the first address.
        for a in &mut addresses {
            a.weight = (a.weight * 100.0).round() / 100.0;
        }
        let mut keyed: Vec<(f64, Address)> = addresses
            .into_iter()
            .map(|a| (-fastrand::f64().max(1e-9).ln() / a.weight, a))
            .collect();
        keyed.sort_by(|a, b| a.0.total_cmp(&b.0));
        keyed
            .into_iter()
            .map(|(_, a)| a)
            .take(MAX_ADDRESSES)
            .collect()
    }

    fn owned_slots(&self, query: &AddressListQuery) -> HashMap<String, u32> {
        let owners = lock(&self.dispatch).preferred_routers(&query.service);
        let mut slots: HashMap<String, u32> = HashMap::new();
        for o in owners {
            let Slots(n) = o.slots;
            *slots.entry(o.router.as_str().to_owned()).or_default() += n;
        }
        slots
    }

    fn is_local_and_staying(&self, m: &Member) -> bool {
        m.id == self.me.router && !self.is_leaving()
    }

    fn local_address(&self) -> Address {
        Address {
            router: self.me.router.clone(),
            address: self.settings.callers.advertise,
            zone: self.settings.zone.clone(),
            weight: 1.0,
        }
    }
}
