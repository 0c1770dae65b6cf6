//! Logs: one line of key=value pairs for each event.

use std::fmt::{Display, Write as _};

use log::{Level, LevelFilter};
use log4rs::{
    append::console::{ConsoleAppender, Target},
    config::{Appender, Config, Root},
    encode::pattern::PatternEncoder,
};

const PATTERN: &str = "ts={d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} level={l} target={t} {m}{n}";

/// Installs the process's logger, which writes to standard error. A second call
/// changes nothing.
pub fn install(level: LevelFilter) {
    let encoder = Box::new(PatternEncoder::new(PATTERN));
    let appender = ConsoleAppender::builder()
        .target(Target::Stderr)
        .encoder(encoder)
        .build();
    let config = Config::builder()
        .appender(Appender::builder().build("stderr", Box::new(appender)))
        .logger(log4rs::config::Logger::builder().build("rocket", LevelFilter::Error))
        .logger(log4rs::config::Logger::builder().build("_", LevelFilter::Warn))
        .logger(log4rs::config::Logger::builder().build("hyper", LevelFilter::Warn))
        .build(Root::builder().appender("stderr").build(level));
    let Ok(config) = config else { return };
    if log4rs::init_config(config).is_err() {
        log::debug!("event=logger_already_installed");
    }
}

/// A log line under construction.
#[derive(Clone, Debug)]
pub struct LogLine {
    text: String,
}

impl LogLine {
    /// A line for the event `event`.
    pub fn new(event: &str) -> LogLine {
        LogLine {
            text: format!("event={event}"),
        }
    }

    /// Adds a pair. Values with blanks, quotes or line breaks are quoted, so that an event
    /// stays on one line also with values that callers send.
    pub fn with<Value>(mut self, key: &str, value: Value) -> LogLine
    where
        Value: Display,
    {
        let value = value.to_string();
        let is_plain = !value.is_empty()
            && value
                .chars()
                .all(|c| !c.is_whitespace() && !c.is_control() && !"\"=".contains(c));
        let written = if is_plain {
            write!(self.text, " {key}={value}")
        } else {
            write!(self.text, " {key}={value:?}")
        };
        debug_assert!(written.is_ok());
        self
    }

    /// The line's text.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Writes the event at `level`.
    pub fn log(self, level: Level) {
        log::log!(target: "bluebell", level, "{}", self.text);
    }

    /// Writes the event at level info: normal operation.
    pub fn info(self) {
        self.log(Level::Info);
    }

    /// Writes the event at level warn: an operator may have to act on it.
    pub fn warn(self) {
        self.log(Level::Warn);
    }

    /// Writes the event at level debug: for developers.
    pub fn debug(self) {
        self.log(Level::Debug);
    }
}
