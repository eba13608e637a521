//! The routers that deal with the same service.

use {
    crate::{
        RouterId,
        Span,
        Time, //
    },
    std::collections::BTreeMap,
};

/// A router that was silent about a service for this time is no longer told of it.
const SILENT: Span = Span::secs(60);

/// The routers that are told of a service: its homes, to which callers are pointed, and
/// any other that was heard to speak of it.
#[derive(Debug, Default)]
pub(crate) struct Mates {
    all: BTreeMap<RouterId, Mate>,
}

/// First and longest pause before the same is told again, and how often it doubles.
const AGAIN: (Span, Span) = (Span::millis(400), Span::secs(30));
const TRIES: u32 = 8;

#[derive(Debug, Default)]
struct Mate {
    home: bool,
    heard: Option<Time>,
    /// When it was last told, of which revision, and how often in a row of the same.
    told: Option<(Time, u64, u32)>,
}

impl Mates {
    pub(crate) fn set_homes(&mut self, homes: impl Iterator<Item = RouterId>) {
        for mate in self.all.values_mut() {
            mate.home = false;
        }
        for id in homes {
            self.all.entry(id).or_default().home = true;
        }
    }

    pub(crate) fn ids(&self) -> impl Iterator<Item = &RouterId> {
        self.all.keys()
    }

    /// Returns when a router was last told.
    pub(crate) fn told(&self, id: &RouterId) -> Option<Time> {
        self.all.get(id)?.told.map(|t| t.0)
    }

    /// Returns whether a router may be told again, of revision `rev`.
    ///
    /// One that does not answer is told the same again after growing pauses.
    pub(crate) fn rested(&self, id: &RouterId, rev: u64, interval: Span, now: Time) -> bool {
        let Some(mate) = self.all.get(id) else {
            return false;
        };
        let Some((at, told, tries)) = mate.told else {
            return true;
        };
        let again = Span(AGAIN.0 .0 << tries.min(TRIES)).min(AGAIN.1);
        let pause = if told == rev {
            again.max(interval)
        } else {
            interval
        };
        now.since(at) >= pause
    }

    /// Notes that a router was told of revision `rev`.
    pub(crate) fn tell(&mut self, id: &RouterId, rev: u64, now: Time) {
        if let Some(mate) = self.all.get_mut(id) {
            let tries = match mate.told {
                Some((_, told, tries)) if told == rev => tries + 1,
                _ => 0,
            };
            mate.told = Some((now, rev, tries));
        }
    }

    /// Notes that a router spoke of the service.
    pub(crate) fn hear(&mut self, id: &RouterId, now: Time) {
        match self.all.get_mut(id) {
            Some(mate) => {
                mate.heard = Some(now);
                if let Some(told) = &mut mate.told {
                    told.2 = 0;
                }
            }
            None => {
                let heard = Some(now);
                let mate = Mate {
                    heard,
                    ..Mate::default()
                };
                self.all.insert(id.clone(), mate);
            }
        }
    }

    /// Forgets routers that are no home and were silent for long.
    pub(crate) fn forget(&mut self, now: Time) {
        let lately = |m: &Mate| m.heard.is_some_and(|t| now.since(t) < SILENT);
        self.all.retain(|_, m| m.home || lately(m));
    }
}
