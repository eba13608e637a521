//! Redistribution of slots between routers.

use {
    super::{
        targets::SlotTargets,
        Grantee,
        Pool, //
    },
    crate::RouterId,
};

/// If there are more queues than slots, one plan moves at most one in this number of slots:
/// virtual times cross all the time, and a slot is idle while it moves.
const MOVE_DIVISOR: u32 = 20;

impl Pool {
    /// Returns the free slots of each replica; negative where too many are granted.
    fn free_slots(&self) -> Vec<i64> {
        let unreported = self
            .grantees
            .values()
            .filter(|g| self.may_hold_unreported(g))
            .count();
        let known = self.grantees.len().max(1);
        let mut free: Vec<i64> = self
            .owned_slots
            .iter()
            .map(|l| l.limit() as usize)
            .map(|limit| (limit - limit * unreported / known) as i64)
            .collect();
        for g in self.grantees.values() {
            for (n, entry) in free.iter_mut().zip(&g.granted_slots) {
                *n -= i64::from(entry.reserved());
            }
        }
        free
    }

    /// Revokes slots granted above a replica's limit.
    pub(super) fn revoke_excess(&mut self) {
        let mut granted: Vec<u32> = vec![0; self.owned_slots.len()];
        for g in self.grantees.values() {
            for (n, entry) in granted.iter_mut().zip(&g.granted_slots) {
                *n += entry.granted;
            }
        }
        for (at, owned) in self.owned_slots.iter().enumerate() {
            for _ in owned.limit()..granted[at] {
                let most = self
                    .grantees
                    .values_mut()
                    .max_by_key(|g| g.granted_slots[at].granted);
                if let Some(g) = most {
                    g.revoke_one(at);
                }
            }
        }
    }

    /// Grants a router the slots that it still keeps beyond its grant, up to its target.
    pub(super) fn regrant_kept(&mut self, targets: &SlotTargets) {
        for (id, g) in &mut self.grantees {
            let target = targets.get(id).copied().unwrap_or(0);
            for at in 0..g.granted_slots.len() {
                while g.total() < target && g.granted_slots[at].granted < g.granted_slots[at].kept {
                    g.grant_one(at);
                }
            }
        }
    }

    /// Returns the number of slots that each router needs for its running and queued requests.
    pub(super) fn needs(&self) -> SlotTargets {
        let eligible = self.grantees.iter().filter(|(_, g)| g.can_be_granted());
        eligible
            .map(|(id, g)| (id.clone(), g.running + g.waiting()))
            .collect()
    }

    /// Revokes slots from routers above their target while others lack slots that they need.
    pub(super) fn revoke(&mut self, targets: &SlotTargets, needs: &SlotTargets) {
        if self
            .grantees
            .iter()
            .all(|(id, g)| shortfall(needs, id, g) == 0)
        {
            return;
        }
        let free = self.free_slots();
        // Revoked slots that are still in use are on their way back.
        let returning: i64 = self
            .grantees
            .values()
            .map(|g| i64::from(g.held()) - i64::from(g.total()))
            .sum();
        let mut missing = -returning - free.iter().map(|n| (*n).max(0)).sum::<i64>();
        let mut blocked = Vec::new();
        for (id, g) in &self.grantees {
            let lacking = i64::from(shortfall(needs, id, g));
            if g.can_use_free(&free) {
                missing += lacking;
            } else {
                blocked.push((lacking - returning, g.avoided_replicas()));
            }
        }
        let queues: usize = self.grantees.values().map(|g| g.demands.len()).sum();
        if self.contended && queues as u32 > self.capacity() {
            missing = missing.min(i64::from(self.capacity() / MOVE_DIVISOR).max(1));
        }
        self.revoke_from(targets, missing, &[]);
        // Free slots on replicas that a router avoids don't help it; take others for it.
        for (lacking, avoided) in blocked {
            self.revoke_from(targets, lacking, &avoided);
        }
    }

    /// Revokes `count` slots, on other replicas than `except`, from the routers furthest above
    /// their target.
    fn revoke_from(&mut self, targets: &SlotTargets, count: i64, except: &[usize]) {
        for _ in 0..count.max(0) {
            let can_give = |g: &Grantee| {
                let mut entries = g.granted_slots.iter().enumerate();
                entries.any(|(at, c)| c.granted > 0 && !except.contains(&at))
            };
            let most = self
                .grantees
                .iter_mut()
                .filter(|(id, g)| g.total() > targets.get(*id).copied().unwrap_or(0) && can_give(g))
                .max_by_key(|(id, g)| g.total() - targets.get(*id).copied().unwrap_or(0));
            let Some((_, g)) = most else { return };
            let owned_slots = &self.owned_slots;
            let granted = (0..owned_slots.len())
                .filter(|at| g.granted_slots[*at].granted > 0 && !except.contains(at));
            let remote = granted.max_by_key(|at| {
                (
                    owned_slots[*at].zone != g.zone,
                    g.granted_slots[*at].granted,
                )
            });
            let Some(at) = remote else { return };
            g.revoke_one(at);
        }
    }

    /// Grants free slots to the routers furthest below their target.
    pub(super) fn grant_free(&mut self, targets: &SlotTargets) {
        if self
            .grantees
            .iter()
            .all(|(id, g)| shortfall(targets, id, g) == 0)
        {
            return;
        }
        let mut free = self.free_slots();
        let mut available: i64 = free.iter().map(|n| (*n).max(0)).sum();
        // The slots of routers without a report are estimates. Limit the total as well, as they may
        // hold more than estimated on one replica and less on another.
        if self.grantees.values().any(|g| self.may_hold_unreported(g)) {
            available = free.iter().sum();
        }
        for _ in 0..available.max(0) {
            let lacking = self
                .grantees
                .iter_mut()
                .filter(|(id, g)| shortfall(targets, id, g) > 0 && g.can_use_free(&free));
            let most = lacking.max_by_key(|(id, g)| shortfall(targets, id, g));
            let Some((_, g)) = most else { return };
            let owned_slots = &self.owned_slots;
            let open =
                (0..owned_slots.len()).filter(|at| free[*at] > 0 && !g.granted_slots[*at].unusable);
            let closest = open.max_by_key(|at| (owned_slots[*at].zone == g.zone, free[*at]));
            let Some(at) = closest else { return };
            g.grant_one(at);
            free[at] -= 1;
        }
    }
}

/// Returns the number of slots that a router is below its target.
fn shortfall(targets: &SlotTargets, id: &RouterId, g: &Grantee) -> u32 {
    let target = targets.get(id).copied().unwrap_or(0);
    target.saturating_sub(g.total())
}
