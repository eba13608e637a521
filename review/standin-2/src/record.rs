//! What was sent, answered and run, for `record.txt`.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Instant,
};

/// Lines with the time since the start, written by all threads.
#[derive(Debug, Clone)]
pub struct Record {
    begun: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Record {
        Record {
            begun: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn note(&self, line: &str) {
        let at = self.begun.elapsed().as_secs_f64();
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.push(format!("{at:8.3} s  {line}"));
    }

    /// Prints all lines.
    pub fn print(&self) {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        for line in lines.iter() {
            println!("{line}");
        }
    }
}
