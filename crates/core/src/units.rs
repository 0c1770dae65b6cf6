//! Sizes, rates and counts, with one newtype for each unit.

use std::{fmt, ops::Add, str::FromStr};

use serde::{Deserialize, Serialize};

macro_rules! number_unit {
    ($(#[$doc:meta])* $name:ident, $suffix:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(u64);

        impl $name {
            /// The value 0.
            pub const ZERO: $name = $name(0);

            /// Creates a value of `count` units.
            pub const fn new(count: u64) -> $name {
                $name(count)
            }

            /// The number of units.
            pub const fn count(self) -> u64 {
                self.0
            }

            /// This value minus `other`, or zero if `other` is greater.
            pub const fn saturating_sub(self, other: $name) -> $name {
                $name(self.0.saturating_sub(other.0))
            }
        }

        impl Add for $name {
            type Output = $name;

            fn add(self, other: $name) -> $name {
                $name(self.0.saturating_add(other.0))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{}", $suffix), self.0)
            }
        }

        impl FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(text: &str) -> Result<$name, std::num::ParseIntError> {
                text.strip_suffix($suffix).unwrap_or(text).parse().map($name)
            }
        }
    };
}

number_unit!(
    /// A number of prompt or output tokens.
    TokenCount, "tok");
number_unit!(
    /// A number of bytes.
    ByteSize, "B");
number_unit!(
    /// Work, in milliseconds of the time of one engine.
    WorkCost, "ms-engine");
number_unit!(
    /// A number of endpoints.
    EndpointCount, "");
number_unit!(
    /// Tokens per second.
    TokenRate, "tok/s");
number_unit!(
    /// Requests per second.
    RequestRate, "req/s");
number_unit!(
    /// Thousandths of requests per second.
    MilliRequestRate, "mreq/s");
number_unit!(
    /// The share of the fleet of an organisation, relative to the others.
    ShareWeight, "");
