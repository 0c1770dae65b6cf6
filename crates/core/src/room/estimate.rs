//! The room of a service, as one instance estimates it.

use crate::{
    admission::PoolCapacity,
    clock::TimeSpan,
    units::{TokenCount, TokenRate},
};

/// The cost of a request to a plain service, in units of the admission queue: its rates are whole
/// numbers, and an instance may start less than one request a second.
pub(super) const REQUEST_COST: TokenCount = TokenCount::new(1_000);

/// The endpoints of a service and those who share them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoomEstimate {
    /// Requests that the available endpoints run at once; 0 if there are none.
    pub slots: u32,
    /// Instances that send requests to the endpoints, this one included.
    pub instances: u32,
    /// Average time that an endpoint takes for a request.
    pub service_time: TimeSpan,
    /// Time until an endpoint is expected to have room.
    pub room_in: TimeSpan,
}

impl RoomEstimate {
    /// This instance's share. What other instances run is not known; the endpoints are full, so
    /// all slots count as taken.
    pub fn share(&self) -> PoolCapacity {
        let instances = self.instances.max(1);
        let service_ms = self.service_time.as_millis().max(1);
        let total_rate = u64::from(self.slots) * REQUEST_COST.count() * 1_000 / service_ms;
        PoolCapacity {
            slots: PoolCapacity::shared_slots(self.slots, instances, 0, self.slots),
            token_rate: TokenRate::new((total_rate / u64::from(instances)).max(1)),
            first_token: self.service_time,
        }
    }

    /// Average time between two requests of this instance for which room comes.
    pub(super) fn spacing(&self) -> TimeSpan {
        let rate = self.share().token_rate.count().max(1);
        TimeSpan::from_millis(REQUEST_COST.count() * 1_000 / rate)
    }
}
