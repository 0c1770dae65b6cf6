//! Which order comes next, by configuration and policy.

use bluebell_core::{
    config::ServiceTarget,
    ids::ModelName,
    records::{DutyName, OrderBody},
};
use bluebell_daemon::logs::LogLine;
use bluebell_platform::api::{EndpointListing, WeightFetch};

use crate::{context::DutyContext, engines, role_plan};

/// The next order to an engine of the duty's failure domain, if any is wanted,
/// with its reason. Models come before roles.
pub async fn next_engine_order(
    context: &DutyContext,
    duty: &DutyName,
) -> Option<(OrderBody, String)> {
    let DutyName::Engines(domain) = duty else {
        return None;
    };
    let listings = context.directory.listings();
    let own = listings
        .iter()
        .filter(|listing| listing.failure_domain == *domain && engines::is_ready_engine(listing));
    for listing in own {
        if let Some(model) = model_to_load(context, listing)
            && fetch_weights(context, listing, &model).await
        {
            let reason = format!("`{}` is served by `{model}`", listing.service);
            let endpoint = listing.endpoint.clone();
            return Some((OrderBody::LoadModel { endpoint, model }, reason));
        }
    }
    role_plan::next_role(context, domain).await
}

/// The model that the configuration wants where another is loaded.
fn model_to_load(context: &DutyContext, listing: &EndpointListing) -> Option<ModelName> {
    let wanted = context.node.with_view(|view| {
        let service = view.configuration.service(&listing.service)?;
        match &service.target {
            ServiceTarget::Model { model, .. } => Some(model.clone()),
            ServiceTarget::Plain {} => None,
        }
    })?;
    (listing.model.as_ref() != Some(&wanted)).then_some(wanted)
}

/// The weights are fetched before the engine is drained: the store is limited in
/// rate, and an engine that waits for it serves nobody.
async fn fetch_weights(
    context: &DutyContext,
    listing: &EndpointListing,
    model: &ModelName,
) -> bool {
    let fetch = WeightFetch {
        endpoint: listing.endpoint.clone(),
        model: model.clone(),
    };
    match context.node.platform().fetch_weights(&fetch).await {
        Ok(()) => true,
        Err(error) => {
            LogLine::new("weights_not_fetched")
                .with("endpoint", &listing.endpoint)
                .with("error", &error)
                .debug();
            false
        }
    }
}
