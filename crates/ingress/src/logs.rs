//! Logging that never blocks a request.
//!
//! Lines are appended to a bounded buffer, which a task writes to standard output several
//! times a second. The reader of that output may be slow; if lines were written directly,
//! a full pipe would block the whole process with all its requests. Lines that do not fit
//! are dropped and counted, and the count is written with the next lines.

use std::{
    io::Write as _,
    mem,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use log::{LevelFilter, Record};
use log4rs::{
    append::Append,
    config::{Appender, Config, Logger, Root},
};

use crate::time::wall_time;

/// Maximum size of the buffer in bytes: some seconds of lines at full load.
const MAX_BUFFER_BYTES: usize = 512 * 1_024;

/// Interval between writes of the buffer. A killed process loses at most the lines of this
/// interval.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);

#[derive(Debug, Default)]
struct LineBuffer {
    bytes: Vec<u8>,
    dropped: u64,
}

/// The buffer for lines that are not written yet; clones share it.
#[derive(Clone, Debug, Default)]
pub struct LogBuffer {
    lines: Arc<Mutex<LineBuffer>>,
}

impl LogBuffer {
    /// Removes and returns the buffered lines, followed by a line with the number of
    /// dropped lines if there are any.
    fn take_pending(&self) -> Vec<u8> {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        let mut bytes = mem::take(&mut lines.bytes);
        let dropped = mem::take(&mut lines.dropped);
        if dropped > 0 {
            let line = format!(
                "ts={} level=WARN event=log_lines_dropped count={dropped}\n",
                wall_time()
            );
            bytes.extend_from_slice(line.as_bytes());
        }
        bytes
    }

    /// Writes the buffered lines to standard output. Errors are ignored, as there is no
    /// other place to report them.
    pub fn write_pending(&self) {
        let bytes = self.take_pending();
        if bytes.is_empty() {
            return;
        }
        let mut output = std::io::stdout().lock();
        let _ = output.write_all(&bytes).and_then(|()| output.flush());
    }

    /// Writes the buffered lines periodically, on a thread that may block.
    pub async fn write_periodically(self) {
        loop {
            tokio::time::sleep(WRITE_INTERVAL).await;
            let buffer = self.clone();
            let written = tokio::task::spawn_blocking(move || buffer.write_pending()).await;
            if written.is_err() {
                return;
            }
        }
    }
}

impl Append for LogBuffer {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        if lines.bytes.len() >= MAX_BUFFER_BYTES {
            lines.dropped += 1;
            return Ok(());
        }
        let (time, level) = (wall_time(), record.level());
        writeln!(lines.bytes, "ts={time} level={level} {}", record.args())?;
        Ok(())
    }

    fn flush(&self) {}
}

/// Installs the logger of the process with the given level; libraries log errors only.
/// Fails if a logger is already installed.
pub fn install(level: LevelFilter) -> anyhow::Result<LogBuffer> {
    let buffer = LogBuffer::default();
    let errors_only = |name: &str| Logger::builder().build(name, LevelFilter::Error);
    let config = Config::builder()
        .appender(Appender::builder().build("buffer", Box::new(buffer.clone())))
        .logger(errors_only("rocket"))
        .logger(errors_only("_"))
        .logger(errors_only("hyper"))
        .logger(errors_only("reqwest"))
        .build(Root::builder().appender("buffer").build(level))?;
    log4rs::init_config(config)?;
    Ok(buffer)
}
