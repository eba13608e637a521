//! At which addresses there may be other routers, and when each was last told something.

use {
    crate::{
        Span,
        Time, //
    },
    std::{
        collections::HashMap,
        net::SocketAddr, //
    },
    xxhash_rust::xxh3::Xxh3, //
};

/// An address at which nobody was heard, and that nobody lists, is forgotten after this time.
const FORGET: Span = Span::secs(15);
/// Addresses that are greeted for the first time in one step at the most: a fleet of 295 that
/// starts as one greets each other within a second.
const NEW: usize = 50;
/// Time between two steps, about.
const STEP: Span = Span::millis(100);

/// The addresses of other routers.
#[derive(Debug)]
pub(super) struct Contacts {
    /// Who tells, so that each tells the others in an order of its own.
    own: SocketAddr,
    all: HashMap<SocketAddr, Contact>,
    /// Those that are told many times a second.
    near: Vec<SocketAddr>,
}

#[derive(Debug, Clone, Copy)]
struct Contact {
    listed: Time,
    told: Option<Time>,
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
            all: HashMap::new(),
            near: Vec::new(),
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

    /// Returns whom to tell now, so that each is told once in `round`.
    pub(super) fn due(&mut self, round: Span, now: Time) -> Vec<SocketAddr> {
        let new = self.all.iter().filter(|(_, c)| c.told.is_none());
        let mut due: Vec<SocketAddr> = new.take(NEW).map(|(addr, _)| *addr).collect();
        self.tell(&due, now);
        let late = self.late(round, now);
        let late = late.into_iter().take(self.at_once(round));
        let late: Vec<SocketAddr> = late.map(|(_, addr)| addr).collect();
        self.tell(&late, now);
        due.extend(late);
        due
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
    pub(super) fn all(&mut self, now: Time) -> Vec<SocketAddr> {
        let all: Vec<SocketAddr> = self.addresses().collect();
        self.tell(&all, now);
        all
    }

    /// Returns those that were told something, but not in this round, the longest ago first.
    fn late(&self, round: Span, now: Time) -> Vec<(Time, SocketAddr)> {
        let late = self.all.iter().filter_map(|(addr, c)| {
            let at = c.told?;
            (c.round(round, at) < c.round(round, now)).then_some((at, *addr))
        });
        let mut late: Vec<_> = late.collect();
        late.sort_unstable();
        late
    }

    /// Returns how many are told in one step, so that those who were all told at once are told
    /// one after the other again.
    fn at_once(&self, round: Span) -> usize {
        let steps = (round.as_secs() / STEP.as_secs()).max(1.0);
        (2.0 * self.all.len() as f64 / steps).ceil() as usize
    }

    fn tell(&mut self, addrs: &[SocketAddr], now: Time) {
        for addr in addrs {
            if let Some(contact) = self.all.get_mut(addr) {
                contact.told = Some(now);
            }
        }
    }

    /// Notes who is told many times a second from now on. Returns those who no longer are.
    ///
    /// These wait for a word that was to come in a tenth of a second. If the next one came when
    /// their turn is, they would take this router for gone meanwhile, choose another in its place,
    /// and be taken for gone themselves by those whom they no longer tell.
    pub(super) fn tell_near(&mut self, near: &[SocketAddr], now: Time) -> Vec<SocketAddr> {
        self.tell(near, now);
        let before = std::mem::replace(&mut self.near, near.to_vec());
        let left = before.into_iter().filter(|addr| !near.contains(addr));
        left.collect()
    }
}
