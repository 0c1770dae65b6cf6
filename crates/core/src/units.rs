//! Sizes, rates and counts of the domain, one newtype each.

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
            /// None at all.
            pub const ZERO: $name = $name(0);

            /// This many.
            pub const fn new(count: u64) -> $name {
                $name(count)
            }

            /// How many.
            pub const fn count(self) -> u64 {
                self.0
            }

            /// This less `other`, or zero.
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
    /// Work in milliseconds of one engine's time.
    WorkCost, "ms-engine");
number_unit!(
    /// A number of endpoints.
    EndpointCount, "");
number_unit!(
    /// Tokens in a second.
    TokenRate, "tok/s");
number_unit!(
    /// Requests in a second.
    RequestRate, "req/s");
number_unit!(
    /// An organisation's share of the fleet against the others'.
    ShareWeight, "");
