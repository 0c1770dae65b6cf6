//! What all handlers and tasks of one entry share.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Mutex,
};

use bluebell_core::{
    clock::ClockTime,
    config::{OrganisationUnit, ServiceUnit},
    ids::{EndpointId, KeyDigest, OrganisationId, ServiceName},
};
use bluebell_daemon::journal::{DecisionJournal, DecisionRecord};
use bluebell_node::NodeHandle;
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    caller::{CallerHead, CallerWish},
    claims::ClaimBatcher,
    directory::{ChosenEndpoint, EndpointDirectory, EndpointNeed},
    metering::UsageMeter,
    metrics::EntryMetrics,
    refusal::{Refusal, RefusalCode},
    running::{RunningKeys, RunningTicket},
    settings::EntrySettings,
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
    pub keys: RunningKeys,
    /// Cancelled once no new request is taken.
    pub draining: CancellationToken,
    /// Requests in progress and answers on their way.
    pub work: TaskTracker,
    /// Requests in progress by organisation.
    pub in_flight: Mutex<BTreeMap<OrganisationId, u32>>,
}

/// A request that was let in, until it is dropped.
#[derive(Debug)]
pub struct AdmittedCaller {
    /// Whose it is.
    pub organisation: OrganisationId,
    /// The organisation's unit.
    pub unit: OrganisationUnit,
    /// What the headers ask for.
    pub wish: CallerWish,
    /// Cancelled when the key is withdrawn.
    pub ticket: RunningTicket,
}

impl std::fmt::Debug for EntryContext {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EntryContext").finish_non_exhaustive()
    }
}

impl EntryContext {
    /// The time now.
    pub fn now(&self) -> ClockTime {
        self.node.clock().now()
    }

    /// Remembers a decision for `bluebell explain`.
    pub fn decided<Reason>(&self, subjects: &[&str], decision: &str, reason: Reason)
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
    pub fn refused(&self, refusal: &Refusal) {
        self.metrics.refused(refusal.code);
        let reason = format!("{}; ran: {}", refusal.message, refusal.ran.as_str());
        let subjects = [refusal.request.as_str()];
        self.decided(
            &subjects,
            &format!("refused {}", refusal.code.as_str()),
            reason,
        );
    }

    /// Lets a caller in by its headers, before the body is read.
    pub fn admit(&self, head: &CallerHead) -> Result<AdmittedCaller, Refusal> {
        if self.draining.is_cancelled() {
            return Err(head.refuse(RefusalCode::Draining, "this instance is stopping"));
        }
        let wish = head.wish()?;
        if !self.node.progress().caught_up {
            let message = "this instance has not read the configuration yet";
            return Err(head.refuse(RefusalCode::NotReady, message));
        }
        // The ticket comes before the look at the keys: a withdrawal in between
        // would otherwise find nothing to end, and the request would run on.
        let ticket = self.keys.enter(&wish.key);
        let (organisation, unit) = self.organisation(&wish.key).ok_or_else(|| {
            let message = "the key admits no organisation";
            head.refuse(RefusalCode::InvalidKey, message)
        })?;
        Ok(AdmittedCaller {
            organisation,
            unit,
            wish,
            ticket,
        })
    }

    fn organisation(&self, key: &KeyDigest) -> Option<(OrganisationId, OrganisationUnit)> {
        self.node.with_view(|view| {
            let organisation = view.keys.organisation(key)?;
            let unit = view.configuration.organisation(organisation)?;
            Some((organisation.clone(), unit.clone()))
        })
    }

    /// The service that the caller names, if its organisation may use it.
    pub fn service(
        &self,
        head: &CallerHead,
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

    /// Chooses an endpoint that stays and that is not among those avoided.
    pub fn choose(
        &self,
        need: &EndpointNeed,
        avoided: &BTreeSet<EndpointId>,
    ) -> Option<ChosenEndpoint> {
        let mut candidates = self.directory.candidates(need);
        self.node.with_view(|view| {
            candidates.retain(|slot| !view.marks.is_leaving(&slot.listing.endpoint));
        });
        candidates.retain(|slot| !avoided.contains(&slot.listing.endpoint));
        let load = |slot: &crate::directory::EndpointSlot| {
            (slot.outstanding, slot.listing.endpoint.clone())
        };
        let best = candidates.into_iter().min_by_key(load)?;
        self.directory.choose(&best.listing.endpoint)
    }

    /// Counts a request in progress, or refuses one too many.
    pub fn enter(
        self: &std::sync::Arc<Self>,
        head: &CallerHead,
        caller: &AdmittedCaller,
    ) -> Result<InFlightTicket, Refusal> {
        let mut in_flight = self.in_flight.lock().expect("no holder panics");
        let count = in_flight.entry(caller.organisation.clone()).or_default();
        if *count >= caller.unit.max_in_flight {
            let message = format!(
                "organisation `{}` has {count} requests in progress here, as many as it may",
                caller.organisation
            );
            return Err(head.refuse(RefusalCode::OrganisationBusy, message));
        }
        *count += 1;
        self.metrics.in_progress.inc();
        Ok(InFlightTicket {
            context: self.clone(),
            organisation: caller.organisation.clone(),
        })
    }
}

/// A request in progress, until it is dropped.
#[derive(Debug)]
pub struct InFlightTicket {
    context: std::sync::Arc<EntryContext>,
    organisation: OrganisationId,
}

impl Drop for InFlightTicket {
    fn drop(&mut self) {
        self.context.metrics.in_progress.dec();
        let mut in_flight = self.context.in_flight.lock().expect("no holder panics");
        if let Some(count) = in_flight.get_mut(&self.organisation) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                in_flight.remove(&self.organisation);
            }
        }
    }
}
