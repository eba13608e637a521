//! Availability zones whose replicas get no new requests, as ordered by the operators.

use {
    crate::{
        Revision,
        Span,
        Time,
        Zone, //
    },
    serde::{
        Deserialize,
        Serialize, //
    },
    std::collections::{
        BTreeMap,
        BTreeSet, //
    },
};

/// How long an order is obeyed that is missing after the store came back from an older copy. The
/// operators write again what was lost, and until then a zone must not get requests.
const RESTORE_HOLD: Span = Span::secs(6);
/// A router that obeys orders which nothing has confirmed for this long reads them from the store,
/// so that a zone is not avoided for good after their end was missed.
const CONFIRM_WITHIN: Span = Span::secs(10);

/// The zones that are evacuated at a revision of the store.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EvacuationOrders {
    /// The revision at which these are all orders.
    pub revision: Revision,
    /// The evacuated zones.
    pub zones: BTreeSet<Zone>,
}

/// A change of one zone's order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneChange {
    /// The zone.
    pub zone: Zone,
    /// Whether it is evacuated from then on.
    pub evacuated: bool,
}

/// The zones whose evacuation began or ended with an update.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct EvacuationUpdate {
    /// Zones that get no more requests.
    pub begun: Vec<Zone>,
    /// Zones that get requests again.
    pub ended: Vec<Zone>,
}

/// What a router knows of the operators' orders.
///
/// Orders are compared by the revision of the store at which they were known to be complete, so it
/// does not matter in which order the store and the peers report them.
///
/// # Examples
///
/// ```
/// use policy::{EvacuationOrders, Evacuations, Era, Revision, Time, Zone};
///
/// let mut evacuations = Evacuations::default();
/// assert!(!evacuations.is_known());
/// let hall: Zone = "hall-a".parse()?;
/// let at = |number| Revision { era: Era(1), number };
/// let orders = EvacuationOrders { revision: at(7), zones: [hall.clone()].into() };
/// evacuations.apply(orders, Time(0));
/// assert!(evacuations.covers(&hall, Time(0)));
/// // A report from before the order.
/// evacuations.apply(EvacuationOrders { revision: at(6), ..Default::default() }, Time(0));
/// assert!(evacuations.covers(&hall, Time(0)));
/// # Ok::<(), policy::IdError>(())
/// ```
#[derive(Debug, Clone, Default)]
pub struct Evacuations {
    orders: Option<EvacuationOrders>,
    /// Zones whose orders a restored store lacks, and until when they are obeyed all the same.
    held: BTreeMap<Zone, Time>,
    /// When the orders were last read or confirmed.
    confirmed: Time,
}

impl Evacuations {
    /// Returns whether any orders are known, be it that there are none.
    pub fn is_known(&self) -> bool {
        self.orders.is_some()
    }

    /// Returns the known orders, to report them to the peers.
    pub fn orders(&self) -> Option<&EvacuationOrders> {
        self.orders.as_ref()
    }

    /// Returns whether a zone's replicas must not get requests.
    pub fn covers(&self, zone: &Zone, now: Time) -> bool {
        let ordered = |o: &EvacuationOrders| o.zones.contains(zone);
        self.orders.as_ref().is_some_and(ordered)
            || self.held.get(zone).is_some_and(|until| now < *until)
    }

    /// Returns all zones whose replicas must not get requests.
    pub fn covered(&self, now: Time) -> BTreeSet<Zone> {
        let held = self.held.iter().filter(|(_, until)| now < **until);
        let ordered = self.orders.iter().flat_map(|o| &o.zones);
        ordered.chain(held.map(|(zone, _)| zone)).cloned().collect()
    }

    /// Returns whether orders are obeyed that nothing has confirmed lately.
    pub fn needs_reading(&self, now: Time) -> bool {
        let obeyed = self.orders.as_ref().is_some_and(|o| !o.zones.is_empty());
        obeyed && now.since(self.confirmed) >= CONFIRM_WITHIN
    }

    /// Applies orders that the store or a peer reports, unless newer ones are known.
    ///
    /// The orders of a later era of the store may lack some that were acknowledged before it came
    /// back from an older copy. These are obeyed for some time longer.
    pub fn apply(&mut self, orders: EvacuationOrders, now: Time) -> EvacuationUpdate {
        let before = self.covered(now);
        if let Some(known) = &self.orders {
            if orders.revision < known.revision {
                return EvacuationUpdate::default();
            }
            if orders.revision.era > known.revision.era {
                let lost = known.zones.difference(&orders.zones).cloned();
                self.held
                    .extend(lost.map(|zone| (zone, now + RESTORE_HOLD)));
            }
        }
        self.held.retain(|zone, _| !orders.zones.contains(zone));
        self.orders = Some(orders);
        self.confirmed = now;
        self.compare(&before, now)
    }

    /// Applies changes that the store reported in this order, up to a revision.
    pub fn apply_changes(
        &mut self,
        changes: &[ZoneChange],
        revision: Revision,
        now: Time,
    ) -> EvacuationUpdate {
        let mut orders = self.orders.clone().unwrap_or_default();
        if revision < orders.revision {
            return EvacuationUpdate::default();
        }
        orders.revision = revision;
        for change in changes {
            match change.evacuated {
                true => _ = orders.zones.insert(change.zone.clone()),
                false => _ = orders.zones.remove(&change.zone),
            }
        }
        self.apply(orders, now)
    }

    /// Drops orders that were held and whose time is over.
    pub fn forget(&mut self, now: Time) -> EvacuationUpdate {
        let over = self.held.iter().filter(|(_, until)| now >= **until);
        let ended = over.map(|(zone, _)| zone.clone()).collect();
        self.held.retain(|_, until| now < *until);
        EvacuationUpdate {
            begun: Vec::new(),
            ended,
        }
    }

    fn compare(&self, before: &BTreeSet<Zone>, now: Time) -> EvacuationUpdate {
        let after = self.covered(now);
        EvacuationUpdate {
            begun: after.difference(before).cloned().collect(),
            ended: before.difference(&after).cloned().collect(),
        }
    }
}
