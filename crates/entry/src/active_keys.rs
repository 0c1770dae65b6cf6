//! Requests in progress by API key.
//!
//! Withdrawing a key must also end the requests that are already running:
//! otherwise the key's holder could go on receiving a long answer for minutes.
//! Each key in use has a token here, which is cancelled when the key is withdrawn.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use bluebell_core::{ids::KeyDigest, view::ViewEvent};
use bluebell_node::NodeHandle;
use tokio::sync::broadcast::error::RecvError;
use tokio_util::sync::CancellationToken;

#[derive(Debug, Default)]
struct ActiveKey {
    withdrawn: CancellationToken,
    requests: u64,
}

/// The API keys of the requests in progress; clones share them.
#[derive(Clone, Debug, Default)]
pub struct ActiveKeys {
    keys: Arc<Mutex<BTreeMap<KeyDigest, ActiveKey>>>,
}

/// The registration of one request under its API key; dropping it unregisters the request.
#[derive(Debug)]
pub struct KeyTicket {
    key: KeyDigest,
    withdrawn: CancellationToken,
    active_keys: ActiveKeys,
}

impl KeyTicket {
    /// The token that is cancelled when the key is withdrawn.
    pub fn withdrawn(&self) -> &CancellationToken {
        &self.withdrawn
    }
}

impl Drop for KeyTicket {
    fn drop(&mut self) {
        let mut keys = self.active_keys.keys.lock().expect("no holder panics");
        let Some(active) = keys.get_mut(&self.key) else {
            return;
        };
        active.requests -= 1;
        if active.requests == 0 {
            keys.remove(&self.key);
        }
    }
}

impl ActiveKeys {
    /// Creates an empty table.
    pub fn new() -> ActiveKeys {
        ActiveKeys::default()
    }

    /// Registers a request that uses `key`.
    pub fn register(&self, key: &KeyDigest) -> KeyTicket {
        let mut keys = self.keys.lock().expect("no holder panics");
        let active = keys.entry(key.clone()).or_default();
        active.requests += 1;
        KeyTicket {
            key: key.clone(),
            withdrawn: active.withdrawn.clone(),
            active_keys: self.clone(),
        }
    }

    fn cancel_key(&self, key: &KeyDigest) {
        let keys = self.keys.lock().expect("no holder panics");
        if let Some(active) = keys.get(key) {
            active.withdrawn.cancel();
        }
    }

    /// Cancels the requests of all keys that no longer belong to an organisation. Used
    /// after the event receiver lagged, when it may have missed a withdrawal.
    fn recheck_all(&self, node: &NodeHandle) {
        let keys = self.keys.lock().expect("no holder panics");
        node.with_view(|view| {
            for (key, active) in keys.iter() {
                if view.key_organisation(key).is_none() {
                    active.withdrawn.cancel();
                }
            }
        });
    }

    /// Cancels the requests of withdrawn keys until `token` is cancelled.
    pub async fn follow(self, node: NodeHandle, token: CancellationToken) {
        let mut events = node.subscribe();
        loop {
            let event = tokio::select! {
                () = token.cancelled() => return,
                event = events.recv() => event,
            };
            match event {
                Ok(ViewEvent::KeyRevoked { digest }) => self.cancel_key(&digest),
                Ok(_) => {}
                Err(RecvError::Lagged(_)) => self.recheck_all(&node),
                Err(RecvError::Closed) => return,
            }
        }
    }
}
