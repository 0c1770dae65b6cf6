//! Marks outside of a change: reclaimed endpoints, and marks left behind.

use bluebell_core::{
    ids::EndpointId,
    records::{DrainMarkRecord, DutyName, LogRecord, MarkState},
};
use bluebell_platform::api::{EndpointListing, EndpointState};

use crate::context::DutyContext;

/// Marks endpoints that the platform takes back, all of them in one go: their
/// notice is a few seconds, and the platform does not ask.
pub async fn mark_reclaimed(context: &DutyContext, duty: &DutyName) {
    let reclaimed =
        |listing: &EndpointListing| matches!(listing.state, EndpointState::Reclaimed { .. });
    let listings = context.directory.listings();
    let unmarked: Vec<EndpointId> = context.node.with_view(|view| {
        let wanted = listings.iter().filter(|listing| {
            reclaimed(listing) && !view.drain_marks.is_draining(&listing.endpoint)
        });
        wanted.map(|listing| listing.endpoint.clone()).collect()
    });
    let marks = unmarked.iter().map(|endpoint| async move {
        let set = set_mark(context, duty, endpoint, MarkState::Leaving).await;
        if set {
            let subjects = [endpoint.to_string()];
            let reason = "the platform takes the endpoint back";
            context.decide(duty, &subjects, "endpoint marked leaving", reason);
        }
    });
    futures::future::join_all(marks).await;
}

/// Gives endpoints work again whose change has ended, or whose predecessor left a
/// mark without an order. Endpoints that are being taken back stay marked, and
/// those that were stopped until the platform no longer lists them.
pub async fn clear_orphans(context: &DutyContext, duty: &DutyName, planned: &[&EndpointId]) {
    let marked: Vec<EndpointId> = context.node.with_view(|view| {
        let own = view.drain_marks.iter().filter(|(endpoint, mark)| {
            mark.duty == *duty
                && !planned.contains(endpoint)
                && view.orders.open_at(endpoint).is_none()
        });
        own.map(|(endpoint, _)| endpoint.clone()).collect()
    });
    for endpoint in marked {
        let listing = context.directory.listing(&endpoint);
        let wanted = match listing.map(|listing| listing.state) {
            None | Some(EndpointState::Gone) => true,
            Some(EndpointState::Reclaimed { .. }) => false,
            Some(EndpointState::Starting | EndpointState::Ready) => !context
                .node
                .with_view(|view| view.orders.was_stopped(&endpoint)),
        };
        if wanted && set_mark(context, duty, &endpoint, MarkState::Staying).await {
            let subjects = [endpoint.to_string()];
            let reason = "no change of it is under way or the platform no longer lists it";
            context.decide(duty, &subjects, "endpoint mark cleared", reason);
        }
    }
}

async fn set_mark(
    context: &DutyContext,
    duty: &DutyName,
    endpoint: &EndpointId,
    state: MarkState,
) -> bool {
    let Some(grant) = context.desk.grant(duty) else {
        return false;
    };
    let mark = DrainMarkRecord {
        endpoint: endpoint.clone(),
        state,
        duty: duty.clone(),
        fence: grant.fence,
    };
    context.append(LogRecord::Mark(mark)).await.is_some()
}
