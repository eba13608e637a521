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

#[derive(Debug, Default)]
struct Mate {
    home: bool,
    heard: Option<Time>,
    told: Option<Time>,
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
        self.all.get(id)?.told
    }

    /// Notes that a router was told.
    pub(crate) fn tell(&mut self, id: &RouterId, now: Time) {
        if let Some(mate) = self.all.get_mut(id) {
            mate.told = Some(now);
        }
    }

    /// Notes that a router spoke of the service.
    pub(crate) fn hear(&mut self, id: &RouterId, now: Time) {
        match self.all.get_mut(id) {
            Some(mate) => mate.heard = Some(now),
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
