//! Logs that never hold up a request.
//!
//! Lines are put into a bounded buffer, which a task writes to standard output
//! some times a second. Whoever reads that output may be slow; were a line
//! written at once, a full pipe would stop the whole process with all its
//! requests. Lines that don't fit are dropped and counted, and the count is
//! written as soon as there is room.

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

/// The most bytes that wait to be written: some seconds of lines at full load.
const BUFFER_LIMIT: usize = 512 * 1_024;

/// How often the buffer is written. A process that is killed loses the lines of
/// this time at most.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);

#[derive(Debug, Default)]
struct LineBuffer {
    bytes: Vec<u8>,
    dropped: u64,
}

/// The buffer that lines wait in.
#[derive(Clone, Debug, Default)]
pub struct LogBuffer {
    lines: Arc<Mutex<LineBuffer>>,
}

impl LogBuffer {
    /// Takes what waits, with a line on what was dropped.
    fn take(&self) -> Vec<u8> {
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

    /// Writes what waits. A failing standard output leaves nowhere to tell it.
    pub fn write_out(&self) {
        let bytes = self.take();
        if bytes.is_empty() {
            return;
        }
        let mut output = std::io::stdout().lock();
        let _ = output.write_all(&bytes).and_then(|()| output.flush());
    }

    /// Writes what waits, time and again, on a thread that may block.
    pub async fn write_regularly(self) {
        loop {
            tokio::time::sleep(WRITE_INTERVAL).await;
            let buffer = self.clone();
            let written = tokio::task::spawn_blocking(move || buffer.write_out()).await;
            if written.is_err() {
                return;
            }
        }
    }
}

impl Append for LogBuffer {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        if lines.bytes.len() >= BUFFER_LIMIT {
            lines.dropped += 1;
            return Ok(());
        }
        let (time, level) = (wall_time(), record.level());
        writeln!(lines.bytes, "ts={time} level={level} {}", record.args())?;
        Ok(())
    }

    fn flush(&self) {}
}

/// Installs the process's logger.
pub fn install(level: LevelFilter) -> anyhow::Result<LogBuffer> {
    let buffer = LogBuffer::default();
    let quiet = |name: &str| Logger::builder().build(name, LevelFilter::Error);
    let config = Config::builder()
        .appender(Appender::builder().build("buffer", Box::new(buffer.clone())))
        .logger(quiet("rocket"))
        .logger(quiet("_"))
        .logger(quiet("hyper"))
        .logger(quiet("reqwest"))
        .build(Root::builder().appender("buffer").build(level))?;
    log4rs::init_config(config)?;
    Ok(buffer)
}
