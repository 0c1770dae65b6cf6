//! Accounts for the bytes that this instance holds for callers and endpoints.
//!
//! [`MemoryBudget`] decides; here are the guards that release what a request held when it
//! ends in any way, and the bytes that release their share when they have been written.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use bluebell_core::{
    clock::ClockSource,
    ids::{OrganisationId, RequestId},
    memory::{HoldId, MemoryBudget, MemoryRefusal, MemoryStatus},
    units::ByteSize,
};
use bluebell_daemon::logs::LogLine;
use bytes::Bytes;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::shared::Shared;

/// The share of the process's memory limit for bodies and answers, in percent. The rest is
/// for the state of the fleet, connections and buffers.
const BUDGET_PERCENT: u64 = 40;

/// How often an answer that waits for memory checks for stalled callers.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The budget of this instance, and the callers that can be disconnected.
#[derive(Debug)]
pub struct MemoryAccount {
    budget: Shared<MemoryBudget>,
    callers: Shared<BTreeMap<HoldId, AnsweredCaller>>,
    /// Wakes answers that wait for memory.
    released: Notify,
    clock: ClockSource,
}

/// A caller to whom an answer is being delivered.
#[derive(Clone, Debug)]
pub struct AnsweredCaller {
    /// The request, for the log.
    pub request: RequestId,
    /// The organisation of the request.
    pub organisation: Option<OrganisationId>,
    /// Closes the connection of the caller when cancelled.
    pub connection: CancellationToken,
}

impl MemoryAccount {
    /// The account of a process with a memory limit of `memory_mb` MB.
    pub fn new(memory_mb: u64, clock: ClockSource) -> Arc<MemoryAccount> {
        let limit = ByteSize::new(memory_mb * 1_000_000 * BUDGET_PERCENT / 100);
        Arc::new(MemoryAccount {
            budget: Shared::new(MemoryBudget::new(limit)),
            callers: Shared::new(BTreeMap::new()),
            released: Notify::new(),
            clock,
        })
    }

    /// Holds `size` for the body of a request of `organisation`.
    pub fn admit(
        self: &Arc<Self>,
        organisation: Option<&OrganisationId>,
        size: ByteSize,
    ) -> Result<RequestMemory, MemoryRefusal> {
        let admitted = self.budget.lock().admit(organisation, size);
        match admitted {
            Ok(id) => Ok(RequestMemory {
                account: Arc::clone(self),
                id,
            }),
            Err(refusal) => {
                self.disconnect_stalled(refusal.missing);
                Err(refusal)
            }
        }
    }

    /// Starts to account for the answer to `caller`.
    pub fn start_answer(self: &Arc<Self>, caller: AnsweredCaller) -> AnswerMemory {
        let id = self
            .budget
            .lock()
            .start_answer(caller.organisation.as_ref());
        self.callers.lock().insert(id, caller);
        let hold = AnswerHold {
            account: Arc::clone(self),
            id,
        };
        AnswerMemory(Arc::new(hold))
    }

    /// What is held.
    pub fn status(&self) -> MemoryStatus {
        self.budget.lock().status()
    }

    fn release(&self, id: HoldId) {
        self.budget.lock().release(id);
        self.released.notify_waiters();
    }

    fn disconnect_stalled(&self, missing: ByteSize) {
        let now = self.clock.now();
        let stalled = self.budget.lock().stalled_callers(now, missing);
        let callers = self.callers.lock();
        for caller in stalled.iter().filter_map(|id| callers.get(id)) {
            if caller.connection.is_cancelled() {
                continue;
            }
            caller.connection.cancel();
            LogLine::new("caller_disconnected")
                .with("request", &caller.request)
                .with("reason", "the answer is not read and its memory is needed")
                .with("held", self.status().held)
                .with("missing", missing)
                .warn();
        }
    }
}

/// What is held for the body of a request; released when dropped.
#[derive(Debug)]
pub struct RequestMemory {
    account: Arc<MemoryAccount>,
    id: HoldId,
}

impl RequestMemory {
    /// Holds `size` more.
    pub fn grow(&self, size: ByteSize) -> Result<(), MemoryRefusal> {
        self.account.budget.lock().grow(self.id, size)
    }

    /// Returns `bytes`, with which the memory is released when the last copy is dropped.
    pub fn attach(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(HeldBody {
            bytes,
            _memory: self,
        })
    }
}

impl Drop for RequestMemory {
    fn drop(&mut self) {
        self.account.release(self.id);
    }
}

struct HeldBody {
    bytes: Bytes,
    _memory: RequestMemory,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// What is held of the answer to one caller. Copies share one account.
#[derive(Clone, Debug)]
pub struct AnswerMemory(Arc<AnswerHold>);

#[derive(Debug)]
struct AnswerHold {
    account: Arc<MemoryAccount>,
    id: HoldId,
}

impl AnswerMemory {
    /// Holds `bytes` until the caller has read them. Waits until there is room, so that no
    /// more is read from the endpoint, and disconnects stalled callers that take it up.
    pub async fn hold(&self, bytes: Bytes) -> Bytes {
        let AnswerHold { account, id } = &*self.0;
        let size = ByteSize::new(bytes.len() as u64);
        loop {
            let released = account.released.notified();
            let held = account.budget.lock().hold_answer(*id, size);
            let Err(missing) = held else { break };
            account.disconnect_stalled(missing);
            let _ = tokio::time::timeout(STALL_CHECK_INTERVAL, released).await;
        }
        Bytes::from_owner(HeldPiece {
            bytes,
            memory: self.clone(),
        })
    }

    /// Records that the caller may now read what is held.
    pub fn offer(&self) {
        let now = self.0.account.clock.now();
        self.0.account.budget.lock().note_offered(now, self.0.id);
    }
}

impl Drop for AnswerHold {
    fn drop(&mut self) {
        self.account.callers.lock().remove(&self.id);
        self.account.release(self.id);
    }
}

struct HeldPiece {
    bytes: Bytes,
    memory: AnswerMemory,
}

impl AsRef<[u8]> for HeldPiece {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for HeldPiece {
    fn drop(&mut self) {
        let AnswerHold { account, id } = &*self.memory.0;
        let size = ByteSize::new(self.bytes.len() as u64);
        let now = account.clock.now();
        account.budget.lock().note_read(now, *id, size);
        account.released.notify_waiters();
    }
}
