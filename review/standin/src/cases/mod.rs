//! The cases.

pub mod event_ids;
pub mod leaving_server;
pub mod uploads;

/// A small generator of numbers, seeded by the case.
pub struct Rng(pub u64);

impl Rng {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
}
