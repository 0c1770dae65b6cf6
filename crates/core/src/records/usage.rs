//! Usage metered by entries, and the closing of usage windows.

use serde::{Deserialize, Serialize};

use crate::{
    clock::{ClockTime, TimeSpan},
    ids::{InstanceId, LogOffset, OrganisationId, ServiceName},
    units::TokenCount,
};

/// The number of a usage window, counted from the origin of the wall clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct UsageWindow(u64);

impl UsageWindow {
    /// The window with this number.
    pub const fn new(number: u64) -> UsageWindow {
        UsageWindow(number)
    }

    /// The number of the window.
    pub const fn number(self) -> u64 {
        self.0
    }

    /// The window after this one.
    pub const fn next(self) -> UsageWindow {
        UsageWindow(self.0 + 1)
    }

    /// The window that contains `now` if windows are `length` long.
    pub fn at(now: ClockTime, length: TimeSpan) -> UsageWindow {
        UsageWindow(now.as_millis() / length.as_millis().max(1))
    }
}

impl std::fmt::Display for UsageWindow {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl std::str::FromStr for UsageWindow {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<UsageWindow, std::num::ParseIntError> {
        text.parse().map(UsageWindow)
    }
}

/// The usage of one service by one organisation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UsageLine {
    /// The organisation.
    pub organisation: OrganisationId,
    /// The service.
    pub service: ServiceName,
    /// The number of answers that were delivered, completely or in part.
    pub requests: u64,
    /// Prompt tokens of those answers.
    pub prompt_tokens: TokenCount,
    /// Output tokens delivered to the caller.
    pub output_tokens: TokenCount,
}

/// The usage that one entry metered since its last delta.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UsageDelta {
    /// The entry.
    pub entry: InstanceId,
    /// The window in which the usage was metered.
    pub window: UsageWindow,
    /// The usage by organisation and service.
    pub lines: Vec<UsageLine>,
}

/// Closes a window: its usage is the sum of the deltas before this record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WindowClose {
    /// The window.
    pub window: UsageWindow,
    /// The fencing number of the holder of the `usage` duty.
    pub fence: LogOffset,
}

/// The usage of a window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WindowUsage {
    /// The window.
    pub window: UsageWindow,
    /// Whether the window is closed and its usage frozen.
    pub frozen: bool,
    /// The usage, sorted by organisation and service.
    pub lines: Vec<UsageLine>,
}
