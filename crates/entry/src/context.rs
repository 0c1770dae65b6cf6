//! What all handlers and tasks of one entry share.

use std::sync::Arc;

use bluebell_core::{
    admission::{AdmissionRequest, OrganisationLimits, RefuseReason},
    attempts::RequestAttempts,
    clock::ClockTime,
    config::{OrganisationUnit, ServiceUnit},
    ids::{EndpointId, KeyDigest, OrganisationId, ServiceName},
    routing::{NoRoute, RouteRequest},
};
use bluebell_daemon::journal::{DecisionJournal, DecisionRecord};
use bluebell_node::NodeHandle;
use prometheus::IntGauge;
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    active_keys::{ActiveKeys, KeyTicket},
    caller::{CallerHeaders, RequestOptions},
    claims::ClaimBatcher,
    crash::CrashTracker,
    directory::{ChosenEndpoint, EndpointDirectory},
    metering::UsageMeter,
    metrics::EntryMetrics,
    refusal::{Refusal, RefusalCode},
    settings::EntrySettings,
    traffic::{RouteTicket, TrafficControl, WorkTicket},
    traffic_feed::sync_endpoints,
};

/// What all handlers and tasks of one entry share.
pub struct EntryContext {
    /// The settings.
    pub settings: EntrySettings,
    /// The entry's node.
    pub node: NodeHandle,
    /// Its decisions.
    pub journal: DecisionJournal,
    /// The endpoints.
    pub directory: EndpointDirectory,
    /// The way to claims in the log.
    pub claims: ClaimBatcher,
    /// What was delivered and is not recorded yet.
    pub meter: UsageMeter,
    /// What it counts.
    pub metrics: EntryMetrics,
    /// Requests in progress by key.
    pub keys: ActiveKeys,
    /// Cancelled once no new request is taken.
    pub draining: CancellationToken,
    /// Requests in progress and answers on their way.
    pub work: TaskTracker,
    /// Admission, routing and retry budgets.
    pub traffic: Arc<TrafficControl>,
    /// Requests that may crash endpoints.
    pub crashes: Arc<CrashTracker>,
}

/// A request that was let in, until it is dropped.
#[derive(Debug)]
pub struct AdmittedCaller {
    /// Whose it is.
    pub organisation: OrganisationId,
    /// The organisation's unit.
    pub unit: OrganisationUnit,
    /// What the headers ask for.
    pub options: RequestOptions,
    /// Cancelled when the key is withdrawn.
    pub ticket: KeyTicket,
}

impl std::fmt::Debug for EntryContext {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EntryContext").finish_non_exhaustive()
    }
}

impl AdmittedCaller {
    /// What the organisation may have.
    pub fn limits(&self) -> OrganisationLimits {
        OrganisationLimits {
            weight: self.unit.weight,
            max_in_flight: self.unit.max_in_flight,
        }
    }
}

impl EntryContext {
    /// The time now.
    pub fn now(&self) -> ClockTime {
        self.node.clock().now()
    }

    /// Remembers a decision for `bluebell explain`.
    pub fn record_decision<Reason>(&self, subjects: &[&str], decision: &str, reason: Reason)
    where
        Reason: Into<String>,
    {
        self.journal.record(DecisionRecord {
            at: self.now(),
            subjects: subjects.iter().map(ToString::to_string).collect(),
            decision: decision.to_string(),
            reason: reason.into(),
        });
    }

    /// Counts and remembers a refusal on its way out.
    pub fn note_refusal(&self, refusal: &Refusal) {
        self.metrics.count_refusal(refusal.code);
        let reason = format!("{}; ran: {}", refusal.message, refusal.ran.as_str());
        let subjects = [refusal.request.as_str()];
        self.record_decision(
            &subjects,
            &format!("refused {}", refusal.code.as_str()),
            reason,
        );
    }

    /// Lets a caller in by its headers, before the body is read.
    pub fn admit(&self, head: &CallerHeaders) -> Result<AdmittedCaller, Refusal> {
        if self.draining.is_cancelled() {
            return Err(head.refuse(RefusalCode::Draining, "this instance is stopping"));
        }
        let options = head.options()?;
        if !self.node.progress().caught_up {
            let message = "this instance has not read the configuration yet";
            return Err(head.refuse(RefusalCode::NotReady, message));
        }
        self.check_grace(head)?;
        // The ticket comes before the look at the keys: a withdrawal in between
        // would otherwise find nothing to end, and the request would run on.
        let ticket = self.keys.register(&options.key);
        let (organisation, unit) = self.organisation(&options.key).ok_or_else(|| {
            let message = "the key admits no organisation";
            head.refuse(RefusalCode::InvalidKey, message)
        })?;
        Ok(AdmittedCaller {
            organisation,
            unit,
            options,
            ticket,
        })
    }

    /// Refuses everything on an instance that has not heard of the log for longer
    /// than its operators allow: a key may have been withdrawn all that time ago.
    fn check_grace(&self, head: &CallerHeaders) -> Result<(), Refusal> {
        let Some(grace) = self.settings.requests.freshness_grace else {
            return Ok(());
        };
        if self.node.freshness().is_some_and(|age| age <= grace) {
            return Ok(());
        }
        let message = format!("this instance has not heard of the log for more than {grace}");
        Err(head.refuse(RefusalCode::ConfigurationStale, message))
    }

    fn organisation(&self, key: &KeyDigest) -> Option<(OrganisationId, OrganisationUnit)> {
        self.node.with_view(|view| {
            let organisation = view.key_organisation(key)?;
            let unit = view.configuration.organisation(organisation)?;
            Some((organisation.clone(), unit.clone()))
        })
    }

    /// The service that the caller names, if its organisation may use it.
    pub fn service(
        &self,
        head: &CallerHeaders,
        caller: &AdmittedCaller,
        name: &str,
    ) -> Result<(ServiceName, ServiceUnit), Refusal> {
        let unknown = || {
            let message = format!("there is no service `{}`", name.escape_debug());
            head.refuse(RefusalCode::UnknownService, message)
        };
        let name = ServiceName::new(name).map_err(|_| unknown())?;
        let unit = self
            .node
            .with_view(|view| view.configuration.service(&name).cloned());
        let unit = unit.ok_or_else(unknown)?;
        if !caller.unit.services.is_empty() && !caller.unit.services.contains(&name) {
            let message = format!(
                "organisation `{}` may not use `{name}`",
                caller.organisation
            );
            return Err(head.refuse(RefusalCode::ServiceNotAllowed, message));
        }
        Ok((name, unit))
    }

    /// Counts a request in progress.
    pub fn begin_request(&self) -> InFlightTicket {
        self.metrics.in_progress.inc();
        InFlightTicket {
            in_progress: self.metrics.in_progress.clone(),
        }
    }

    /// Waits until work may start, or refuses it. Nothing was sent yet.
    pub async fn start_work(
        &self,
        ask: AdmissionRequest,
        limits: OrganisationLimits,
        attempts: &RequestAttempts,
    ) -> Result<WorkTicket, Refusal> {
        let refusal = match self.traffic.admit(ask, limits).await {
            Ok(ticket) => {
                let subjects = [attempts.request().as_str()];
                self.record_decision(&subjects, "started", ticket.reason.clone());
                return Ok(ticket);
            }
            Err(refusal) => refusal,
        };
        let code = match refusal.reason {
            RefuseReason::DeadlineUnreachable { .. } => RefusalCode::Overloaded,
            RefuseReason::InFlightLimit { .. } => RefusalCode::OrganisationBusy,
            RefuseReason::NoCapacity => RefusalCode::NoEndpoint,
        };
        let refused = Refusal::new(code, refusal.reason.to_string(), attempts);
        Err(refused.with_retry_after(refusal.retry_after))
    }

    /// Whether the endpoint gets no new work, by the log as it is read now.
    pub fn is_leaving(&self, endpoint: &EndpointId) -> bool {
        self.node
            .with_view(|view| view.drain_marks.is_draining(endpoint))
    }

    /// Chooses an endpoint for an attempt. The router hears of marks a moment
    /// after they were read; a choice that a mark overtook is made again.
    pub fn route(&self, ask: &RouteRequest) -> Result<RoutedAttempt, NoRoute> {
        let (mut choice, mut ticket) = self.traffic.route(ask)?;
        if self.is_leaving(&choice.endpoint) {
            drop(ticket);
            sync_endpoints(self);
            (choice, ticket) = self.traffic.route(ask)?;
        }
        let Some(chosen) = self.directory.choose(&choice.endpoint) else {
            return Err(NoRoute::NoEndpoint(ask.pool.clone()));
        };
        let subjects = [ask.request.as_str(), choice.endpoint.as_str()];
        self.record_decision(&subjects, "chose endpoint", choice.reason);
        Ok(RoutedAttempt {
            chosen,
            ticket,
            prefill: choice.prefill,
        })
    }
}

/// Where an attempt goes.
pub struct RoutedAttempt {
    /// The endpoint that answers.
    pub chosen: ChosenEndpoint,
    /// The attempt's place there.
    pub ticket: RouteTicket,
    /// The engine that has the prompt first and hands its KV cache over.
    pub prefill: Option<EndpointId>,
}

/// A request in progress, until it is dropped.
#[derive(Debug)]
pub struct InFlightTicket {
    in_progress: IntGauge,
}

impl Drop for InFlightTicket {
    fn drop(&mut self) {
        self.in_progress.dec();
    }
}
