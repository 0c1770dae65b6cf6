//! Carrying out the planner's steps: endpoint orders and stage changes of engines.

use bluebell_adapter::{
    CallError,
    duties::{EndpointOrder, OrderAnswer},
};
use bluebell_core::{
    directory::EngineStage,
    ids::EndpointId,
    leadership::LeaderGrant,
    provision::{ProvisionService, ProvisionStep},
};
use bluebell_daemon::logs::LogLine;

use crate::{
    forward,
    leader::task::{CALL_TIMEOUT, LeaderTask},
    peers::StageMessage,
};

impl LeaderTask {
    /// The steps that are to be ordered now. There are none while the state of the store here
    /// is not known to be fresh: an order from outdated state could undo a newer one.
    pub(super) fn due_steps(&mut self) -> Vec<ProvisionStep> {
        let now = self.context.now();
        if !self.context.keys_are_fresh(now) {
            return Vec::new();
        }
        let Some(table) = self.context.configuration.lock().table().cloned() else {
            return Vec::new();
        };
        let entries = self.context.peers.lock().len() + 1;
        let limited = self.context.endpoint_limits.lock().limited();
        let directory = self.context.directory.lock();
        let services = table.configuration().services.values();
        let planner = &mut self.planner;
        let mut demands = self.context.demands.lock();
        let steps = services.flat_map(|rule| {
            let service = ProvisionService {
                name: &rule.name,
                scaling: rule.scaling.as_ref(),
                engine: rule.engine.as_ref(),
                demand: demands.total(now, &rule.name),
                entries,
                limited: &limited,
            };
            planner.steps(now, service, directory.iter())
        });
        steps.collect()
    }

    /// Sends orders until the right to act expires; the planner returns the remaining steps
    /// again.
    pub(super) async fn carry_out(&mut self, steps: Vec<ProvisionStep>) -> Result<(), CallError> {
        let Some(grant) = self.append(None).await? else {
            return Ok(());
        };
        for step in steps {
            if !grant.allows(self.context.now()) {
                break;
            }
            let outcome = match &step {
                ProvisionStep::Count { .. } => self.order_count(&grant, &step).await,
                ProvisionStep::Stage { .. } => self.order_stage(&grant, &step).await,
            };
            // An order without an answer may be carried out nevertheless, so it counts as
            // sent; the planner returns the step again if it has no effect.
            self.planner.note_ordered(self.context.now(), &step);
            let mut line = LogLine::new("order")
                .with("order", format!("{step:?}"))
                .with("fence", grant.fence);
            if let Some(plan) = self.planner.stage_plan(step.service()) {
                let needs = plan.needs().unwrap_or_default();
                line = line
                    .with("prefill_need", format!("{:.2}", needs.prefill))
                    .with("run_need", format!("{:.2}", needs.run))
                    .with("runners", format!("{:?}", plan.decode_engines().values()));
            }
            match outcome {
                Ok(outcome) => {
                    line.with("outcome", &outcome).info();
                    self.note_outcome(&step, &outcome);
                }
                Err(error) => line.with("outcome", "failed").with("error", error).warn(),
            }
        }
        Ok(())
    }

    fn note_outcome(&mut self, step: &ProvisionStep, outcome: &str) {
        if outcome != UNAVAILABLE {
            return;
        }
        if let ProvisionStep::Count {
            service, domain, ..
        } = step
        {
            let now = self.context.now();
            self.planner.note_unavailable(now, service, domain);
        }
    }

    async fn order_count(
        &self,
        grant: &LeaderGrant,
        step: &ProvisionStep,
    ) -> Result<String, CallError> {
        let ProvisionStep::Count {
            service,
            domain,
            preemptible,
            count,
            ..
        } = step
        else {
            return Ok(String::new());
        };
        let order = EndpointOrder {
            service: service.clone(),
            domain: domain.clone(),
            count: *count,
            preemptible: *preemptible,
        };
        let authority = self.authority(grant);
        let ordering = self
            .client
            .order_endpoints(&authority, &order, CALL_TIMEOUT);
        Ok(match self.call_within(grant, ordering).await? {
            OrderAnswer::Accepted => "accepted".to_string(),
            OrderAnswer::Unavailable => UNAVAILABLE.to_string(),
        })
    }

    fn broadcast_stage(&self, endpoint: &EndpointId, stage: EngineStage) {
        let now = self.context.now();
        let mut engines = self.context.engines.lock();
        let Some(engine) = engines.hash(endpoint) else {
            return;
        };
        engines.stage_ordered(now, engine, stage);
        let order = StageMessage {
            engine,
            prefills: stage == EngineStage::Prefill,
        };
        self.context.peers.lock().note_stage_order(now, order);
    }

    async fn order_stage(
        &self,
        grant: &LeaderGrant,
        step: &ProvisionStep,
    ) -> Result<String, CallError> {
        let ProvisionStep::Stage {
            endpoint, stage, ..
        } = step
        else {
            return Ok(String::new());
        };
        let known = {
            let directory = self.context.directory.lock();
            let entry = directory.get(endpoint);
            entry.map(|entry| (entry.address, entry.start))
        };
        let Some((address, start)) = known else {
            return Ok("gone".to_string());
        };
        if let Some(obstacle) = forward::call_obstacle(&self.context, endpoint, start) {
            return Ok(format!("withheld, {obstacle:?}"));
        }
        // The other instances are informed first: an engine refuses requests while it
        // changes its stage.
        self.broadcast_stage(endpoint, *stage);
        let authority = self.authority(grant);
        let client = &self.context.engine_client;
        let ordering = client.order_stage(address, endpoint, *stage, &authority, CALL_TIMEOUT);
        let answer = self.call_within(grant, ordering).await?;
        Ok(format!("{answer:?}"))
    }
}

/// The outcome of an order for endpoints that the platform can't provide.
const UNAVAILABLE: &str = "unavailable";
