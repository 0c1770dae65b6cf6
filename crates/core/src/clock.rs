//! The system's own clock type, in milliseconds.
//!
//! Slices are handed a [`ClockTime`] with every message and never read a clock
//! themselves. Times of two processes are never compared; only spans measured
//! on one clock are.

use std::{
    fmt,
    ops::{Add, Sub},
    str::FromStr,
    sync::Arc,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use serde::{Deserialize, Serialize};

/// A point in time on one process's clock, in milliseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ClockTime(u64);

impl ClockTime {
    /// The time `millis` milliseconds after the clock's origin.
    pub const fn from_millis(millis: u64) -> ClockTime {
        ClockTime(millis)
    }

    /// Milliseconds since the clock's origin.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// The span from `earlier` to this time, or zero if `earlier` is later.
    pub const fn since(self, earlier: ClockTime) -> TimeSpan {
        TimeSpan(self.0.saturating_sub(earlier.0))
    }
}

impl fmt::Display for ClockTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl Add<TimeSpan> for ClockTime {
    type Output = ClockTime;

    fn add(self, span: TimeSpan) -> ClockTime {
        ClockTime(self.0.saturating_add(span.0))
    }
}

impl Sub<TimeSpan> for ClockTime {
    type Output = ClockTime;

    fn sub(self, span: TimeSpan) -> ClockTime {
        ClockTime(self.0.saturating_sub(span.0))
    }
}

/// A length of time in milliseconds; written `250ms`, `3s`, `5m` or `2h`.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct TimeSpan(u64);

impl TimeSpan {
    /// No time at all.
    pub const ZERO: TimeSpan = TimeSpan(0);

    /// A span of `millis` milliseconds.
    pub const fn from_millis(millis: u64) -> TimeSpan {
        TimeSpan(millis)
    }

    /// A span of `secs` seconds.
    pub const fn from_secs(secs: u64) -> TimeSpan {
        TimeSpan(secs * 1_000)
    }

    /// The span in milliseconds.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// The span in seconds, rounded up, as `Retry-After` wants it.
    pub const fn as_secs_ceil(self) -> u64 {
        self.0.div_ceil(1_000)
    }

    /// The span multiplied by `factor`.
    pub const fn times(self, factor: u64) -> TimeSpan {
        TimeSpan(self.0.saturating_mul(factor))
    }

    /// This span less `other`, or zero.
    pub const fn saturating_sub(self, other: TimeSpan) -> TimeSpan {
        TimeSpan(self.0.saturating_sub(other.0))
    }

    /// The span as the standard library's type, for timers.
    pub const fn as_duration(self) -> std::time::Duration {
        std::time::Duration::from_millis(self.0)
    }
}

impl Add for TimeSpan {
    type Output = TimeSpan;

    fn add(self, other: TimeSpan) -> TimeSpan {
        TimeSpan(self.0.saturating_add(other.0))
    }
}

impl fmt::Display for TimeSpan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            0 => write!(f, "0ms"),
            n if n % 3_600_000 == 0 => write!(f, "{}h", n / 3_600_000),
            n if n % 60_000 == 0 => write!(f, "{}m", n / 60_000),
            n if n % 1_000 == 0 => write!(f, "{}s", n / 1_000),
            n => write!(f, "{n}ms"),
        }
    }
}

/// A text that is no [`TimeSpan`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{text}` is not a length of time: expected a number with `ms`, `s`, `m` or `h`")]
pub struct ParseSpanError {
    text: String,
}

impl FromStr for TimeSpan {
    type Err = ParseSpanError;

    fn from_str(text: &str) -> Result<TimeSpan, ParseSpanError> {
        let error = || ParseSpanError {
            text: text.to_string(),
        };
        let digits = text.find(|c: char| !c.is_ascii_digit()).ok_or_else(error)?;
        let (number, unit) = text.split_at(digits);
        let number: u64 = number.parse().map_err(|_| error())?;
        let factor = match unit {
            "ms" => 1,
            "s" => 1_000,
            "m" => 60_000,
            "h" => 3_600_000,
            _ => return Err(error()),
        };
        number.checked_mul(factor).map(TimeSpan).ok_or_else(error)
    }
}

impl TryFrom<String> for TimeSpan {
    type Error = ParseSpanError;

    fn try_from(text: String) -> Result<TimeSpan, ParseSpanError> {
        text.parse()
    }
}

impl From<TimeSpan> for String {
    fn from(span: TimeSpan) -> String {
        span.to_string()
    }
}

/// Where a daemon gets the time from: the machine's clock, or a test's closure.
#[derive(Clone)]
pub struct ClockSource {
    read: Arc<dyn Fn() -> ClockTime + Send + Sync>,
}

impl ClockSource {
    /// A monotonic clock that starts near the wall clock's time, so that times
    /// in logs can be read by people while steps of the wall clock do no harm.
    pub fn new() -> ClockSource {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let origin = wall.as_millis() as u64;
        let start = Instant::now();
        ClockSource::with_read(move || ClockTime(origin + start.elapsed().as_millis() as u64))
    }

    /// A clock that answers what `read` returns.
    pub fn with_read<Read>(read: Read) -> ClockSource
    where
        Read: Fn() -> ClockTime + Send + Sync + 'static,
    {
        ClockSource {
            read: Arc::new(read),
        }
    }

    /// The time now.
    pub fn now(&self) -> ClockTime {
        (self.read)()
    }
}

impl Default for ClockSource {
    fn default() -> ClockSource {
        ClockSource::new()
    }
}

impl fmt::Debug for ClockSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ClockSource({})", self.now())
    }
}
