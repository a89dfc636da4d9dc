//! The record of a script: what was sent, answered and run.

use std::fs::File;
use std::io::Write as _;
use std::path::Path;
use std::sync::{
    Arc,
    Mutex, //
};

use tokio::time::Instant;

/// A record. Clones write to the same file.
#[derive(Clone, Debug)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> std::io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Self {
            file: Arc::new(Mutex::new(file)),
            start: Instant::now(),
        })
    }

    /// Writes a line with the time since the start.
    pub fn line(&self, text: impl std::fmt::Display) {
        let elapsed = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _no_space = writeln!(file, "{elapsed:8.3} s  {text}");
    }
}
