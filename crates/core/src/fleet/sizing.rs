//! The cheapest fleet that carries a demand and survives a reclaim.

use std::fmt;

use crate::{
    fleet::{FleetSettings, WorkDemand},
    units::EndpointCount,
};

/// Milliseconds that one endpoint works in a second.
const ENDPOINT_WORK: u64 = 1_000;

/// How many endpoints of each kind a service has, over all failure domains.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetSize {
    /// Endpoints that are kept until we stop them.
    pub reserved: EndpointCount,
    /// Endpoints that can be reclaimed.
    pub preemptible: EndpointCount,
}

impl FleetSize {
    /// A size of this many endpoints of each kind.
    pub fn new(reserved: u64, preemptible: u64) -> FleetSize {
        FleetSize {
            reserved: EndpointCount::new(reserved),
            preemptible: EndpointCount::new(preemptible),
        }
    }

    /// All endpoints.
    pub fn total(self) -> u64 {
        self.reserved.count() + self.preemptible.count()
    }

    /// What it costs, in percent of one reserved endpoint.
    pub fn cost(self, settings: &FleetSettings) -> u64 {
        self.reserved.count() * 100 + self.preemptible.count() * settings.preemptible_price
    }
}

impl fmt::Display for FleetSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}+{}", self.reserved, self.preemptible)
    }
}

/// How many endpoints `work` keeps busy at `utilisation` percent.
fn endpoints_for(work: u64, utilisation: u64) -> u64 {
    (work * 100).div_ceil(ENDPOINT_WORK * utilisation.max(1))
}

/// Whether the endpoints that are left carry what can't wait, once the failure
/// domain with most preemptible ones has lost them all. `domains` is how many
/// failure domains the preemptible endpoints are spread over.
pub fn survives_reclaim(
    size: FleetSize,
    demand: WorkDemand,
    domains: u64,
    settings: &FleetSettings,
) -> bool {
    let lost = size.preemptible.count().div_ceil(domains.max(1));
    let left = size.total() - lost;
    left * ENDPOINT_WORK * settings.loss_utilisation >= demand.urgent().count() * 100
}

/// Whether `size` carries `demand` while all of it runs.
pub fn carries(size: FleetSize, demand: WorkDemand, settings: &FleetSettings) -> bool {
    let urgent = demand.urgent().count() * 100;
    let deferrable = demand.deferrable.count() * 100;
    // In endpoints times utilisations, to stay with whole numbers.
    let needed = urgent * settings.deferrable_utilisation + deferrable * settings.utilisation;
    let offered =
        size.total() * ENDPOINT_WORK * settings.utilisation * settings.deferrable_utilisation;
    let reserved = size.reserved.count() * ENDPOINT_WORK * settings.utilisation;
    offered >= needed && reserved >= demand.reserved_only.count() * 100
}

/// The cheapest size that carries `demand`, survives a reclaim, and has the
/// least number of reserved endpoints in each of `domains` failure domains;
/// preemptible endpoints are to be had in `cheap_domains` of them.
pub fn cheapest_size(
    demand: WorkDemand,
    domains: u64,
    cheap_domains: u64,
    settings: &FleetSettings,
) -> FleetSize {
    let least = settings.min_reserved * domains;
    let urgent = endpoints_for(demand.urgent().count(), settings.utilisation);
    let deferrable = endpoints_for(demand.deferrable.count(), settings.deferrable_utilisation);
    let most = least.max(urgent + deferrable);
    let mut best = FleetSize::new(most, 0);
    if cheap_domains == 0 {
        let fits = |reserved: &u64| carries(FleetSize::new(*reserved, 0), demand, settings);
        let reserved = (least..=most).find(fits).unwrap_or(most);
        return FleetSize::new(reserved, 0);
    }
    for reserved in least..=most {
        // Work that may run on the cheaper kind is also the most that can be there.
        let cheap_work = (demand.interactive + demand.deferrable).count();
        let most_cheap = endpoints_for(cheap_work, settings.utilisation);
        let fits = |cheap: &u64| {
            let size = FleetSize::new(reserved, *cheap);
            carries(size, demand, settings)
                && survives_reclaim(size, demand, cheap_domains, settings)
        };
        let Some(cheap) = (0..=most_cheap).find(fits) else {
            continue;
        };
        let size = FleetSize::new(reserved, cheap);
        if size.cost(settings) < best.cost(settings) {
            best = size;
        }
    }
    best
}
