//! Eviction of recorded answers: the newest are kept, up to a number of bytes.

use {
    super::Ticket,
    std::collections::VecDeque, //
};

/// The recorded answers in the order of recording, with their sizes.
#[derive(Debug)]
pub(super) struct Answers {
    order: VecDeque<(Ticket, usize)>,
    bytes: usize,
    max: usize,
}

impl Answers {
    pub(super) fn new(max: usize) -> Answers {
        Answers {
            order: VecDeque::new(),
            bytes: 0,
            max,
        }
    }

    /// Adds an answer and returns the tickets whose answers must be dropped, oldest first.
    pub(super) fn push(&mut self, t: &Ticket, bytes: usize) -> Vec<Ticket> {
        self.order.push_back((t.clone(), bytes));
        self.bytes += bytes;
        let mut evicted = Vec::new();
        while self.bytes > self.max {
            let Some((t, n)) = self.order.pop_front() else {
                break;
            };
            self.bytes -= n;
            evicted.push(t);
        }
        evicted
    }

    /// Removes the answers for which `kept` returns false.
    pub(super) fn retain(&mut self, kept: impl Fn(&Ticket) -> bool) {
        self.order.retain(|(t, _)| kept(t));
        self.bytes = self.order.iter().map(|(_, n)| n).sum();
    }

    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }
}
