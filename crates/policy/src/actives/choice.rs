//! The choice of active routers among the live ones.

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

/// Maximum number of active routers, which is also the number that a response to a caller lists.
const ACTIVE_MAX: usize = 64;
/// The key that orders routers of the same availability zone and size.
const RANKING_KEY: &str = "active";

/// A router that can become active.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// Its name.
    pub name: RouterId,
    /// Its availability zone.
    pub zone: Zone,
    /// Its processor time, in cores.
    pub processor: f64,
}

/// Returns the routers that should be active: at least `least` of them, and as many as provide the
/// processor time `need`.
///
/// They are taken from each availability zone in turn, so that losing a zone loses no more than its
/// part of them, and those with most processor time go first. A router that joins or leaves changes
/// the role of few others.
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
    let mut zones = ranked_by_zone(members);
    let (mut chosen, mut total) = (Vec::new(), 0.0);
    while !zones.is_empty() {
        for zone in &mut zones {
            let enough = chosen.len() >= least && total >= need;
            if enough || chosen.len() >= ACTIVE_MAX {
                return chosen;
            }
            if let Some(member) = zone.pop() {
                total += member.processor;
                chosen.push(member.name.clone());
            }
        }
        zones.retain(|zone| !zone.is_empty());
    }
    chosen
}

/// Returns the members of each availability zone, the first choice last.
fn ranked_by_zone(members: &[Member]) -> Vec<Vec<&Member>> {
    let mut zones: BTreeMap<&Zone, Vec<&Member>> = BTreeMap::new();
    for member in members {
        zones.entry(&member.zone).or_default().push(member);
    }
    let mut zones: Vec<Vec<&Member>> = zones.into_values().collect();
    for zone in &mut zones {
        zone.sort_by_cached_key(|m| {
            // In hundredths of a core, since integers have a total order.
            let processor = (m.processor * 100.0).round() as u64;
            let drawn = rendezvous::score(RANKING_KEY, m.name.as_str());
            (processor, drawn, Reverse(m.name.clone()))
        });
    }
    zones
}
