//! Which order comes next, by configuration and policy.

use bluebell_core::{
    config::ServiceTarget,
    ids::ModelName,
    records::{DutyName, OrderBody},
};
use bluebell_daemon::logs::LogLine;
use bluebell_endpoint::api::EngineStatus;
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
    let asked = ask_engines(context).await;
    let own = asked
        .iter()
        .filter(|asked| asked.listing.failure_domain == *domain);
    for AskedEngine { listing, status } in own {
        if let Some(model) = model_to_load(context, listing, status.as_ref())
            && fetch_weights(context, listing, &model).await
        {
            let reason = format!("`{}` is served by `{model}`", listing.service);
            let endpoint = listing.endpoint.clone();
            return Some((OrderBody::LoadModel { endpoint, model }, reason));
        }
    }
    role_plan::next_role(context, domain, &asked)
}

/// An engine that the platform lists as ready, and what it says of itself.
#[derive(Clone, Debug)]
pub struct AskedEngine {
    /// Its listing.
    pub listing: EndpointListing,
    /// Its own word; none if it can't be asked.
    pub status: Option<EngineStatus>,
}

/// Asks all engines that the platform lists as ready. The list may name the model
/// that an engine had when it was started: an engine that is judged by it would
/// be ordered to load a model again and again.
async fn ask_engines(context: &DutyContext) -> Vec<AskedEngine> {
    let listings = context.directory.listings().into_iter();
    let asked = listings
        .filter(engines::is_ready_engine)
        .map(|listing| async {
            let status = context.engines.status(&listing.address).await.ok();
            AskedEngine { listing, status }
        });
    futures::future::join_all(asked).await
}

/// The model that the configuration wants where another is loaded.
fn model_to_load(
    context: &DutyContext,
    listing: &EndpointListing,
    status: Option<&EngineStatus>,
) -> Option<ModelName> {
    let status = status?;
    let wanted = context.node.with_view(|view| {
        let service = view.configuration.service(&listing.service)?;
        match &service.target {
            ServiceTarget::Model { model, .. } => Some(model.clone()),
            ServiceTarget::Plain {} => None,
        }
    })?;
    (status.model != wanted && !status.changing).then_some(wanted)
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
