//! Addresses at which there may be other routers, and when each one was last sent a message.

use {
    crate::{
        Span,
        Time, //
    },
    std::{
        collections::BTreeMap,
        net::SocketAddr, //
    },
    xxhash_rust::xxh3::Xxh3, //
};

/// An address that is neither listed nor the source of messages is dropped after this time: three
/// rounds of the standbys of a fleet of 295.
const FORGET_AFTER: Span = Span::secs(90);
/// Maximum number of addresses that get their first message in one step. With it, a fleet of 295
/// routers that start at once have all contacted each other within 1.5 s.
const FIRST_PER_STEP: usize = 20;
/// Maximum number of addresses that get a repeated message in one step, for when all of them got
/// the last one at the same moment.
const REPEATED_PER_STEP: usize = 30;

/// The addresses of other routers.
#[derive(Debug)]
pub(super) struct Contacts {
    /// This router's address, from which its own order of the others is derived.
    local: SocketAddr,
    all: BTreeMap<SocketAddr, Contact>,
}

#[derive(Debug, Clone, Copy)]
struct Contact {
    listed: Time,
    sent: Option<Time>,
    /// The interval until the next message that the last one announced.
    promised: Span,
    /// Offset of its message within a round, from 0 to 1.
    phase: f64,
}

impl Contact {
    /// Returns the number of the round at a moment.
    ///
    /// Rounds begin at a different moment for each pair of routers. Otherwise routers that start
    /// together would send to the others in the same order: a standby would get the messages of all
    /// active routers at the same moment, and then none for three seconds.
    fn round(&self, length: Span, at: Time) -> u64 {
        (at.since(Time(0)).as_secs() / length.as_secs() + self.phase) as u64
    }
}

impl Contacts {
    pub(super) fn new(local: SocketAddr) -> Contacts {
        Contacts {
            local,
            all: BTreeMap::new(),
        }
    }

    /// Records that a router is listed at an address, or that a message came from there.
    pub(super) fn add(&mut self, addr: SocketAddr, now: Time) {
        if let Some(known) = self.all.get_mut(&addr) {
            known.listed = now;
            return;
        }
        let new = Contact {
            listed: now,
            sent: None,
            promised: Span::ZERO,
            phase: self.phase(addr),
        };
        self.all.insert(addr, new);
    }

    pub(super) fn len(&self) -> usize {
        self.all.len()
    }

    pub(super) fn addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.all.keys().copied()
    }

    /// Drops addresses that are long out of date.
    pub(super) fn forget(&mut self, now: Time) {
        self.all.retain(|_, c| now.since(c.listed) < FORGET_AFTER);
    }

    /// Returns the addresses that should get a message now, each once in a round whose length
    /// `round` returns.
    pub(super) fn due(
        &mut self,
        interval: impl Fn(SocketAddr) -> Span,
        now: Time,
    ) -> Vec<SocketAddr> {
        let mut due = self.new_addresses();
        let overdue = self.overdue(&interval, now);
        let overdue = overdue.into_iter().take(REPEATED_PER_STEP);
        due.extend(overdue.map(|(_, addr)| addr));
        for addr in &due {
            self.record_sent(*addr, interval(*addr), now);
        }
        due
    }

    /// Returns some addresses that have not been sent anything yet. Each router has its own order
    /// of the others: ordered by address, all routers would contact the same twenty at the same
    /// moment.
    fn new_addresses(&self) -> Vec<SocketAddr> {
        let new = self.all.iter().filter(|(_, c)| c.sent.is_none());
        let mut new: Vec<(f64, SocketAddr)> = new.map(|(addr, c)| (c.phase, *addr)).collect();
        new.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        new.into_iter()
            .take(FIRST_PER_STEP)
            .map(|(_, addr)| addr)
            .collect()
    }

    /// Returns the offset of an address within the rounds.
    fn phase(&self, addr: SocketAddr) -> f64 {
        let mut hash = Xxh3::new();
        for addr in [self.local, addr] {
            hash.update(addr.to_string().as_bytes());
        }
        hash.digest() as f64 / u64::MAX as f64
    }

    /// Returns all addresses, to send to them at once.
    pub(super) fn all(
        &mut self,
        interval: impl Fn(SocketAddr) -> Span,
        now: Time,
    ) -> Vec<SocketAddr> {
        let all: Vec<SocketAddr> = self.addresses().collect();
        for addr in &all {
            self.record_sent(*addr, interval(*addr), now);
        }
        all
    }

    /// Returns whether an address that got a message before should get one now, once in a round of
    /// this length.
    pub(super) fn is_due(&self, addr: SocketAddr, length: Span, now: Time) -> bool {
        let contact = self.all.get(&addr);
        contact.is_some_and(|c| {
            let begins = |at| c.round(length, at) < c.round(length, now);
            c.sent.is_some_and(begins)
        })
    }

    /// Returns the addresses that should get another message, those with the oldest one first.
    ///
    /// Either a round begins for them, or the announced next message is due. A router that no
    /// longer gets frequent messages would otherwise consider this one dead until its round begins
    /// and choose a replacement, and would be considered dead itself by those that it stops sending
    /// to.
    fn overdue(&self, interval: impl Fn(SocketAddr) -> Span, now: Time) -> Vec<(Time, SocketAddr)> {
        let overdue = self.all.iter().filter_map(|(addr, c)| {
            let (at, interval) = (c.sent?, interval(*addr));
            let begins = c.round(interval, at) < c.round(interval, now);
            (begins || now.since(at) >= c.promised).then_some((at, *addr))
        });
        let mut overdue: Vec<_> = overdue.collect();
        overdue.sort_unstable();
        overdue
    }

    /// Records that a message is sent to an address, the next one after `next`.
    pub(super) fn record_sent(&mut self, addr: SocketAddr, next: Span, now: Time) {
        if let Some(contact) = self.all.get_mut(&addr) {
            contact.sent = Some(now);
            contact.promised = next;
        }
    }
}
