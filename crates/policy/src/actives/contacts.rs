//! At which addresses there may be other routers, and when each was last told something.

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

/// An address at which nobody was heard, and that nobody lists, is forgotten after this time:
/// three rounds among those that stand by, of 295 routers.
const FORGET: Span = Span::secs(90);
/// Addresses that are greeted for the first time in one step at the most. A fleet of 295 that
/// starts as one greets each other within 1.5 s, by this figure.
const NEW: usize = 20;
/// Addresses that are told again in one step at the most, where all were told in the same moment.
const AT_ONCE: usize = 30;

/// The addresses of other routers.
#[derive(Debug)]
pub(super) struct Contacts {
    /// Who tells, so that each tells the others in an order of its own.
    own: SocketAddr,
    all: BTreeMap<SocketAddr, Contact>,
}

#[derive(Debug, Clone, Copy)]
struct Contact {
    listed: Time,
    told: Option<Time>,
    /// After how long it was told to expect the next word.
    promised: Span,
    /// How far into a round it is told, from 0 to 1.
    phase: f64,
}

impl Contact {
    /// Returns in which round a moment is.
    ///
    /// Rounds begin at another moment for each pair of routers. Those that start together would
    /// greet the others in the same order: one that stands by would hear all active ones in the
    /// same moment, and then nobody for three seconds.
    fn round(&self, length: Span, at: Time) -> u64 {
        (at.since(Time(0)).as_secs() / length.as_secs() + self.phase) as u64
    }
}

impl Contacts {
    pub(super) fn new(own: SocketAddr) -> Contacts {
        Contacts {
            own,
            all: BTreeMap::new(),
        }
    }

    /// Notes that somebody lists a router at an address, or that it was heard from there.
    pub(super) fn list(&mut self, addr: SocketAddr, now: Time) {
        if let Some(known) = self.all.get_mut(&addr) {
            known.listed = now;
            return;
        }
        let new = Contact {
            listed: now,
            told: None,
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

    /// Drops what is long out of date.
    pub(super) fn forget(&mut self, now: Time) {
        self.all.retain(|_, c| now.since(c.listed) < FORGET);
    }

    /// Returns whom to tell now, so that each is told once in the round that `round` gives for it.
    pub(super) fn due(&mut self, round: impl Fn(SocketAddr) -> Span, now: Time) -> Vec<SocketAddr> {
        let mut due = self.new_ones();
        let late = self.late(&round, now);
        let late = late.into_iter().take(AT_ONCE);
        due.extend(late.map(|(_, addr)| addr));
        for addr in &due {
            self.tell(*addr, round(*addr), now);
        }
        due
    }

    /// Returns some of those who were not greeted yet. Each router greets the others in an order of
    /// its own: in that of addresses all would greet the same twenty in the same moment.
    fn new_ones(&self) -> Vec<SocketAddr> {
        let new = self.all.iter().filter(|(_, c)| c.told.is_none());
        let mut new: Vec<(f64, SocketAddr)> = new.map(|(addr, c)| (c.phase, *addr)).collect();
        new.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        new.into_iter().take(NEW).map(|(_, addr)| addr).collect()
    }

    /// Returns how far into its rounds this router tells somebody.
    fn phase(&self, addr: SocketAddr) -> f64 {
        let mut hash = Xxh3::new();
        for addr in [self.own, addr] {
            hash.update(addr.to_string().as_bytes());
        }
        hash.digest() as f64 / u64::MAX as f64
    }

    /// Returns all, to tell them at once.
    pub(super) fn all(&mut self, round: impl Fn(SocketAddr) -> Span, now: Time) -> Vec<SocketAddr> {
        let all: Vec<SocketAddr> = self.addresses().collect();
        for addr in &all {
            self.tell(*addr, round(*addr), now);
        }
        all
    }

    /// Returns those who are to be told again, the longest ago first.
    ///
    /// Either their round begins, or they were told to expect a word by now: one that no longer is
    /// told many times a second would take this router for gone until its round begins, choose
    /// another in its place, and be taken for gone itself by those whom it no longer tells.
    fn late(&self, round: impl Fn(SocketAddr) -> Span, now: Time) -> Vec<(Time, SocketAddr)> {
        let late = self.all.iter().filter_map(|(addr, c)| {
            let (at, round) = (c.told?, round(*addr));
            let begins = c.round(round, at) < c.round(round, now);
            (begins || now.since(at) >= c.promised).then_some((at, *addr))
        });
        let mut late: Vec<_> = late.collect();
        late.sort_unstable();
        late
    }

    /// Notes that somebody is told something, and the next word after `next`.
    pub(super) fn tell(&mut self, addr: SocketAddr, next: Span, now: Time) {
        if let Some(contact) = self.all.get_mut(&addr) {
            contact.told = Some(now);
            contact.promised = next;
        }
    }
}
