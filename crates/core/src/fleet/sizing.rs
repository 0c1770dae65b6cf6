//! Finds the cheapest fleet that has the capacity for a demand, also after a reclaim.

use std::fmt;

use crate::{
    fleet::{FleetSettings, WorkDemand},
    units::EndpointCount,
};

/// Milliseconds of work that one endpoint does per second.
const ENDPOINT_WORK_MS: u64 = 1_000;

/// The number of endpoints of each kind of a service, over all failure domains.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetSize {
    /// Endpoints that are kept until an order stops them.
    pub reserved: EndpointCount,
    /// Endpoints that the platform may reclaim.
    pub preemptible: EndpointCount,
}

impl FleetSize {
    /// Creates a size with these numbers of endpoints.
    pub fn new(reserved: u64, preemptible: u64) -> FleetSize {
        FleetSize {
            reserved: EndpointCount::new(reserved),
            preemptible: EndpointCount::new(preemptible),
        }
    }

    /// The number of all endpoints.
    pub fn total(self) -> u64 {
        self.reserved.count() + self.preemptible.count()
    }

    /// The cost, in percent of the cost of one reserved endpoint.
    pub fn cost(self, settings: &FleetSettings) -> u64 {
        self.reserved.count() * 100 + self.preemptible.count() * settings.preemptible_price
    }
}

impl fmt::Display for FleetSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}+{}", self.reserved, self.preemptible)
    }
}

/// The number of endpoints needed for `work` at `utilisation` percent. `work` is in
/// milliseconds of one endpoint's time per second.
fn endpoints_for(work: u64, utilisation: u64) -> u64 {
    (work * 100).div_ceil(ENDPOINT_WORK_MS * utilisation.max(1))
}

/// Whether the remaining endpoints have the capacity for the work that can't wait after
/// the failure domain with the most preemptible endpoints has lost all of them. `domains`
/// is the number of failure domains that the preemptible endpoints are spread over.
pub fn survives_reclaim(
    size: FleetSize,
    demand: WorkDemand,
    domains: u64,
    settings: &FleetSettings,
) -> bool {
    let lost = size.preemptible.count().div_ceil(domains.max(1));
    let remaining = size.total() - lost;
    remaining * ENDPOINT_WORK_MS * settings.loss_utilisation >= demand.urgent().count() * 100
}

/// Whether `size` has the capacity for `demand` while all endpoints run.
pub fn has_capacity(size: FleetSize, demand: WorkDemand, settings: &FleetSettings) -> bool {
    let urgent = demand.urgent().count() * 100;
    let deferrable = demand.deferrable.count() * 100;
    // Both sides are multiplied by the utilisations, to avoid fractions.
    let needed = urgent * settings.deferrable_utilisation + deferrable * settings.utilisation;
    let offered =
        size.total() * ENDPOINT_WORK_MS * settings.utilisation * settings.deferrable_utilisation;
    let reserved = size.reserved.count() * ENDPOINT_WORK_MS * settings.utilisation;
    offered >= needed && reserved >= demand.reserved_only.count() * 100
}

/// The cheapest size that has the capacity for `demand`, also after a reclaim, and the
/// minimum number of reserved endpoints in each of `domains` failure domains. Preemptible
/// endpoints are available in `preemptible_domains` of them.
pub fn cheapest_size(
    demand: WorkDemand,
    domains: u64,
    preemptible_domains: u64,
    settings: &FleetSettings,
) -> FleetSize {
    let min_reserved = settings.min_reserved * domains;
    let urgent = endpoints_for(demand.urgent().count(), settings.utilisation);
    let deferrable = endpoints_for(demand.deferrable.count(), settings.deferrable_utilisation);
    let max_reserved = min_reserved.max(urgent + deferrable);
    let mut best = FleetSize::new(max_reserved, 0);
    if preemptible_domains == 0 {
        let fits = |reserved: &u64| has_capacity(FleetSize::new(*reserved, 0), demand, settings);
        let reserved = (min_reserved..=max_reserved)
            .find(fits)
            .unwrap_or(max_reserved);
        return FleetSize::new(reserved, 0);
    }
    for reserved in min_reserved..=max_reserved {
        // The work that may run on preemptible endpoints limits their number.
        let preemptible_work = (demand.interactive + demand.deferrable).count();
        let max_preemptible = endpoints_for(preemptible_work, settings.utilisation);
        let fits = |preemptible: &u64| {
            let size = FleetSize::new(reserved, *preemptible);
            has_capacity(size, demand, settings)
                && survives_reclaim(size, demand, preemptible_domains, settings)
        };
        let Some(preemptible) = (0..=max_preemptible).find(fits) else {
            continue;
        };
        let size = FleetSize::new(reserved, preemptible);
        if size.cost(settings) < best.cost(settings) {
            best = size;
        }
    }
    best
}
