//! Which slots move between routers.

use {
    super::{
        targets::Wants,
        Borrower,
        Pool, //
    },
    crate::RouterId,
};

/// Where more queues wait than there are slots, a plan moves at most one of so many slots: the
/// levels cross all the time, and each slot is idle on its way.
const MOVES: u32 = 20;

impl Pool {
    /// Returns the free slots of each replica, below zero where too many are out.
    fn free(&self) -> Vec<i64> {
        let unheard = self.borrowers.values().filter(|b| self.unheard(b)).count();
        let known = self.borrowers.len().max(1);
        let mut free: Vec<i64> = self
            .lots
            .iter()
            .map(|l| l.limit() as usize)
            .map(|limit| (limit - limit * unheard / known) as i64)
            .collect();
        for b in self.borrowers.values() {
            for (n, cell) in free.iter_mut().zip(&b.cells) {
                *n -= i64::from(cell.holds());
            }
        }
        free
    }

    /// Takes back what is lent above a replica's limit.
    pub(super) fn trim(&mut self) {
        let mut lent: Vec<u32> = vec![0; self.lots.len()];
        for b in self.borrowers.values() {
            for (n, cell) in lent.iter_mut().zip(&b.cells) {
                *n += cell.lent;
            }
        }
        for (at, lot) in self.lots.iter().enumerate() {
            for _ in lot.limit()..lent[at] {
                let most = self.borrowers.values_mut().max_by_key(|b| b.cells[at].lent);
                if let Some(b) = most {
                    b.lower(at);
                }
            }
        }
    }

    /// Lends again what a router still uses beyond what it was lent, if it should have it.
    pub(super) fn restore(&mut self, wants: &Wants) {
        for (id, b) in &mut self.borrowers {
            let want = wants.get(id).copied().unwrap_or(0);
            for at in 0..b.cells.len() {
                while b.total() < want && b.cells[at].lent < b.cells[at].kept {
                    b.raise(at);
                }
            }
        }
    }

    /// Returns how many slots each router needs for what runs and waits there.
    pub(super) fn needs(&self) -> Wants {
        let takers = self.borrowers.iter().filter(|(_, b)| b.takes());
        takers
            .map(|(id, b)| (id.clone(), b.running + b.waiting()))
            .collect()
    }

    /// Asks slots back from routers that have more than wanted, where others lack what
    /// they need.
    pub(super) fn take_back(&mut self, wants: &Wants, needs: &Wants) {
        if self
            .borrowers
            .iter()
            .all(|(id, b)| lacks(needs, id, b) == 0)
        {
            return;
        }
        let free = self.free();
        // Slots that were asked back and are not yet free count as on their way.
        let coming: i64 = self
            .borrowers
            .values()
            .map(|b| i64::from(b.held()) - i64::from(b.total()))
            .sum();
        let mut lack = -coming - free.iter().map(|n| (*n).max(0)).sum::<i64>();
        let mut stuck = Vec::new();
        for (id, b) in &self.borrowers {
            let few = i64::from(lacks(needs, id, b));
            if b.helped(&free) {
                lack += few;
            } else {
                stuck.push((few - coming, b.shuns()));
            }
        }
        let queues: usize = self.borrowers.values().map(|b| b.waits.len()).sum();
        if self.pressed && queues as u32 > self.capacity() {
            lack = lack.min(i64::from(self.capacity() / MOVES).max(1));
        }
        self.lower_some(wants, lack, &[]);
        // Free slots that a router shuns do not help it, so others give it of theirs.
        for (few, shuns) in stuck {
            self.lower_some(wants, few, &shuns);
        }
    }

    /// Asks back so many slots, but of these replicas, from those with most to spare.
    fn lower_some(&mut self, wants: &Wants, many: i64, but: &[usize]) {
        for _ in 0..many.max(0) {
            let gives = |b: &Borrower| {
                let mut cells = b.cells.iter().enumerate();
                cells.any(|(at, c)| c.lent > 0 && !but.contains(&at))
            };
            let most = self
                .borrowers
                .iter_mut()
                .filter(|(id, b)| b.total() > wants.get(*id).copied().unwrap_or(0) && gives(b))
                .max_by_key(|(id, b)| b.total() - wants.get(*id).copied().unwrap_or(0));
            let Some((_, b)) = most else { return };
            let lots = &self.lots;
            let lent = (0..lots.len()).filter(|at| b.cells[*at].lent > 0 && !but.contains(at));
            let far = lent.max_by_key(|at| (lots[*at].zone != b.zone, b.cells[*at].lent));
            let Some(at) = far else { return };
            b.lower(at);
        }
    }

    /// Lends free slots to the routers that lack most.
    pub(super) fn give(&mut self, wants: &Wants) {
        if self
            .borrowers
            .iter()
            .all(|(id, b)| lacks(wants, id, b) == 0)
        {
            return;
        }
        let mut free = self.free();
        let mut room: i64 = free.iter().map(|n| (*n).max(0)).sum();
        // What the unheard hold is only guessed, so it counts for the whole pool as well:
        // they may hold more of one replica and less of another.
        if self.borrowers.values().any(|b| self.unheard(b)) {
            room = free.iter().sum();
        }
        for _ in 0..room.max(0) {
            let lacking = self
                .borrowers
                .iter_mut()
                .filter(|(id, b)| lacks(wants, id, b) > 0 && b.helped(&free));
            let most = lacking.max_by_key(|(id, b)| lacks(wants, id, b));
            let Some((_, b)) = most else { return };
            let lots = &self.lots;
            let open = (0..lots.len()).filter(|at| free[*at] > 0 && !b.cells[*at].shunned);
            let near = open.max_by_key(|at| (lots[*at].zone == b.zone, free[*at]));
            let Some(at) = near else { return };
            b.raise(at);
            free[at] -= 1;
        }
    }
}

/// Returns how many slots a router has too few.
fn lacks(wants: &Wants, id: &RouterId, b: &Borrower) -> u32 {
    let want = wants.get(id).copied().unwrap_or(0);
    want.saturating_sub(b.total())
}
