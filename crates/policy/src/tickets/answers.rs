//! Which recorded answers are kept: the newest, up to a number of bytes.

use {
    super::Ticket,
    std::collections::VecDeque, //
};

/// The order in which answers were recorded, and their bytes.
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

    /// Notes an answer and returns the tickets whose answers must go, oldest first.
    pub(super) fn push(&mut self, t: &Ticket, bytes: usize) -> Vec<Ticket> {
        self.order.push_back((t.clone(), bytes));
        self.bytes += bytes;
        let mut gone = Vec::new();
        while self.bytes > self.max {
            let Some((t, n)) = self.order.pop_front() else {
                break;
            };
            self.bytes -= n;
            gone.push(t);
        }
        gone
    }

    /// Drops the notes of answers that `kept` says are gone.
    pub(super) fn retain(&mut self, kept: impl Fn(&Ticket) -> bool) {
        self.order.retain(|(t, _)| kept(t));
        self.bytes = self.order.iter().map(|(_, n)| n).sum();
    }

    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }
}
