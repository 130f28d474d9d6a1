//! Stand-ins for the review's scripts. Written from the pages alone; they share no code with the project.

pub mod fleet;
pub mod http;
pub mod server;

use std::sync::{Arc, Mutex};
use std::time::Instant;

/// What was sent, answered and run, in order. It becomes `record.txt`.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(f64, String)>>>,
}

impl Record {
    pub fn new() -> Record {
        Record {
            start: Instant::now(),
            lines: Arc::new(Mutex::new(Vec::new())),
        }
    }

    /// Milliseconds since the start of the script.
    pub fn now_ms(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1_000.0
    }

    pub fn add(&self, line: String) {
        let mut lines = self.lines.lock().unwrap();
        let at = self.now_ms();
        lines.push((at, line));
    }

    pub fn save(&self, path: &std::path::Path) {
        let text: String = self
            .lines
            .lock()
            .unwrap()
            .iter()
            .map(|(at, line)| format!("{at:10.3} ms  {line}\n"))
            .collect();
        std::fs::write(path, text).expect("record.txt can be written");
    }
}

impl Default for Record {
    fn default() -> Self {
        Record::new()
    }
}

/// Whether the disruption is on: `TROUBLE=0` leaves it out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A small generator of random numbers (xorshift), so that runs differ by their seed alone.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// True with this probability.
    pub fn chance(&mut self, probability: f64) -> bool {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64 <= probability
    }
}
