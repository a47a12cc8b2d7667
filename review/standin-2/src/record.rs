//! What a case writes to `record.txt`: events with their time since the start of the case.

use std::fmt::Write as _;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(u64, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            lines: Arc::default(),
        }
    }

    /// Returns the milliseconds since the start.
    pub fn now(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    pub fn add(&self, text: impl Into<String>) {
        self.add_at(self.now(), text);
    }

    pub fn add_at(&self, at: u64, text: impl Into<String>) {
        self.lines.lock().unwrap().push((at, text.into()));
    }

    pub fn sleep_until(&self, at: u64) {
        std::thread::sleep(Duration::from_millis(at.saturating_sub(self.now())));
    }

    pub fn write_to(&self, path: &Path) -> std::io::Result<()> {
        let mut lines = self.lines.lock().unwrap();
        lines.sort();
        let mut text = String::new();
        for (at, line) in lines.iter() {
            let _ = writeln!(text, "{:9.3} s  {line}", *at as f64 / 1e3);
        }
        std::fs::write(path, text)
    }
}
