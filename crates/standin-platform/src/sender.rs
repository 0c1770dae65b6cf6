//! Who sends a call, from its `User-Agent`, and whether it is cut off.

use bluebell_core::ids::{FailureDomain, InstanceId};
use rocket::{
    Request,
    http::Status,
    request::{FromRequest, Outcome},
};

use crate::{faults::PlatformFaults, state::PlatformState};

/// The sender of a call that reached the platform. Calls of senders that are
/// cut off hang and then fail without effect, so no handler sees them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct CallSender {
    pub(crate) instance: Option<InstanceId>,
    pub(crate) failure_domain: Option<FailureDomain>,
}

impl CallSender {
    fn with_agent(agent: Option<&str>) -> CallSender {
        let named = agent.and_then(|agent| agent.strip_prefix("bluebell/"));
        let Some((instance, domain)) = named.and_then(|name| name.split_once('@')) else {
            return CallSender::default();
        };
        CallSender {
            instance: instance.parse().ok(),
            failure_domain: domain.parse().ok(),
        }
    }

    fn is_cut(&self, faults: &PlatformFaults) -> bool {
        let instance_cut = self
            .instance
            .as_ref()
            .is_some_and(|instance| faults.cut_instances.contains(instance));
        let domain_cut = self
            .failure_domain
            .as_ref()
            .is_some_and(|domain| faults.cut_domains.contains(domain));
        instance_cut || domain_cut
    }
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for CallSender {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<CallSender, ()> {
        let sender = CallSender::with_agent(request.headers().get_one("User-Agent"));
        let Some(state) = request.rocket().state::<PlatformState>() else {
            return Outcome::Error((Status::InternalServerError, ()));
        };
        if !sender.is_cut(&state.faults()) {
            return Outcome::Success(sender);
        }
        state.hang().await;
        Outcome::Error((Status::BadGateway, ()))
    }
}
