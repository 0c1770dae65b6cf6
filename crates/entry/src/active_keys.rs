//! Requests in progress by the key that they came with.
//!
//! A withdrawn key must also end what is already running: otherwise whoever
//! holds the key keeps a long answer coming for minutes. Each key in use has a
//! token here that its withdrawal cancels.

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
    lost: CancellationToken,
    requests: u64,
}

/// The keys in use; clones share them.
#[derive(Clone, Debug, Default)]
pub struct ActiveKeys {
    keys: Arc<Mutex<BTreeMap<KeyDigest, ActiveKey>>>,
}

/// One request in progress, until it is dropped.
#[derive(Debug)]
pub struct KeyTicket {
    key: KeyDigest,
    lost: CancellationToken,
    running: ActiveKeys,
}

impl KeyTicket {
    /// Cancelled when the key is withdrawn.
    pub fn withdrawn(&self) -> &CancellationToken {
        &self.lost
    }
}

impl Drop for KeyTicket {
    fn drop(&mut self) {
        let mut keys = self.running.keys.lock().expect("no holder panics");
        let Some(running) = keys.get_mut(&self.key) else {
            return;
        };
        running.requests -= 1;
        if running.requests == 0 {
            keys.remove(&self.key);
        }
    }
}

impl ActiveKeys {
    /// No request yet.
    pub fn new() -> ActiveKeys {
        ActiveKeys::default()
    }

    /// Notes a request that came with `key`.
    pub fn register(&self, key: &KeyDigest) -> KeyTicket {
        let mut keys = self.keys.lock().expect("no holder panics");
        let running = keys.entry(key.clone()).or_default();
        running.requests += 1;
        KeyTicket {
            key: key.clone(),
            lost: running.lost.clone(),
            running: self.clone(),
        }
    }

    fn lose(&self, key: &KeyDigest) {
        let keys = self.keys.lock().expect("no holder panics");
        if let Some(running) = keys.get(key) {
            running.lost.cancel();
        }
    }

    /// Ends the work of keys that no longer admit anyone. A receiver that lagged
    /// behind may have missed a withdrawal, so it looks at all keys again.
    fn look_again(&self, node: &NodeHandle) {
        let keys = self.keys.lock().expect("no holder panics");
        node.with_view(|view| {
            for (key, running) in keys.iter() {
                if view.key_organisation(key).is_none() {
                    running.lost.cancel();
                }
            }
        });
    }

    /// Follows the view until `token` is cancelled.
    pub async fn follow(self, node: NodeHandle, token: CancellationToken) {
        let mut events = node.subscribe();
        loop {
            let event = tokio::select! {
                () = token.cancelled() => return,
                event = events.recv() => event,
            };
            match event {
                Ok(ViewEvent::KeyRevoked { digest }) => self.lose(&digest),
                Ok(_) => {}
                Err(RecvError::Lagged(_)) => self.look_again(&node),
                Err(RecvError::Closed) => return,
            }
        }
    }
}
