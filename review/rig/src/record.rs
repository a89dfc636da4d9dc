//! The lines of `record.txt`, which the driver and the engine processes append to.

use std::fs::OpenOptions;
use std::io::Write;
use std::path::{
    Path,
    PathBuf, //
};
use std::time::{
    SystemTime,
    UNIX_EPOCH, //
};

/// Milliseconds since the Unix epoch. All processes of a case run on one machine.
pub fn now_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

/// Appends lines to a record.
#[derive(Clone, Debug)]
pub struct Record(PathBuf);

impl Record {
    pub fn open(path: &Path) -> Self {
        Self(path.to_owned())
    }

    /// Begins an empty record.
    pub fn create(path: &Path) -> Self {
        std::fs::write(path, "").expect("a record");
        Self::open(path)
    }

    pub fn path(&self) -> &Path {
        &self.0
    }

    /// Writes one line, with the time in front.
    pub fn line(&self, text: &str) {
        self.line_at(now_ms(), text);
    }

    pub fn line_at(&self, at_ms: u64, text: &str) {
        let line = format!("{at_ms} {text}\n");
        let file = OpenOptions::new().append(true).create(true).open(&self.0);
        // One write call, so that lines of several processes do not mix.
        let written = file.and_then(|mut file| file.write_all(line.as_bytes()));
        written.expect("the record can be written");
    }

    /// All lines: the time and the words.
    pub fn lines(&self) -> Vec<(u64, Vec<String>)> {
        let text = std::fs::read_to_string(&self.0).expect("the record can be read");
        let lines = text.lines().filter_map(|line| {
            let mut words = line.split(' ').map(str::to_owned);
            let at = words.next()?.parse().ok()?;
            Some((at, words.collect()))
        });
        lines.collect()
    }
}
