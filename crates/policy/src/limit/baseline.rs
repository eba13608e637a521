//! One kind of time that a replica is judged by, and what it is when the replica is not full.

/// How much of the difference a lower time moves the floor; less than 1 against noise.
const LOWER_WEIGHT: f64 = 0.05;
/// A time below this part of the floor is no noise: the replica has become faster.
const SURELY_LOWER: f64 = 0.8;
/// The floor of one kind of time, and the multiples of it that matter.
#[derive(Debug)]
pub(super) struct Track {
    floor: Option<f64>,
}

impl Track {
    pub(super) fn new() -> Track {
        Track { floor: None }
    }

    /// Returns a time as a multiple of the floor, which it sets or lowers.
    pub(super) fn ratio(&mut self, time: f64) -> f64 {
        let floor = self.floor.get_or_insert(time);
        let ratio = time / *floor;
        if ratio < SURELY_LOWER {
            *floor = time;
        } else if ratio < 1.0 {
            *floor += (time - *floor) * LOWER_WEIGHT;
        }
        ratio
    }

    pub(super) fn floor(&self) -> Option<f64> {
        self.floor
    }

    /// Sets the floor to the time of a replica that is surely not full.
    pub(super) fn set(&mut self, time: f64) {
        self.floor = Some(time);
    }
}
