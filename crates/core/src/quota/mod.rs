//! Rate limits of organisations, which all instances enforce together.
//!
//! The operators check a limit in sliding windows over the requests at all instances, and
//! tolerate some excess. The callers of an organisation reach several instances, and no
//! instance decides for the others: each [`RateLimiter`] keeps its own estimate of the
//! usage within the window. It counts what it admits itself at once, and what the others
//! admit when they report it.
//!
//! * **Reports.** Instances report sums since their start ([`UsageReport`]), so a lost or
//!   late datagram is made up for by the next one. Between failure domains, one of a few
//!   representatives reports the sum of its domain ([`RateLimiter::domain_reports`]).
//! * **Proportional admission.** As the usage approaches the limit, all instances admit the
//!   same fraction of the tokens, and large requests less often than small ones. They learn
//!   of each other's usage with a delay; if each admitted everything while there is room,
//!   the fleet would exceed the limit by what arrives during the delay, again and again.
//! * **Partitions.** An instance uses the limit only in proportion to the instances whose
//!   usage is known to it ([`FleetSize`]). The partitions of a fleet stay within the limit together, whatever each of them admits.
//! * **Restarts.** An instance that starts does not know what was used before, and assumes
//!   that it was all that is allowed, evenly over the window. Instances that restart
//!   together therefore do not use the limit a second time.

mod average;
mod coverage;
mod limit;
mod limiter;
mod reports;
mod shedding;
mod usage;
mod window;

pub use self::{
    coverage::FleetSize,
    limit::{LimitUnit, QuotaBounds, RateLimit},
    limiter::{QuotaDecision, QuotaStatus, RateLimiter},
    reports::{OrganisationHash, ReportSource, UsageReport, UsageSums},
};
