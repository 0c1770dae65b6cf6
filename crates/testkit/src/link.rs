//! A TCP forwarder whose connections can be cut, muted and healed.

use std::net::{Ipv4Addr, SocketAddr};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
};
use tokio_util::sync::{CancellationToken, DropGuard};

const BUFFER_BYTES: usize = 16 * 1024;

/// What a link does with bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkMode {
    /// It forwards them.
    Open,
    /// It keeps connections open and holds everything back, until healed.
    Muted,
    /// It closes connections, and new ones at once.
    Cut,
}

#[derive(Clone, Copy, Debug)]
struct LinkState {
    mode: LinkMode,
    /// Connections of an earlier generation are lost track of for good.
    generation: u64,
}

/// A link to `target`; it ends when it is dropped.
#[derive(Debug)]
pub struct CutLink {
    /// Where to connect to.
    pub address: SocketAddr,
    state: watch::Sender<LinkState>,
    _guard: DropGuard,
}

impl CutLink {
    /// Opens a link to `target`.
    pub async fn start(target: SocketAddr) -> std::io::Result<CutLink> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let state = watch::Sender::new(LinkState {
            mode: LinkMode::Open,
            generation: 0,
        });
        let token = CancellationToken::new();
        tokio::spawn(accept(listener, target, state.subscribe(), token.clone()));
        Ok(CutLink {
            address,
            state,
            _guard: token.drop_guard(),
        })
    }

    /// Changes what it does, for open connections and new ones.
    pub fn set(&self, mode: LinkMode) {
        self.state.send_modify(|state| state.mode = mode);
    }

    /// Makes the open connections silent for good, while new ones work, as when
    /// something between the two ends has lost track of them.
    pub fn lose_connections(&self) {
        self.state.send_modify(|state| state.generation += 1);
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    state: watch::Receiver<LinkState>,
    token: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            () = token.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        if let Ok((stream, _)) = accepted {
            let forward = forward(stream, target, state.clone());
            let token = token.clone();
            tokio::spawn(async move { token.run_until_cancelled(forward).await });
        }
    }
}

async fn forward(inner: TcpStream, target: SocketAddr, mut state: watch::Receiver<LinkState>) {
    let generation = state.borrow_and_update().generation;
    let passes = wait_open(&mut state.clone(), generation).await;
    if !passes {
        return;
    }
    let Ok(outer) = TcpStream::connect(target).await else {
        return;
    };
    let (inner_read, inner_write) = inner.into_split();
    let (outer_read, outer_write) = outer.into_split();
    let there = pump(inner_read, outer_write, state.clone(), generation);
    let back = pump(outer_read, inner_write, state.clone(), generation);
    let cut = state.wait_for(|state| state.mode == LinkMode::Cut);
    tokio::select! {
        _ = cut => {}
        _ = futures::future::join(there, back) => {}
    }
}

/// Waits until bytes may pass; answers `false` if they never will.
async fn wait_open(state: &mut watch::Receiver<LinkState>, generation: u64) -> bool {
    let decided =
        |state: &LinkState| state.generation == generation && state.mode != LinkMode::Muted;
    match state.wait_for(decided).await {
        Ok(state) => state.mode == LinkMode::Open,
        Err(_) => false,
    }
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<LinkState>,
    generation: u64,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let length = from.read(&mut buffer).await.unwrap_or(0);
        if !wait_open(&mut state, generation).await {
            return;
        }
        if length == 0 || to.write_all(&buffer[..length]).await.is_err() {
            let _ = to.shutdown().await;
            return;
        }
    }
}
