//! What was sent, answered and run, with times in ms since the start.

use std::{
    fs::File,
    io::Write,
    sync::{Mutex, OnceLock},
    time::Instant,
};

static RECORD: OnceLock<(Instant, Mutex<File>)> = OnceLock::new();

pub fn open(folder: &str, has_trouble: bool) {
    let path = format!("{folder}/record.txt");
    let file = File::create(&path).unwrap_or_else(|error| {
        eprintln!("cannot write {path}: {error}");
        std::process::exit(2)
    });
    let _ = RECORD.set((Instant::now(), Mutex::new(file)));
    line(&format!("record: trouble {}", u8::from(has_trouble)));
}

/// Milliseconds since the start.
pub fn now() -> u64 {
    RECORD
        .get()
        .map_or(0, |(start, _)| start.elapsed().as_millis() as u64)
}

pub fn line(text: &str) {
    let Some((start, file)) = RECORD.get() else {
        return;
    };
    let at = start.elapsed().as_secs_f64();
    let mut file = file.lock().unwrap();
    let _ = writeln!(file, "{at:9.3} {text}");
}
