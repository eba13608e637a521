//! The choice of active routers among those that are there.

use {
    crate::{
        rendezvous,
        RouterId,
        Zone, //
    },
    std::{
        cmp::Reverse,
        collections::BTreeMap, //
    },
};

/// Most routers that are active, as many as an answer to a caller names.
const MOST: usize = 64;
/// The key by which routers of one availability zone and size are put in order.
const KEY: &str = "active";

/// A router that can be active.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// Its name.
    pub name: RouterId,
    /// Its availability zone.
    pub zone: Zone,
    /// The processor time that it has, in cores.
    pub processor: f64,
}

/// Returns the routers that are to be active: at least so many, and as many as have the processor
/// time that is needed.
///
/// They are taken from each availability zone in turn, so that a zone that is lost takes no more
/// than its part with it, and those with most processor time go first. Whoever comes or goes
/// changes the place of few others.
///
/// # Examples
///
/// ```
/// use policy::actives::{choose, Member};
///
/// let member = |name: &str, zone: &str, processor| Member {
///     name: name.parse().unwrap(),
///     zone: zone.parse().unwrap(),
///     processor,
/// };
/// let all = [
///     member("a1", "hall-a", 0.1),
///     member("a2", "hall-a", 0.5),
///     member("a3", "hall-a", 0.1),
///     member("b1", "hall-b", 0.1),
/// ];
/// let two = choose(&all, 2, 0.0);
/// assert_eq!(two[0].as_str(), "a2");
/// assert_eq!(two[1].as_str(), "b1");
/// assert_eq!(choose(&all, 2, 0.65).len(), 3);
/// ```
pub fn choose(members: &[Member], least: usize, need: f64) -> Vec<RouterId> {
    let mut zones = in_order(members);
    let (mut chosen, mut has) = (Vec::new(), 0.0);
    while !zones.is_empty() {
        for zone in &mut zones {
            let enough = chosen.len() >= least && has >= need;
            if enough || chosen.len() >= MOST {
                return chosen;
            }
            if let Some(member) = zone.pop() {
                has += member.processor;
                chosen.push(member.name.clone());
            }
        }
        zones.retain(|zone| !zone.is_empty());
    }
    chosen
}

/// Returns the members of each availability zone, the first to be chosen last.
fn in_order(members: &[Member]) -> Vec<Vec<&Member>> {
    let mut zones: BTreeMap<&Zone, Vec<&Member>> = BTreeMap::new();
    for member in members {
        zones.entry(&member.zone).or_default().push(member);
    }
    let mut zones: Vec<Vec<&Member>> = zones.into_values().collect();
    for zone in &mut zones {
        zone.sort_by_cached_key(|m| {
            // Hundredths of a core, as whole numbers can be put in order.
            let processor = (m.processor * 100.0).round() as u64;
            let drawn = rendezvous::score(KEY, m.name.as_str());
            (processor, drawn, Reverse(m.name.clone()))
        });
    }
    zones
}
