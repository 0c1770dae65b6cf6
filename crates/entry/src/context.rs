//! The state that all handlers and tasks of one entry share.

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

/// The state that all handlers and tasks of one entry share.
pub struct EntryContext {
    /// The settings.
    pub settings: EntrySettings,
    /// The connection to the log, the platform and the peers.
    pub node: NodeHandle,
    /// Recent decisions, for `bluebell explain`.
    pub journal: DecisionJournal,
    /// The endpoints that the platform lists.
    pub directory: EndpointDirectory,
    /// Records claims of idempotency keys in the log.
    pub claims: ClaimBatcher,
    /// Usage that was delivered and is not recorded yet.
    pub meter: UsageMeter,
    /// The Prometheus metrics.
    pub metrics: EntryMetrics,
    /// Requests in progress by API key.
    pub keys: ActiveKeys,
    /// Cancelled once no new requests are accepted.
    pub draining: CancellationToken,
    /// Tracks requests in progress and answers being sent.
    pub work: TaskTracker,
    /// Admission, routing and retry budgets.
    pub traffic: Arc<TrafficControl>,
    /// Requests that are suspected of crashing endpoints.
    pub crashes: Arc<CrashTracker>,
}

/// An admitted request; dropping it unregisters the request.
#[derive(Debug)]
pub struct AdmittedCaller {
    /// The organisation that the API key belongs to.
    pub organisation: OrganisationId,
    /// The organisation's configuration.
    pub unit: OrganisationUnit,
    /// The parsed headers.
    pub options: RequestOptions,
    /// The request's registration under its API key, cancelled when the key is withdrawn.
    pub ticket: KeyTicket,
}

impl std::fmt::Debug for EntryContext {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EntryContext").finish_non_exhaustive()
    }
}

impl AdmittedCaller {
    /// The organisation's weight and limit of requests in progress.
    pub fn limits(&self) -> OrganisationLimits {
        OrganisationLimits {
            weight: self.unit.weight,
            max_in_flight: self.unit.max_in_flight,
        }
    }
}

impl EntryContext {
    /// The current time of the node's clock.
    pub fn now(&self) -> ClockTime {
        self.node.clock().now()
    }

    /// Records a decision about `subjects` for `bluebell explain`.
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

    /// Counts a refusal and records it as a decision.
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

    /// Admits a request by its headers, before the body is read.
    ///
    /// # Errors
    ///
    /// Refuses the request when this instance is stopping or has no recent
    /// configuration, and when the headers or the API key are invalid.
    pub fn admit(&self, headers: &CallerHeaders) -> Result<AdmittedCaller, Refusal> {
        if self.draining.is_cancelled() {
            return Err(headers.refuse(RefusalCode::Draining, "this instance is stopping"));
        }
        let options = headers.options()?;
        if !self.node.progress().caught_up {
            let message = "this instance has not read the configuration yet";
            return Err(headers.refuse(RefusalCode::NotReady, message));
        }
        self.check_grace(headers)?;
        // The request is registered before the key is checked: a withdrawal between
        // the two would otherwise find no request to cancel, and it would continue.
        let ticket = self.keys.register(&options.key);
        let (organisation, unit) = self.organisation(&options.key).ok_or_else(|| {
            let message = "the API key belongs to no organisation";
            headers.refuse(RefusalCode::InvalidKey, message)
        })?;
        Ok(AdmittedCaller {
            organisation,
            unit,
            options,
            ticket,
        })
    }

    /// Refuses all requests on an instance that has had no contact with the log for
    /// longer than `requests.freshness_grace`: a key may have been withdrawn since.
    fn check_grace(&self, headers: &CallerHeaders) -> Result<(), Refusal> {
        let Some(grace) = self.settings.requests.freshness_grace else {
            return Ok(());
        };
        if self.node.freshness().is_some_and(|age| age <= grace) {
            return Ok(());
        }
        let message =
            format!("this instance has had no contact with the log for more than {grace}");
        Err(headers.refuse(RefusalCode::ConfigurationStale, message))
    }

    fn organisation(&self, key: &KeyDigest) -> Option<(OrganisationId, OrganisationUnit)> {
        self.node.with_view(|view| {
            let organisation = view.key_organisation(key)?;
            let unit = view.configuration.organisation(organisation)?;
            Some((organisation.clone(), unit.clone()))
        })
    }

    /// Looks up the service `name`.
    ///
    /// # Errors
    ///
    /// Refuses an unknown service, and one that the caller's organisation may not use.
    pub fn service(
        &self,
        headers: &CallerHeaders,
        caller: &AdmittedCaller,
        name: &str,
    ) -> Result<(ServiceName, ServiceUnit), Refusal> {
        let unknown = || {
            let message = format!("there is no service `{}`", name.escape_debug());
            headers.refuse(RefusalCode::UnknownService, message)
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
            return Err(headers.refuse(RefusalCode::ServiceNotAllowed, message));
        }
        Ok((name, unit))
    }

    /// Counts a request as in progress until the ticket is dropped.
    pub fn begin_request(&self) -> InFlightTicket {
        self.metrics.in_progress.inc();
        InFlightTicket {
            in_progress: self.metrics.in_progress.clone(),
        }
    }

    /// Waits until work may start.
    ///
    /// # Errors
    ///
    /// Refuses work that admission control rejects; nothing was sent to an endpoint.
    pub async fn start_work(
        &self,
        admission: AdmissionRequest,
        limits: OrganisationLimits,
        attempts: &RequestAttempts,
    ) -> Result<WorkTicket, Refusal> {
        let refusal = match self.traffic.admit(admission, limits).await {
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

    /// Whether the log, as far as it has been read, has a drain mark for the endpoint;
    /// such an endpoint receives no new work.
    pub fn is_leaving(&self, endpoint: &EndpointId) -> bool {
        self.node
            .with_view(|view| view.drain_marks.is_draining(endpoint))
    }

    /// Chooses an endpoint for an attempt. The router receives drain marks shortly
    /// after they were read from the log, so a choice that a mark has invalidated meanwhile
    /// is repeated once.
    ///
    /// # Errors
    ///
    /// Fails when no endpoint of the pool accepts the work.
    pub fn route(&self, route_request: &RouteRequest) -> Result<RoutedAttempt, NoRoute> {
        let (mut choice, mut ticket) = self.traffic.route(route_request)?;
        if self.is_leaving(&choice.endpoint) {
            drop(ticket);
            sync_endpoints(self);
            (choice, ticket) = self.traffic.route(route_request)?;
        }
        let Some(chosen) = self.directory.choose(&choice.endpoint) else {
            return Err(NoRoute::NoEndpoint(route_request.pool.clone()));
        };
        let subjects = [route_request.request.as_str(), choice.endpoint.as_str()];
        self.record_decision(&subjects, "chose endpoint", choice.reason);
        Ok(RoutedAttempt {
            chosen,
            ticket,
            prefill: choice.prefill,
        })
    }
}

/// The endpoints chosen for an attempt.
pub struct RoutedAttempt {
    /// The endpoint that produces the answer.
    pub chosen: ChosenEndpoint,
    /// The attempt's registration with the router.
    pub ticket: RouteTicket,
    /// The engine that processes the prompt first and hands over its KV cache, if any.
    pub prefill: Option<EndpointId>,
}

/// Counts one request as in progress until dropped.
#[derive(Debug)]
pub struct InFlightTicket {
    in_progress: IntGauge,
}

impl Drop for InFlightTicket {
    fn drop(&mut self) {
        self.in_progress.dec();
    }
}
