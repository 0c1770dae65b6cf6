//! Callers' connections.

use std::{
    convert::Infallible,
    io,
    net::TcpListener as StdListener,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bluebell_core::clock::TimeSpan;
use bluebell_daemon::logs::LogLine;
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{context::EntryContext, frontend};

/// Connections that may wait to be accepted. An opening packet that finds the
/// queue full is sent again after a second, which is all that callers wait.
const ACCEPT_QUEUE: i32 = 1_024;

/// The most connections of callers at once: of some 3,900 descriptors the rest is
/// for endpoints, store and peers.
const CONNECTIONS_LIMIT: usize = 2_800;

/// How long a connection may be idle where no configuration says so.
const IDLE_TIMEOUT: TimeSpan = TimeSpan::from_secs(15);

/// When a silent caller is asked whether it is there, and how often.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(5);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// How long sent bytes may stay unacknowledged before the caller is taken to be
/// gone.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(8);

/// The pause of a listener that can't accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// How long after the front was closed a connection may be without a request:
/// callers are some ms away, and what they sent by then must not be cut off.
const FIRST_REQUEST_WAIT: Duration = Duration::from_millis(100);

/// Room in the read buffer beyond the largest head.
const HEAD_SLACK: usize = 16_384;

/// The address for callers and the connections on it.
#[derive(Clone, Debug)]
pub struct FrontendServer {
    context: Arc<EntryContext>,
    connections: TaskTracker,
    open: Arc<AtomicUsize>,
    closing: CancellationToken,
}

impl FrontendServer {
    /// Listens, and serves who connects until [`FrontendServer::close`].
    pub fn bind(context: Arc<EntryContext>) -> io::Result<FrontendServer> {
        let address = context.settings.callers_address;
        let socket = Socket::new(
            Domain::for_address(address),
            Type::STREAM,
            Some(Protocol::TCP),
        )?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(ACCEPT_QUEUE)?;
        let listener = TcpListener::from_std(StdListener::from(socket))?;
        let frontend = FrontendServer {
            context,
            connections: TaskTracker::new(),
            open: Arc::new(AtomicUsize::new(0)),
            closing: CancellationToken::new(),
        };
        frontend
            .connections
            .spawn(accept(frontend.clone(), listener));
        Ok(frontend)
    }

    /// Takes no new connections, closes those without a request, and each other
    /// one after its answer.
    pub fn close(&self) {
        self.closing.cancel();
    }

    fn take(&self, stream: TcpStream) {
        if self.open.load(Ordering::Relaxed) >= CONNECTIONS_LIMIT {
            LogLine::new("connection_refused")
                .with("open", CONNECTIONS_LIMIT)
                .warn();
            return;
        }
        self.open.fetch_add(1, Ordering::Relaxed);
        self.connections.spawn(serve(self.clone(), stream));
    }

    /// Waits until no connection is left.
    pub async fn wait_closed(&self) {
        self.connections.close();
        self.connections.wait().await;
    }
}

/// Accepts connections until the front is closed; then the address is given up.
///
/// A listener that outlives its last `accept` still takes connections: the kernel
/// does. Their callers wait for an answer until the process ends, some seconds
/// later, and get none. So those who wait are taken in, and the address is closed:
/// who comes later is turned away at once and goes elsewhere.
async fn accept(frontend: FrontendServer, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            () = frontend.closing.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => frontend.take(stream),
            Err(error) => {
                LogLine::new("accept_failed").with("error", error).warn();
                // Descriptors may have run out; the next try may find some.
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    if let Err(error) = take_waiting(&frontend, listener) {
        LogLine::new("accept_failed").with("error", error).warn();
    }
}

/// Takes the connections that the kernel holds. The runtime's listener may not have
/// been told of them yet, so the socket is asked itself.
fn take_waiting(frontend: &FrontendServer, listener: TcpListener) -> io::Result<()> {
    let listener = listener.into_std()?;
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(true)?;
                frontend.take(TcpStream::from_std(stream)?);
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Err(error) => return Err(error),
        }
    }
}

async fn serve(frontend: FrontendServer, stream: TcpStream) {
    if let Err(error) = prepare(&stream) {
        LogLine::new("connection_not_prepared")
            .with("error", error)
            .warn();
    }
    let limits = {
        let belief = frontend.context.configuration.lock();
        belief.table().map(|table| table.configuration().limits)
    };
    let idle = limits.map_or(IDLE_TIMEOUT, |limits| {
        limits.idle_timeout.max(limits.head_timeout)
    });
    let head = limits.map_or(HEAD_SLACK, |limits| limits.head.count() as usize);
    let context = Arc::clone(&frontend.context);
    let service = service_fn(move |request| {
        let context = Arc::clone(&context);
        async move { Ok::<_, Infallible>(frontend::answer(context, request).await) }
    });
    // The library counts the time between requests into the time for a head, so
    // the longer of the two limits holds for both.
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle.as_duration())
        .max_buf_size(head + HEAD_SLACK)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = closed(&frontend) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!("event=caller_connection_ended error={error:?}");
    }
    frontend.open.fetch_sub(1, Ordering::Relaxed);
}

/// Waits until connections without a request are to be closed. One that was opened
/// just before the front was closed has its first request on the way.
async fn closed(frontend: &FrontendServer) {
    frontend.closing.cancelled().await;
    tokio::time::sleep(FIRST_REQUEST_WAIT).await;
}

fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}
