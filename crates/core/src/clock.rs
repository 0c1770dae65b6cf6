//! Time types in milliseconds, and the source of the current time.
//!
//! The modules of this crate get a [`ClockTime`] with every call and never read a clock
//! themselves. Times of different processes are never compared, only time spans that were
//! measured on one clock.

use std::{
    fmt,
    ops::{Add, Sub},
    str::FromStr,
    sync::Arc,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use serde::{Deserialize, Serialize};

/// A point in time on the clock of one process, in milliseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ClockTime(u64);

impl ClockTime {
    /// Creates the time `millis` milliseconds after the origin of the clock.
    pub const fn from_millis(millis: u64) -> ClockTime {
        ClockTime(millis)
    }

    /// Milliseconds since the origin of the clock.
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
    /// The empty time span.
    pub const ZERO: TimeSpan = TimeSpan(0);

    /// The longest time span.
    pub const MAX: TimeSpan = TimeSpan(u64::MAX);

    /// Creates a span of `millis` milliseconds.
    pub const fn from_millis(millis: u64) -> TimeSpan {
        TimeSpan(millis)
    }

    /// Creates a span of `secs` seconds.
    pub const fn from_secs(secs: u64) -> TimeSpan {
        TimeSpan(secs * 1_000)
    }

    /// The span in milliseconds.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// The span in seconds, rounded up, for the `Retry-After` header.
    pub const fn as_secs_ceil(self) -> u64 {
        self.0.div_ceil(1_000)
    }

    /// The span multiplied by `factor`, saturating at the maximum.
    pub const fn times(self, factor: u64) -> TimeSpan {
        TimeSpan(self.0.saturating_mul(factor))
    }

    /// This span minus `other`, or zero if `other` is longer.
    pub const fn saturating_sub(self, other: TimeSpan) -> TimeSpan {
        TimeSpan(self.0.saturating_sub(other.0))
    }

    /// The span as a standard library duration, for timers.
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

/// The error for a text that is not a valid [`TimeSpan`].
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
        let unit_start = text.find(|c: char| !c.is_ascii_digit()).ok_or_else(error)?;
        let (number, unit) = text.split_at(unit_start);
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

/// The source of the current time: the clock of the machine, or a closure in tests.
#[derive(Clone)]
pub struct ClockSource {
    read: Arc<dyn Fn() -> ClockTime + Send + Sync>,
}

impl ClockSource {
    /// Creates a monotonic clock that starts at the current wall clock time, so that times
    /// in logs are readable while steps of the wall clock have no effect.
    pub fn new() -> ClockSource {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let origin = wall.as_millis() as u64;
        let start = Instant::now();
        ClockSource::with_read(move || ClockTime(origin + start.elapsed().as_millis() as u64))
    }

    /// Creates a clock that returns the result of `read`.
    pub fn with_read<Read>(read: Read) -> ClockSource
    where
        Read: Fn() -> ClockTime + Send + Sync + 'static,
    {
        ClockSource {
            read: Arc::new(read),
        }
    }

    /// The current time.
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
