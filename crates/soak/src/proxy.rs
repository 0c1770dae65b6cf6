//! A path over loopback that can be narrow, delayed, cut or silenced.

use std::{
    io,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use serde::Serialize;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
};
use tokio_util::sync::CancellationToken;

/// Bytes that are passed on at once.
const CHUNK: usize = 16_384;

/// How a path treats what is sent over it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub enum PathMode {
    /// It passes everything on.
    #[default]
    Open,
    /// It passes everything on, this many ms later.
    Delayed(u64),
    /// It breaks all connections off, and each new one.
    Resets,
    /// It holds everything back, both ways.
    Silent,
    /// It holds back what comes from the far end only.
    OneWay,
}

#[derive(Clone, Copy, Debug)]
struct PathState {
    target: SocketAddr,
    mode: PathMode,
    /// Connections that were opened before this one are silent for good.
    silent_before: u64,
    /// How many bytes a connection carries in a ms, each way; none for any number.
    bytes_per_ms: Option<u64>,
}

/// A path to one address.
#[derive(Clone, Debug)]
pub struct LoopbackPath {
    /// Where it is entered.
    pub address: SocketAddr,
    state: watch::Sender<PathState>,
    opened: watch::Sender<u64>,
}

impl LoopbackPath {
    /// A path from a free port of `ip` to `target`.
    pub async fn open(ip: IpAddr, target: SocketAddr) -> io::Result<LoopbackPath> {
        let listener = TcpListener::bind(SocketAddr::new(ip, 0)).await?;
        let state = PathState {
            target,
            mode: PathMode::Open,
            silent_before: 0,
            bytes_per_ms: None,
        };
        let path = LoopbackPath {
            address: listener.local_addr()?,
            state: watch::Sender::new(state),
            opened: watch::Sender::new(0),
        };
        tokio::spawn(path.clone().accept(listener));
        Ok(path)
    }

    /// Treats what is sent in another way from now on.
    pub fn set_mode(&self, mode: PathMode) {
        self.state.send_modify(|state| state.mode = mode);
    }

    /// Makes the path narrow, whatever happens to it besides.
    pub fn set_rate(&self, bytes_per_ms: u64) {
        self.state
            .send_modify(|state| state.bytes_per_ms = Some(bytes_per_ms));
    }

    /// Leads new connections elsewhere.
    pub fn set_target(&self, target: SocketAddr) {
        self.state.send_modify(|state| state.target = target);
    }

    /// All connections that stand go silent for good, while new ones work.
    pub fn silence_open(&self) {
        let opened = *self.opened.borrow();
        self.state
            .send_modify(|state| state.silent_before = opened + 1);
    }

    async fn accept(self, listener: TcpListener) {
        while let Ok((near, _)) = listener.accept().await {
            self.opened.send_modify(|opened| *opened += 1);
            let number = *self.opened.borrow();
            tokio::spawn(carry(near, number, self.state.subscribe()));
        }
    }
}

async fn carry(near: TcpStream, number: u64, mut state: watch::Receiver<PathState>) {
    let target = state.borrow_and_update().target;
    if state.borrow().mode == PathMode::Resets {
        return reset(&near);
    }
    let Ok(far) = TcpStream::connect(target).await else {
        return reset(&near);
    };
    for stream in [&near, &far] {
        // Without it small answers wait for acknowledgements; the worst of a
        // failure is a slower soak.
        drop(stream.set_nodelay(true));
    }
    let end = PathEnd::default();
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let up = PathDirection {
        number,
        is_back: false,
        state: state.clone(),
    };
    let down = PathDirection {
        is_back: true,
        ..up.clone()
    };
    tokio::join!(
        up.pump(near_read, far_write, &end),
        down.pump(far_read, near_write, &end),
    );
}

/// Makes the end of a connection a reset.
fn reset(stream: &TcpStream) {
    // A connection that has ended already can't be reset any more.
    drop(socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO)));
}

/// How a connection ends, both ways.
#[derive(Default)]
struct PathEnd {
    ended: CancellationToken,
    /// Whether it breaks, so that neither way may come to an end in order.
    broken: CancellationToken,
}

impl PathEnd {
    fn break_off(&self, from: &OwnedReadHalf, to: &OwnedWriteHalf) {
        reset(from.as_ref());
        reset(to.as_ref());
        self.broken.cancel();
        self.ended.cancel();
    }
}

#[derive(Clone)]
struct PathDirection {
    number: u64,
    is_back: bool,
    state: watch::Receiver<PathState>,
}

impl PathDirection {
    async fn pump(mut self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, end: &PathEnd) {
        let mut chunk = vec![0; CHUNK];
        loop {
            let read = tokio::select! {
                () = end.ended.cancelled() => break,
                () = self.wait_for_reset() => {
                    end.break_off(&from, &to);
                    break;
                }
                read = from.read(&mut chunk) => read,
            };
            tokio::select! {
                () = end.ended.cancelled() => break,
                () = self.wait_until_passing() => {}
            }
            let Ok(count) = read else {
                end.break_off(&from, &to);
                break;
            };
            tokio::select! {
                () = end.ended.cancelled() => break,
                () = self.wait_for_room(count) => {}
            }
            // An end is passed on like bytes: a path that holds back holds it too.
            if count == 0 || to.write_all(&chunk[..count]).await.is_err() {
                break;
            }
        }
        if end.broken.is_cancelled() {
            // An end in order would precede the reset.
            to.forget();
        } else {
            drop(to.shutdown().await);
        }
        if !self.is_back {
            // Whoever opened the connection has closed it.
            end.ended.cancel();
        }
    }

    /// As long as a narrow path takes for `count` bytes.
    async fn wait_for_room(&self, count: usize) {
        let rate = self.state.borrow().bytes_per_ms;
        if let Some(rate) = rate {
            let span = Duration::from_millis(count as u64 / rate.max(1));
            tokio::time::sleep(span).await;
        }
    }

    async fn wait_for_reset(&mut self) {
        let is_reset = |state: &PathState| state.mode == PathMode::Resets;
        if self.state.clone().wait_for(is_reset).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    async fn wait_until_passing(&mut self) {
        let (number, is_back) = (self.number, self.is_back);
        let passes = move |state: &PathState| {
            let holds = match state.mode {
                PathMode::Silent => true,
                PathMode::OneWay => is_back,
                _ => false,
            };
            !holds && number >= state.silent_before
        };
        let state = match self.state.wait_for(passes).await {
            Ok(state) => *state,
            Err(_) => return,
        };
        if let PathMode::Delayed(ms) = state.mode {
            tokio::time::sleep(Duration::from_millis(ms)).await;
        }
    }
}
