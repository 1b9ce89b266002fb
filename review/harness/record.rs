//! The record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::{self, Write};
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

/// Writes timestamped lines to a file. Shared by all threads of a case.
pub struct Record {
    file: Mutex<File>,
    started_at: Instant,
}

impl Record {
    /// Creates the file, or replaces it.
    pub fn create(path: &str) -> io::Result<Self> {
        Ok(Self { file: Mutex::new(File::create(path)?), started_at: Instant::now() })
    }

    /// Milliseconds since the start of the case.
    pub fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    /// Writes one line.
    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        // A record that cannot be written must not change the verdict.
        let _ = writeln!(file, "{:>7} ms  {}", self.now_ms(), text.as_ref());
    }
}
