//! Target number of slots of each router.

use {
    super::{
        water_fill,
        Claimant,
        Pool,
        RequestEstimate, //
    },
    crate::{
        shares::{
            Key,
            Ledger, //
        },
        RouterId, //
    },
    std::collections::BTreeMap,
};

/// Part of the idle slots that the owner keeps while the pool is not contended.
const OWNER_RESERVE: f64 = 0.1;
/// Part of the spare slots that is split evenly; the rest is split by use.
const EVEN_PART: f64 = 0.3;
/// A router may be off its target by this part of its spare slots.
const TARGET_TOLERANCE: f64 = 0.6;
/// A router keeps a slot that it has by rounding, unless another's remainder is larger by this
/// part of a slot.
const ROUNDING_HYSTERESIS: f64 = 0.6;

/// Target number of slots by router.
pub(crate) type SlotTargets = BTreeMap<RouterId, u32>;

impl Pool {
    /// Returns the targets while the pool is contended.
    pub(super) fn contended_targets(&self, ledger: &Ledger) -> SlotTargets {
        let mut by_workspace: BTreeMap<Key, f64> = BTreeMap::new();
        let mut transient = 0.0;
        for g in self.grantees.values() {
            transient += f64::from(g.unqueued_running());
            for w in g.demands.iter().filter(|_| g.can_be_granted()) {
                *by_workspace.entry(w.key).or_default() += f64::from(w.queued + w.running);
            }
        }
        let claimants: Vec<Claimant> = by_workspace
            .iter()
            .map(|(key, demand)| Claimant {
                virtual_time: ledger.virtual_time(*key) as f64,
                share: ledger.share(*key).get(),
                demand: *demand,
            })
            .collect();
        let estimate = RequestEstimate::of(self.grantees.values());
        let slots = (f64::from(self.capacity()) - transient).max(0.0);
        let split = water_fill(slots, estimate.step(), &claimants);
        let fraction: BTreeMap<Key, f64> = by_workspace
            .iter()
            .zip(split)
            .map(|((key, demand), slots)| (*key, slots / demand))
            .collect();
        let exact: Vec<(&RouterId, f64, u32)> = self
            .grantees
            .iter()
            .filter(|(_, g)| g.can_be_granted())
            .map(|(id, g)| {
                let target: f64 = g
                    .demands
                    .iter()
                    .map(|w| f64::from(w.queued + w.running) * fraction[&w.key])
                    .sum();
                // Without a queue, a running request needs no slot after it ends.
                let transient = if g.demands.is_empty() {
                    0
                } else {
                    g.unqueued_running()
                };
                (id, target + f64::from(transient), g.total())
            })
            .collect();
        round_targets(exact, self.capacity())
    }

    /// Returns the targets while capacity suffices for all.
    ///
    /// A router gets its recent peak and some spare slots, so that most requests start without a
    /// message.
    pub(super) fn uncontended_targets(&self) -> SlotTargets {
        let needs = self.needs();
        let peak = |id: &RouterId| self.grantees[id].peak_demand;
        let peaks: f64 = needs.keys().map(peak).sum();
        let idle = (f64::from(self.capacity()) - peaks).max(0.0) * (1.0 - OWNER_RESERVE);
        let n = needs.len().max(1) as f64;
        let mut targets = SlotTargets::new();
        for (id, need) in needs {
            let used = if peaks > 0.0 {
                peak(&id) / peaks
            } else {
                1.0 / n
            };
            let spare = idle * (EVEN_PART / n + (1.0 - EVEN_PART) * used);
            let target = peak(&id) + spare;
            // A small change of the spare slots is not worth a message.
            let current = self.grantees[&id].total();
            let near = (f64::from(current) - target).abs() <= spare * TARGET_TOLERANCE;
            let target = if near { current } else { target as u32 };
            targets.insert(id, target.max(need));
        }
        targets
    }
}

/// Rounds targets to integers so that few slots move.
fn round_targets(exact: Vec<(&RouterId, f64, u32)>, capacity: u32) -> SlotTargets {
    let total: f64 = exact.iter().map(|e| e.1).sum();
    let mut out: SlotTargets = BTreeMap::new();
    let mut remainders: Vec<(f64, &RouterId)> = Vec::new();
    for (id, target, current) in exact {
        let integer = target.floor();
        let bonus = if f64::from(current) > integer {
            ROUNDING_HYSTERESIS
        } else {
            0.0
        };
        out.insert(id.clone(), integer as u32);
        if target > integer {
            remainders.push((target - integer + bonus, id));
        }
    }
    let assigned: u32 = out.values().sum();
    let left = capacity.min(total.round() as u32).saturating_sub(assigned);
    remainders.sort_by(|a, b| b.0.total_cmp(&a.0));
    for (_, id) in remainders.into_iter().take(left as usize) {
        *out.entry(id.clone()).or_default() += 1;
    }
    out
}
