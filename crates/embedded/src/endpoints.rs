//! Starting engine and service stand-ins as tasks of this process.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use anyhow::Context;
use bluebell_core::{
    clock::ClockSource,
    config::{ServiceTarget, UnitBody},
    ids::{EndpointId, FailureDomain, ModelName, ServiceName},
    records::CapacityKind,
};
use bluebell_platform::api::{EndpointKind, EndpointListing, EndpointState};
use standin_engine::settings::EngineSettings;
use standin_service::settings::ServiceSettings;
use tokio_util::sync::CancellationToken;

use bluebell_cli::ops::collect::UnitCollection;

/// Starts endpoints for the services of one configuration.
#[derive(Clone, Debug)]
pub struct EndpointLauncher {
    services: Arc<Vec<(ServiceName, ServiceTarget)>>,
    clock: ClockSource,
    token: CancellationToken,
    started: Arc<AtomicU64>,
}

impl EndpointLauncher {
    /// A launcher for the services in `collection`; what it starts runs until
    /// `token` is cancelled.
    pub fn new(
        collection: &UnitCollection,
        clock: ClockSource,
        token: CancellationToken,
    ) -> EndpointLauncher {
        let services = collection.units.iter().filter_map(|unit| match &unit.body {
            UnitBody::Service(service) => {
                let name = ServiceName::new(unit.name.name()).ok()?;
                Some((name, service.target.clone()))
            }
            _ => None,
        });
        let services = Arc::new(services.collect());
        EndpointLauncher {
            services,
            clock,
            token,
            started: Arc::new(AtomicU64::new(0)),
        }
    }

    /// The first service of each model, whose engines serve the others too.
    pub fn model_services(&self) -> Vec<ServiceName> {
        let mut models: Vec<&ModelName> = Vec::new();
        let mut names = Vec::new();
        for (name, target) in self.services.iter() {
            let ServiceTarget::Model { model, .. } = target else {
                continue;
            };
            if models.contains(&model) {
                continue;
            }
            models.push(model);
            names.push(name.clone());
        }
        names
    }

    /// The plain services.
    pub fn plain_services(&self) -> Vec<ServiceName> {
        let plain = |target: &ServiceTarget| matches!(target, ServiceTarget::Plain {});
        let services = self.services.iter().filter(|(_, target)| plain(target));
        services.map(|(name, _)| name.clone()).collect()
    }

    /// Starts an endpoint for `service` in `failure_domain`.
    pub async fn launch(
        &self,
        service: &ServiceName,
        failure_domain: &FailureDomain,
        capacity: CapacityKind,
    ) -> anyhow::Result<EndpointListing> {
        let known = self.services.iter().find(|(name, _)| name == service);
        let (_, target) = known.with_context(|| format!("no service is called `{service}`"))?;
        let number = self.started.fetch_add(1, Ordering::Relaxed);
        let (kind, model, address) = match target {
            ServiceTarget::Model { model, .. } => {
                let settings = EngineSettings {
                    model: model.clone(),
                    ..Default::default()
                };
                let token = self.token.child_token();
                let engine = standin_engine::start(settings, self.clock.clone(), token).await?;
                let address = engine.http_address;
                tokio::spawn(engine.run());
                (EndpointKind::Engine, Some(model.clone()), address)
            }
            ServiceTarget::Plain {} => {
                let settings = ServiceSettings::default();
                let token = self.token.child_token();
                let replica = standin_service::start(settings, self.clock.clone(), token).await?;
                let address = replica.http_address;
                tokio::spawn(replica.run());
                (EndpointKind::Plain, None, address)
            }
        };
        Ok(EndpointListing {
            endpoint: EndpointId::new(format!("{service}-{failure_domain}-{number}"))?,
            failure_domain: failure_domain.clone(),
            kind,
            capacity,
            service: service.clone(),
            model,
            address: address.to_string(),
            state: EndpointState::Ready,
            checks_fencing: true,
        })
    }
}
