//! Requests whose replicas have no room.

use super::{MAX_ATTEMPTS, PlainRun};
use crate::{
    forward::room::{self, RoomOutcome},
    frontend::RefusalReason,
};

impl PlainRun<'_> {
    /// Whether the request was refused as full, and so is every other replica.
    pub(super) fn has_no_room(&self, reason: RefusalReason) -> bool {
        reason == RefusalReason::EndpointsFull
            && self.sends < MAX_ATTEMPTS
            && room::shortage(self.context, &self.request.service).is_some()
    }

    /// Waits until the request may be sent, to any replica. Fails with the reason why it is
    /// refused instead.
    pub(super) async fn wait_for_room(&mut self) -> Result<(), &'static str> {
        let shortage = room::shortage(self.context, &self.request.service);
        let ticket = self.ticket.take();
        match room::wait(self.context, self.request, shortage, ticket).await {
            RoomOutcome::Admitted(ticket) => {
                self.ticket = Some(ticket);
                self.attempted.clear();
                Ok(())
            }
            RoomOutcome::Refused {
                reason,
                retry_after,
            } => {
                self.retry_after = Some(retry_after);
                Err(reason.label())
            }
        }
    }
}
