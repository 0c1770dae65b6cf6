//! What the routes share.

use std::sync::{Mutex, MutexGuard};

use bluebell_core::clock::{ClockSource, ClockTime, TimeSpan};
use rocket::http::Status;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::{
    book::EndpointBook,
    faults::{EffectCall, FaultState, LossKind, PlatformFaults},
    instances::InstanceList,
    log::RecordLog,
    settings::PlatformSettings,
    usage::UsageIntake,
    weights::WeightStore,
};

/// How long a call hangs: longer than any caller's patience.
const HANG_LIMIT: TimeSpan = TimeSpan::from_secs(20);

/// The platform's parts, each behind its own lock.
pub(crate) struct PlatformState {
    pub(crate) clock: ClockSource,
    pub(crate) log: Mutex<RecordLog>,
    pub(crate) log_end: watch::Sender<u64>,
    pub(crate) instances: Mutex<InstanceList>,
    pub(crate) endpoints: Mutex<EndpointBook>,
    pub(crate) weights: Mutex<WeightStore>,
    pub(crate) usage: Mutex<UsageIntake>,
    pub(crate) http: reqwest::Client,
    faults: Mutex<FaultState>,
    heals: watch::Sender<u64>,
    pub(crate) token: CancellationToken,
}

impl PlatformState {
    pub(crate) fn new(
        settings: &PlatformSettings,
        clock: ClockSource,
        endpoints: EndpointBook,
        token: CancellationToken,
    ) -> PlatformState {
        PlatformState {
            clock,
            log: Mutex::new(RecordLog::new(settings)),
            log_end: watch::Sender::new(0),
            instances: Mutex::new(InstanceList::new(settings)),
            endpoints: Mutex::new(endpoints),
            weights: Mutex::new(WeightStore::new(settings)),
            usage: Mutex::new(UsageIntake::new(settings)),
            http: reqwest::Client::new(),
            faults: Mutex::new(FaultState::default()),
            heals: watch::Sender::new(0),
            token,
        }
    }

    pub(crate) fn now(&self) -> ClockTime {
        self.clock.now()
    }

    pub(crate) fn faults(&self) -> PlatformFaults {
        hold(&self.faults).faults.clone()
    }

    pub(crate) fn set_faults(&self, faults: PlatformFaults) {
        hold(&self.faults).set(faults);
        self.heals.send_modify(|changes| *changes += 1);
    }

    /// Waits until the faults change, the platform stops, or no caller can
    /// still be waiting.
    pub(crate) async fn hang(&self) {
        let mut heals = self.heals.subscribe();
        tokio::select! {
            _ = heals.changed() => {}
            () = self.token.cancelled() => {}
            () = tokio::time::sleep(HANG_LIMIT.as_duration()) => {}
        }
    }

    /// Gives the answer to a call that took effect, unless that answer is lost.
    pub(crate) async fn answer<Answer>(
        &self,
        call: EffectCall,
        answer: Answer,
    ) -> Result<Answer, Status> {
        let loss = hold(&self.faults).loses(call);
        match loss {
            None => Ok(answer),
            Some(LossKind::Broken) => Err(Status::BadGateway),
            Some(LossKind::Withheld) => {
                self.hang().await;
                Err(Status::BadGateway)
            }
        }
    }
}

/// Locks `part`; no holder of these locks panics.
pub(crate) fn hold<Part>(part: &Mutex<Part>) -> MutexGuard<'_, Part> {
    part.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}
