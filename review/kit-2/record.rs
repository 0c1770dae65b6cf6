//! The file in which a case records what was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// A record; clones write to the same file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record {
            file: Arc::new(Mutex::new(File::create(path)?)),
            started: Instant::now(),
        })
    }

    /// Writes a line with the time since the start, and shows it.
    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}", self.started.elapsed().as_secs_f64());
        println!("{line}");
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{line}");
    }
}
