//! Selects the endpoint at which a request has the lowest cost.

use crate::{
    clock::{ClockTime, TimeSpan},
    config::WorkPriority,
    records::{CapacityKind, EngineRole},
    routing::{
        NoRoute, RequestRouter, RouteChoice, RouteRequest,
        table::{EndpointSlot, prefill_time},
    },
    units::TokenCount,
};

/// An endpoint that may run the request.
#[derive(Clone, Copy)]
pub(super) struct RouteCandidate<'a> {
    pub slot: &'a EndpointSlot,
    cost: TimeSpan,
    /// Rendezvous score for the prefix of the request; the highest score is preferred.
    rendezvous_score: u64,
}

/// A selected candidate and the reason for the selection.
struct ChosenSlot<'a> {
    slot: &'a EndpointSlot,
    cost: TimeSpan,
    /// Prompt tokens that the prefix cache is not expected to hold.
    uncached: TokenCount,
    reason: String,
}

/// A route and the prompt tokens that it is expected to prefill.
pub(super) struct RouteDecision {
    pub choice: RouteChoice,
    pub uncached: TokenCount,
}

impl RequestRouter {
    pub(super) fn decide(
        &self,
        now: ClockTime,
        request: &RouteRequest,
        draws: (u64, u64),
    ) -> Result<RouteDecision, NoRoute> {
        let mut candidates = self.candidates(now, request)?;
        let has_role = |role| move |c: &RouteCandidate<'_>| c.slot.entry.role == role;
        let is_decode = has_role(EngineRole::Decode);
        let mut decode_candidates: Vec<_> = candidates
            .iter()
            .filter(|c| is_decode(c))
            .copied()
            .collect();
        if decode_candidates.is_empty() {
            let is_mixed = has_role(EngineRole::Mixed);
            decode_candidates = candidates.iter().filter(|c| is_mixed(c)).copied().collect();
        }
        candidates.retain(|c| !is_decode(c));
        let mut prefill_candidates = candidates;
        // A handover adds its cost and the wait at the decode engine to what the
        // prefill costs.
        let decode = select_less_loaded(request, &decode_candidates, draws);
        if let Some(decode) = &decode {
            let extra = decode.cost + self.settings.handover_cost;
            let is_prefill_only =
                |c: &&mut RouteCandidate<'_>| c.slot.entry.role == EngineRole::Prefill;
            for candidate in prefill_candidates.iter_mut().filter(is_prefill_only) {
                candidate.cost = candidate.cost + extra;
            }
        }
        let first = self.select(request, &prefill_candidates, draws);
        match (first, decode) {
            (Some(first), Some(decode)) if first.slot.entry.role == EngineRole::Prefill => {
                Ok(split_choice(&first, &decode))
            }
            // An engine can do the other role's work, but more slowly.
            (Some(single), _) | (None, Some(single)) => Ok(single_choice(&single)),
            (None, None) => Err(NoRoute::NoEndpoint(request.pool.clone())),
        }
    }

    /// Endpoints that may run the request. Ejected endpoints are included only if all
    /// are ejected: when all have failed, the cause is more likely at this entry.
    pub(super) fn candidates(
        &self,
        now: ClockTime,
        request: &RouteRequest,
    ) -> Result<Vec<RouteCandidate<'_>>, NoRoute> {
        let available: Vec<&EndpointSlot> = self
            .table
            .pool(&request.pool)
            .iter()
            .filter(|slot| slot.is_available())
            .collect();
        if available.is_empty() {
            return Err(NoRoute::NoEndpoint(request.pool.clone()));
        }
        let ready = available.len();
        let allowed: Vec<&EndpointSlot> = available
            .into_iter()
            .filter(|s| s.accepts(request))
            .collect();
        if allowed.is_empty() {
            let pool = request.pool.clone();
            return Err(NoRoute::NoneAllowed { pool, ready });
        }
        let healthy = |slot: &&EndpointSlot| !slot.health.is_ejected(now);
        let mut usable: Vec<&EndpointSlot> = allowed.iter().copied().filter(healthy).collect();
        if usable.is_empty() {
            usable = allowed;
        }
        let candidate = |slot| RouteCandidate {
            slot,
            cost: self.cost(now, slot, request),
            rendezvous_score: request
                .prefix
                .map_or(0, |prefix| slot.rendezvous_score(prefix)),
        };
        Ok(usable.into_iter().map(candidate).collect())
    }

    /// Estimated wait at an endpoint plus the penalties for its location: the latency
    /// to another failure domain, and the use of reserved capacity by deferrable work
    /// that could run on preemptible capacity.
    fn cost(&self, now: ClockTime, slot: &EndpointSlot, request: &RouteRequest) -> TimeSpan {
        let mut cost = slot.estimated_wait(now, &self.settings);
        if slot.entry.failure_domain != self.failure_domain {
            cost = cost + self.settings.domain_latency;
        }
        let avoids_reserved = request.priority == WorkPriority::Deferrable
            && request.allows_preemptible()
            && slot.entry.capacity == CapacityKind::Reserved;
        if avoids_reserved {
            cost = cost + prefill_time(request.prompt_tokens, &self.settings);
        }
        cost
    }

    fn select<'a>(
        &self,
        request: &RouteRequest,
        candidates: &[RouteCandidate<'a>],
        draws: (u64, u64),
    ) -> Option<ChosenSlot<'a>> {
        match request.prefix {
            Some(prefix) => self.select_by_prefix(request, prefix, candidates),
            None => select_less_loaded(request, candidates, draws),
        }
    }

    /// Selects the first endpoint in the rendezvous order of the prefix whose cost is
    /// within the bound of the lowest cost. The cost is the wait plus the prefill of
    /// the uncached part of the prompt.
    fn select_by_prefix<'a>(
        &self,
        request: &RouteRequest,
        prefix: u64,
        candidates: &[RouteCandidate<'a>],
    ) -> Option<ChosenSlot<'a>> {
        let preferred = candidates.iter().max_by_key(|c| c.rendezvous_score)?;
        let uncached = |candidate: &RouteCandidate<'_>| {
            let cached = candidate.rendezvous_score == preferred.rendezvous_score
                || candidate.slot.has_recent_prefix(prefix);
            self.uncached(request.prompt_tokens, cached)
        };
        let cost = |candidate: &RouteCandidate<'_>| {
            let miss = prefill_time(uncached(candidate), &self.settings);
            candidate.cost + miss.times(u64::from(self.settings.miss_weight))
        };
        let min_cost = candidates.iter().map(&cost).min()?;
        let slack = min_cost.as_millis() * u64::from(self.settings.load_bound) / 100;
        let bound = min_cost + TimeSpan::from_millis(slack) + self.settings.running_cost.times(2);
        let within = candidates.iter().filter(|c| cost(c) <= bound);
        let chosen = within.max_by_key(|c| c.rendezvous_score)?;
        let (id, preferred_id) = (&chosen.slot.entry.endpoint, &preferred.slot.entry.endpoint);
        let reason = match id == preferred_id {
            true => format!(
                "`{id}` is preferred for the prefix: cost {}, bound {bound}",
                cost(chosen)
            ),
            false => format!(
                "`{preferred_id}` is preferred for the prefix but costs {}, above the bound {bound}; \
                 `{id}` is next: cost {}",
                cost(preferred),
                cost(chosen)
            ),
        };
        Some(ChosenSlot {
            slot: chosen.slot,
            cost: cost(chosen),
            uncached: uncached(chosen),
            reason,
        })
    }

    fn uncached(&self, prompt: TokenCount, cached: bool) -> TokenCount {
        match cached {
            true => {
                let missing = 100 - u64::from(self.settings.cached_percent.min(100));
                TokenCount::new(prompt.count() * missing / 100)
            }
            false => prompt,
        }
    }
}

/// Selects the less loaded of two endpoints given by `draws` (power of two choices).
fn select_less_loaded<'a>(
    request: &RouteRequest,
    candidates: &[RouteCandidate<'a>],
    draws: (u64, u64),
) -> Option<ChosenSlot<'a>> {
    let count = candidates.len() as u64;
    let first = draws.0.checked_rem(count)?;
    let second = match count {
        1 => first,
        _ => (first + 1 + draws.1 % (count - 1)) % count,
    };
    let (a, b) = (&candidates[first as usize], &candidates[second as usize]);
    let (chosen, other) = match a.cost <= b.cost {
        true => (a, b),
        false => (b, a),
    };
    let reason = format!(
        "`{}` costs {}, `{}` costs {}",
        chosen.slot.entry.endpoint, chosen.cost, other.slot.entry.endpoint, other.cost
    );
    Some(ChosenSlot {
        slot: chosen.slot,
        cost: chosen.cost,
        uncached: request.prompt_tokens,
        reason,
    })
}

fn single_choice(chosen: &ChosenSlot<'_>) -> RouteDecision {
    let choice = RouteChoice {
        endpoint: chosen.slot.entry.endpoint.clone(),
        prefill: None,
        reason: chosen.reason.clone(),
    };
    RouteDecision {
        choice,
        uncached: chosen.uncached,
    }
}

fn split_choice(prefill: &ChosenSlot<'_>, decode: &ChosenSlot<'_>) -> RouteDecision {
    let choice = RouteChoice {
        endpoint: decode.slot.entry.endpoint.clone(),
        prefill: Some(prefill.slot.entry.endpoint.clone()),
        reason: format!("prefill: {}; decode: {}", prefill.reason, decode.reason),
    };
    RouteDecision {
        choice,
        uncached: prefill.uncached,
    }
}
