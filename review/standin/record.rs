//! What was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record {
            started: Instant::now(),
            file: Mutex::new(File::create(path)?),
        })
    }

    pub fn note(&self, text: &str) {
        let seconds = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{seconds:8.3} s  {text}");
    }

    /// Notes a line and prints it as well.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.note(text);
    }
}
