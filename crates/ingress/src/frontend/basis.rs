//! The configuration by which a request is decided.

use std::sync::Arc;

use bluebell_core::{
    clock::TimeSpan,
    ingress::{ConfigurationValidity, RouteTable},
};

use crate::{
    context::EntryContext,
    frontend::refusal::{Refusal, RefusalReason},
    sync,
};

/// Delay after which a caller may retry if this entry has no configuration yet, or if its
/// configuration, API keys or endpoints are out of date.
pub const SYNC_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(600);

/// The configuration in force and what may be decided by it.
#[derive(Clone, Debug)]
pub struct DecisionBasis {
    /// The route table.
    pub table: Arc<RouteTable>,
    validity: ConfigurationValidity,
}

impl DecisionBasis {
    /// Reads the configuration in force, after a wait for a confirmation that is due. Returns why
    /// nothing may be decided if that is so.
    pub async fn read(context: &EntryContext) -> Result<DecisionBasis, RefusalReason> {
        let validity = confirmed_validity(context).await;
        if let Some(reason) = refusal_reason(validity) {
            return Err(reason);
        }
        let table = context.configuration.lock().table().cloned();
        let table = table.ok_or(RefusalReason::NoConfiguration)?;
        Ok(DecisionBasis { table, validity })
    }

    /// The refusal of a request for what the configuration does not contain. Unless it is
    /// current, a newer one may contain it.
    pub fn denial(&self, reason: RefusalReason) -> Refusal {
        match self.validity {
            ConfigurationValidity::Current => Refusal::invalid_request(reason),
            _ => not_synced(RefusalReason::ConfigurationUnconfirmed),
        }
    }
}

/// The refusal of a request that may be decided once this instance is up to date.
pub fn not_synced(reason: RefusalReason) -> Refusal {
    Refusal::before_sending(reason, SYNC_RETRY_AFTER)
}

async fn confirmed_validity(context: &EntryContext) -> ConfigurationValidity {
    let validity = || context.configuration_validity(context.now());
    sync::wait_for_confirmation(context, || validity() != ConfigurationValidity::Unconfirmed).await;
    validity()
}

/// Why no request may be decided; `None` if known routes are served.
fn refusal_reason(validity: ConfigurationValidity) -> Option<RefusalReason> {
    match validity {
        ConfigurationValidity::Missing => Some(RefusalReason::NoConfiguration),
        ConfigurationValidity::Outdated => Some(RefusalReason::ConfigurationOutdated),
        ConfigurationValidity::Unconfirmed => Some(RefusalReason::ConfigurationUnconfirmed),
        ConfigurationValidity::CutOff | ConfigurationValidity::Current => None,
    }
}
