//! Requests that wait until the endpoints of their service have room.
//!
//! A service is *contended* from the time when all its endpoints refused a request for lack of room
//! until they are expected to have room and its queue is empty. Until then requests wait in one
//! [`crate::admission::AdmissionQueue`]: the most urgent rank first, in a rank those that were
//! refused before, then the organisation that was served least, in an organisation the earliest
//! deadline. A request that would start too late is refused at once. While a service is not
//! contended, its requests are not counted here.

mod estimate;
mod queue;
mod returns;

pub use self::{
    estimate::RoomEstimate,
    queue::{RoomDecision, RoomQueue, RoomRequest, WaitingCounts},
    returns::ReturnSchedule,
};
