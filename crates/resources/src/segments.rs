//! Bytes in segments of one size.

use {
    crate::{
        charge::Charge, //
        limiter::Limiter,
    },
    std::{
        fmt,
        io::IoSlice, //
    },
};

/// Capacity of a segment in bytes.
pub const SEGMENT_SIZE: usize = 16 * 1024;
/// Capacity of the first segment of bytes whose length is not known.
const FIRST_CAPACITY: usize = 1024;

/// Bytes that are counted toward a limiter, in segments that are used again.
///
/// # Examples
///
/// ```
/// use resources::{Limiter, MemoryLimits, Bytes, Segments};
///
/// let limiter = Limiter::new(MemoryLimits::of(Bytes::mib(1)));
/// let mut body = Segments::new(limiter.charge(), 0);
/// body.push(&[7; 40_000]);
/// assert_eq!(body.len(), 40_000);
/// assert_eq!(body.slices().count(), 3);
/// assert_eq!(body.into_vec(), [7; 40_000]);
/// ```
pub struct Segments {
    parts: Vec<Vec<u8>>,
    len: usize,
    expected: usize,
    charge: Charge,
}

impl Segments {
    /// Creates segments for `expected` bytes, 0 if that is not known.
    pub fn new(charge: Charge, expected: usize) -> Segments {
        Segments {
            parts: Vec::new(),
            len: 0,
            expected,
            charge,
        }
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Appends bytes, whether the limiter has room or not.
    pub fn push(&mut self, mut bytes: &[u8]) {
        self.len += bytes.len();
        while !bytes.is_empty() {
            let part = self.part_with_room(bytes.len());
            let n = bytes.len().min(part.capacity() - part.len());
            part.extend_from_slice(&bytes[..n]);
            bytes = &bytes[n..];
        }
    }

    /// Returns the bytes in order.
    pub fn slices(&self) -> impl Iterator<Item = &[u8]> + Clone {
        self.parts.iter().map(Vec::as_slice)
    }

    /// Returns the bytes in order, for a vectored write.
    pub fn io_slices(&self) -> impl Iterator<Item = IoSlice<'_>> + Clone {
        self.slices().map(IoSlice::new)
    }

    /// Joins the segments. They are given back one by one, so that no two copies of all bytes are held.
    pub fn into_vec(mut self) -> Vec<u8> {
        if self.parts.len() <= 1 {
            return self.parts.pop().unwrap_or_default();
        }
        let mut all = Vec::with_capacity(self.len);
        let limiter = self.charge.limiter().clone();
        for part in self.parts.drain(..) {
            all.extend_from_slice(&part);
            give_back(&limiter, part);
        }
        all
    }

    fn part_with_room(&mut self, more: usize) -> &mut Vec<u8> {
        let full = self.parts.last().is_none_or(|p| p.len() == p.capacity());
        if full {
            self.add_part(more);
        }
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }

    fn add_part(&mut self, more: usize) {
        let first = self.expected.max(more).max(FIRST_CAPACITY);
        match self.parts.first() {
            None if first < SEGMENT_SIZE => self.parts.push(Vec::with_capacity(first)),
            // A short first part moves to a segment of full size.
            Some(short) if short.capacity() < SEGMENT_SIZE => {
                let mut part = self.charge.limiter().take_segment();
                part.extend_from_slice(short);
                self.parts = vec![part];
            }
            _ => {
                let part = self.charge.limiter().take_segment();
                self.parts.push(part);
            }
        }
        self.charge
            .resize(self.parts.iter().map(Vec::capacity).sum());
    }
}

/// Gives a segment back to be used again.
fn give_back(limiter: &Limiter, part: Vec<u8>) {
    if part.capacity() == SEGMENT_SIZE {
        limiter.give_segment(part);
    }
}

impl Drop for Segments {
    fn drop(&mut self) {
        let limiter = self.charge.limiter().clone();
        for part in self.parts.drain(..) {
            give_back(&limiter, part);
        }
    }
}

impl fmt::Debug for Segments {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Segments")
            .field("len", &self.len)
            .finish_non_exhaustive()
    }
}
