//! Copies of running requests at a second engine, kept while the first one runs them.
//!
//! A request that must not run twice is lost to its caller when its engine crashes in the middle. With a
//! copy the same run goes on at the other engine after the last event. That is no second run only if
//! the first engine works on it no longer: an engine whose connection broke may still be alive. A run
//! therefore goes on only once its engine has been found to have ended, and at its copy only, once.

use crate::{
    attempts::WorkKind,
    clock::TimeSpan,
    ids::{EndpointId, FailureDomain, RequestId},
    ingress::EngineRule,
    placement::{EndpointTarget, PromptWork},
};

/// The longest transfer of a prompt for which a copy is made. The link between two engines carries
/// hand-overs too, and callers that wait for those would wait for copies.
const MAX_TRANSFER: TimeSpan = TimeSpan::from_millis(50);

/// The largest share of an engine's memory that one copy may occupy: 1 of this many.
const MIN_COPIES_IN_MEMORY: u64 = 50;

/// Whether a copy is made of a run: it must not be repeated, the engines keep copies, and the copy is
/// small.
pub fn is_worthwhile(kind: WorkKind, rule: &EngineRule, work: &PromptWork) -> bool {
    let tokens = work.prompt.count().saturating_add(work.output.count());
    let bytes = tokens.saturating_mul(rule.token_bytes.count());
    let transfer_ms = bytes / rule.link_bytes_per_ms.max(1);
    kind == WorkKind::AtMostOnce
        && rule.has_backups
        && transfer_ms <= MAX_TRANSFER.as_millis()
        && tokens.saturating_mul(MIN_COPIES_IN_MEMORY) <= rule.memory.count()
}

/// How many engines are looked at to find one in another failure domain.
const MAX_CHOICES: usize = 5;

/// Chooses the engine for a copy of a run in `domain`. `choose` returns the best engine that is not
/// among those passed to it, with its failure domain. Engines of one failure domain often end
/// together, so one in another domain is taken if it is among the first few.
pub fn choose_copy<Choose>(domain: &FailureDomain, mut choose: Choose) -> Option<EndpointTarget>
where
    Choose: FnMut(&[EndpointId]) -> Option<(EndpointTarget, FailureDomain)>,
{
    let mut passed_over: Vec<EndpointId> = Vec::new();
    let mut best = None;
    for _ in 0..MAX_CHOICES {
        let Some((engine, engine_domain)) = choose(&passed_over) else {
            break;
        };
        if engine_domain != *domain {
            return Some(engine);
        }
        passed_over.push(engine.id.clone());
        best = best.or(Some(engine));
    }
    best
}

/// Whether an engine still works on a run whose connection broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceState {
    /// The process that ran the request has ended.
    Ended,
    /// It may still be alive.
    Unknown,
}

/// A run that is copied while it runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunBackup {
    request: RequestId,
    source: EndpointTarget,
    copy: EndpointTarget,
}

impl RunBackup {
    /// The run of `request` at `source` with a copy at `copy`. `None` if these are not two engines of
    /// one service and software version.
    pub fn new(
        request: RequestId,
        source: EndpointTarget,
        copy: EndpointTarget,
    ) -> Option<RunBackup> {
        if source.origin != copy.origin || source.id == copy.id {
            return None;
        }
        Some(RunBackup {
            request,
            source,
            copy,
        })
    }

    /// The engine that runs the request.
    pub fn source(&self) -> &EndpointTarget {
        &self.source
    }

    /// The engine that keeps the copy.
    pub fn copy(&self) -> &EndpointTarget {
        &self.copy
    }

    /// The place at which the run may go on after its connection broke; none unless its engine has
    /// ended.
    pub fn into_place(self, source: SourceState) -> Option<BackupPlace> {
        match source {
            SourceState::Ended => Some(BackupPlace {
                request: self.request,
                engine: self.copy,
            }),
            SourceState::Unknown => None,
        }
    }
}

/// The only place at which an interrupted run may go on.
#[derive(Debug, PartialEq, Eq)]
pub struct BackupPlace {
    request: RequestId,
    engine: EndpointTarget,
}

impl BackupPlace {
    /// The request whose run is copied there.
    pub fn request(&self) -> &RequestId {
        &self.request
    }

    /// The request and the engine with the copy. The place is used up.
    pub fn into_parts(self) -> (RequestId, EndpointTarget) {
        (self.request, self.engine)
    }
}
