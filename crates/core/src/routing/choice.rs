//! A choice: which endpoint costs a request least, and why.

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

/// One endpoint that could be chosen.
#[derive(Clone, Copy)]
pub(super) struct RouteCandidate<'a> {
    pub slot: &'a EndpointSlot,
    wait: TimeSpan,
    /// The place in the prefix's order; the greatest comes first.
    rendezvous: u64,
}

/// A candidate that was chosen, and why.
struct ChosenSlot<'a> {
    slot: &'a EndpointSlot,
    wait: TimeSpan,
    /// Prompt tokens that the prefix cache is not expected to hold.
    uncached: TokenCount,
    reason: String,
}

/// A choice and what it is expected to cost.
pub(super) struct WeighedChoice {
    pub choice: RouteChoice,
    pub uncached: TokenCount,
}

impl RequestRouter {
    pub(super) fn decide(
        &self,
        now: ClockTime,
        ask: &RouteRequest,
        draws: (u64, u64),
    ) -> Result<WeighedChoice, NoRoute> {
        let mut candidates = self.candidates(now, ask)?;
        let has_role = |role| move |c: &RouteCandidate<'_>| c.slot.entry.role == role;
        let decodes = has_role(EngineRole::Decode);
        let mut answering: Vec<_> = candidates.iter().filter(|c| decodes(c)).copied().collect();
        if answering.is_empty() {
            let mixes = has_role(EngineRole::Mixed);
            answering = candidates.iter().filter(|c| mixes(c)).copied().collect();
        }
        candidates.retain(|c| !decodes(c));
        let mut prompting = candidates;
        // Whoever answers after a handover, it costs that much more than to
        // answer where the prompt is.
        let decode = least_loaded(ask, &answering, draws);
        if let Some(decode) = &decode {
            let extra = decode.wait + self.settings.handover_cost;
            let only_prefills =
                |c: &&mut RouteCandidate<'_>| c.slot.entry.role == EngineRole::Prefill;
            for candidate in prompting.iter_mut().filter(only_prefills) {
                candidate.wait = candidate.wait + extra;
            }
        }
        let first = self.pick(ask, &prompting, draws);
        match (first, decode) {
            (Some(first), Some(decode)) if first.slot.entry.role == EngineRole::Prefill => {
                Ok(split_choice(&first, &decode))
            }
            // An engine can do the other role's work, only slower.
            (Some(single), _) | (None, Some(single)) => Ok(single_choice(&single)),
            (None, None) => Err(NoRoute::NoEndpoint(ask.pool.clone())),
        }
    }

    /// The endpoints that may run the request. Ejected ones only if there is no
    /// other: a picture in which all have failed is more likely our own fault.
    pub(super) fn candidates(
        &self,
        now: ClockTime,
        ask: &RouteRequest,
    ) -> Result<Vec<RouteCandidate<'_>>, NoRoute> {
        let open: Vec<&EndpointSlot> = self
            .table
            .pool(&ask.pool)
            .iter()
            .filter(|slot| slot.is_open())
            .collect();
        if open.is_empty() {
            return Err(NoRoute::NoEndpoint(ask.pool.clone()));
        }
        let ready = open.len();
        let allowed: Vec<&EndpointSlot> = open.into_iter().filter(|s| s.allows(ask)).collect();
        if allowed.is_empty() {
            let pool = ask.pool.clone();
            return Err(NoRoute::NoneAllowed { pool, ready });
        }
        let healthy = |slot: &&EndpointSlot| !slot.health.is_ejected(now);
        let mut usable: Vec<&EndpointSlot> = allowed.iter().copied().filter(healthy).collect();
        if usable.is_empty() {
            usable = allowed;
        }
        let candidate = |slot| RouteCandidate {
            slot,
            wait: self.cost(now, slot, ask),
            rendezvous: ask.prefix.map_or(0, |prefix| slot.rendezvous(prefix)),
        };
        Ok(usable.into_iter().map(candidate).collect())
    }

    /// The wait at an endpoint, with what its place costs: latency to another
    /// failure domain, and reserved capacity for work that can go to the other.
    fn cost(&self, now: ClockTime, slot: &EndpointSlot, ask: &RouteRequest) -> TimeSpan {
        let mut wait = slot.wait(now, &self.settings);
        if slot.entry.failure_domain != self.failure_domain {
            wait = wait + self.settings.domain_latency;
        }
        let spares_reserved = ask.priority == WorkPriority::Deferrable
            && ask.allows_preemptible()
            && slot.entry.capacity == CapacityKind::Reserved;
        if spares_reserved {
            wait = wait + prefill_time(ask.prompt_tokens, &self.settings);
        }
        wait
    }

    fn pick<'a>(
        &self,
        ask: &RouteRequest,
        candidates: &[RouteCandidate<'a>],
        draws: (u64, u64),
    ) -> Option<ChosenSlot<'a>> {
        match ask.prefix {
            Some(prefix) => self.by_prefix(ask, prefix, candidates),
            None => least_loaded(ask, candidates, draws),
        }
    }

    /// The first in the prefix's order that costs little more than the least
    /// costly: its wait, and the part of the prompt that its cache lacks.
    fn by_prefix<'a>(
        &self,
        ask: &RouteRequest,
        prefix: u64,
        candidates: &[RouteCandidate<'a>],
    ) -> Option<ChosenSlot<'a>> {
        let home = candidates.iter().max_by_key(|c| c.rendezvous)?;
        let uncached = |candidate: &RouteCandidate<'_>| {
            let cached =
                candidate.rendezvous == home.rendezvous || candidate.slot.remembers(prefix);
            self.uncached(ask.prompt_tokens, cached)
        };
        let cost = |candidate: &RouteCandidate<'_>| {
            let miss = prefill_time(uncached(candidate), &self.settings);
            candidate.wait + miss.times(u64::from(self.settings.miss_weight))
        };
        let least = candidates.iter().map(&cost).min()?;
        let slack = least.as_millis() * u64::from(self.settings.load_bound) / 100;
        let bound = least + TimeSpan::from_millis(slack) + self.settings.running_cost.times(2);
        let within = candidates.iter().filter(|c| cost(c) <= bound);
        let chosen = within.max_by_key(|c| c.rendezvous)?;
        let (id, home_id) = (&chosen.slot.entry.endpoint, &home.slot.entry.endpoint);
        let reason = match id == home_id {
            true => format!(
                "`{id}` holds the prefix, cost {}, bound {bound}",
                cost(chosen)
            ),
            false => format!(
                "`{home_id}` holds the prefix but costs {}, over {bound}; `{id}` is next, cost {}",
                cost(home),
                cost(chosen)
            ),
        };
        Some(ChosenSlot {
            slot: chosen.slot,
            wait: cost(chosen),
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

/// The less loaded of two that are drawn.
fn least_loaded<'a>(
    ask: &RouteRequest,
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
    let (chosen, other) = match a.wait <= b.wait {
        true => (a, b),
        false => (b, a),
    };
    let reason = format!(
        "`{}` waits {}, `{}` {}",
        chosen.slot.entry.endpoint, chosen.wait, other.slot.entry.endpoint, other.wait
    );
    Some(ChosenSlot {
        slot: chosen.slot,
        wait: chosen.wait,
        uncached: ask.prompt_tokens,
        reason,
    })
}

fn single_choice(chosen: &ChosenSlot<'_>) -> WeighedChoice {
    let choice = RouteChoice {
        endpoint: chosen.slot.entry.endpoint.clone(),
        prefill: None,
        reason: chosen.reason.clone(),
    };
    WeighedChoice {
        choice,
        uncached: chosen.uncached,
    }
}

fn split_choice(prefill: &ChosenSlot<'_>, decode: &ChosenSlot<'_>) -> WeighedChoice {
    let choice = RouteChoice {
        endpoint: decode.slot.entry.endpoint.clone(),
        prefill: Some(prefill.slot.entry.endpoint.clone()),
        reason: format!("prefill: {}; decode: {}", prefill.reason, decode.reason),
    };
    WeighedChoice {
        choice,
        uncached: prefill.uncached,
    }
}
