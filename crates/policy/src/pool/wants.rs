//! How many slots each router should have.

use {
    super::{
        fill,
        Pace,
        Pool,
        Row, //
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

/// Part of the idle slots that stays with the owner while nothing waits.
const RESERVE: f64 = 0.1;
/// Part of the spare slots that is spread evenly; the rest goes by use.
const EVEN: f64 = 0.3;
/// Part of the spare slots by which a router may have more or less than its part.
const NEAR: f64 = 0.6;
/// A router keeps the slot that rounding gives one of several, unless another's claim is
/// larger by this part of a slot.
const STICKY: f64 = 0.6;

/// Slots that each router should have.
pub(crate) type Wants = BTreeMap<RouterId, u32>;

impl Pool {
    /// Returns how many slots each router should have while work waits.
    pub(super) fn wants_pressed(&self, ledger: &Ledger) -> Wants {
        let mut rows: BTreeMap<Key, f64> = BTreeMap::new();
        let mut passing = 0.0;
        for b in self.borrowers.values() {
            passing += f64::from(b.passing());
            for w in b.waits.iter().filter(|_| b.takes()) {
                *rows.entry(w.key).or_default() += f64::from(w.queued + w.running);
            }
        }
        let list: Vec<Row> = rows
            .iter()
            .map(|(key, demand)| Row {
                level: ledger.virtual_time(*key) as f64,
                share: ledger.share(*key).get(),
                demand: *demand,
            })
            .collect();
        let pace = Pace::of(self.borrowers.values());
        let slots = (f64::from(self.capacity()) - passing).max(0.0);
        let split = fill(slots, pace.step(), &list);
        let part: BTreeMap<Key, f64> = rows
            .iter()
            .zip(split)
            .map(|((key, demand), slots)| (*key, slots / demand))
            .collect();
        let exact: Vec<(&RouterId, f64, u32)> = self
            .borrowers
            .iter()
            .filter(|(_, b)| b.takes())
            .map(|(id, b)| {
                let due: f64 = b
                    .waits
                    .iter()
                    .map(|w| f64::from(w.queued + w.running) * part[&w.key])
                    .sum();
                // Where nothing waits, what runs needs no slot after it.
                let passing = if b.waits.is_empty() { 0 } else { b.passing() };
                (id, due + f64::from(passing), b.total())
            })
            .collect();
        round(exact, self.capacity())
    }

    /// Returns how many slots each router should have while there are enough for all.
    ///
    /// That is the most that it used lately and some spare ones, so that most requests start
    /// without a message.
    pub(super) fn wants_idle(&self) -> Wants {
        let needs = self.needs();
        let peak = |id: &RouterId| self.borrowers[id].peak;
        let peaks: f64 = needs.keys().map(peak).sum();
        let idle = (f64::from(self.capacity()) - peaks).max(0.0) * (1.0 - RESERVE);
        let n = needs.len().max(1) as f64;
        let mut wants = Wants::new();
        for (id, need) in needs {
            let used = if peaks > 0.0 {
                peak(&id) / peaks
            } else {
                1.0 / n
            };
            let spare = idle * (EVEN / n + (1.0 - EVEN) * used);
            let want = peak(&id) + spare;
            // Spare slots are not worth a message for every small change.
            let now = self.borrowers[&id].total();
            let near = (f64::from(now) - want).abs() <= spare * NEAR;
            let want = if near { now } else { want as u32 };
            wants.insert(id, want.max(need));
        }
        wants
    }
}

/// Rounds targets to whole slots so that few of them move.
fn round(exact: Vec<(&RouterId, f64, u32)>, capacity: u32) -> Wants {
    let total: f64 = exact.iter().map(|e| e.1).sum();
    let mut out: Wants = BTreeMap::new();
    let mut rest: Vec<(f64, &RouterId)> = Vec::new();
    for (id, due, now) in exact {
        let whole = due.floor();
        let has = if f64::from(now) > whole { STICKY } else { 0.0 };
        out.insert(id.clone(), whole as u32);
        if due > whole {
            rest.push((due - whole + has, id));
        }
    }
    let given: u32 = out.values().sum();
    let left = capacity.min(total.round() as u32).saturating_sub(given);
    rest.sort_by(|a, b| b.0.total_cmp(&a.0));
    for (_, id) in rest.into_iter().take(left as usize) {
        *out.entry(id.clone()).or_default() += 1;
    }
    out
}
