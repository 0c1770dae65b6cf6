//! Listener for the connections of callers.

use std::{
    convert::Infallible,
    io,
    net::{SocketAddr, TcpListener as StdListener},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    connections::{ConnectionQueue, WaitingConnection},
    shutdown::FIRST_REQUEST_TIME,
};
use bluebell_daemon::logs::LogLine;
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    context::EntryContext,
    frontend::{self, RequestSource},
    peers,
    shared::Shared,
};

/// Length of the accept queue. A SYN packet that meets a full queue is retransmitted
/// only after a second, which is as long as callers wait.
const ACCEPT_BACKLOG: i32 = 1_024;

/// How many connections are accepted before other tasks get the processor. What is left in
/// the accept queue waits until all of them have had it, so this is all that it holds.
const ACCEPT_TURN: usize = ACCEPT_BACKLOG as usize;

/// The least interval between two log lines of connections that were closed unread.
const CLOSED_LOG_INTERVAL: TimeSpan = TimeSpan::from_secs(1);

/// Maximum share of the sockets of the process that callers may use, in percent. The rest
/// is for endpoints, the store and peers.
const CALLER_SOCKETS_PERCENT: usize = 70;

/// Idle timeout of connections while no configuration is available.
const IDLE_TIMEOUT: TimeSpan = TimeSpan::from_secs(15);

/// Idle time of a connection before the first TCP keep-alive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(5);
/// Interval between TCP keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// How long sent bytes may stay unacknowledged before the connection is closed.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(8);

/// Delay after a failed `accept`.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Size of the read buffer beyond the largest request head, in bytes.
const READ_BUFFER_MARGIN: usize = 16_384;

/// The server for callers: its listener and the connections that it accepted.
#[derive(Clone, Debug)]
pub struct FrontendServer {
    context: Arc<EntryContext>,
    connections: TaskTracker,
    open_connections: Arc<AtomicUsize>,
    max_connections: usize,
    queue: Arc<Shared<ConnectionQueue>>,
    closed_unread: Arc<Shared<ClosedUnread>>,
    closing: CancellationToken,
}

/// The connections that were closed unread since this was last logged.
#[derive(Debug, Default)]
struct ClosedUnread {
    count: u64,
    logged_at: Option<ClockTime>,
}

impl FrontendServer {
    /// Binds the address for callers and serves connections until
    /// [`FrontendServer::close`]. Fails if the address can't be bound.
    pub fn bind(context: Arc<EntryContext>) -> io::Result<FrontendServer> {
        let address = context.settings.frontend_address;
        let listener = listen(address)?;
        let max_connections = context.settings.max_sockets * CALLER_SOCKETS_PERCENT / 100;
        let frontend = FrontendServer {
            context,
            connections: TaskTracker::new(),
            open_connections: Arc::new(AtomicUsize::new(0)),
            max_connections,
            queue: Arc::new(Shared::new(ConnectionQueue::new())),
            closed_unread: Arc::new(Shared::new(ClosedUnread::default())),
            closing: CancellationToken::new(),
        };
        frontend.spawn_accept(listener, RequestSource::Caller);
        Ok(frontend)
    }

    /// Serves also the requests that other instances hand to this one. Fails if the address
    /// for them can't be bound.
    pub fn bind_for_instances(&self) -> io::Result<()> {
        let address = peers::proxy_address(peers::local_address(&self.context));
        let listener = listen(address)?;
        self.spawn_accept(listener, RequestSource::Instance);
        Ok(())
    }

    fn spawn_accept(&self, listener: TcpListener, source: RequestSource) {
        // The runtime would have the task pause after fewer connections than are queued.
        let accepting = tokio::task::unconstrained(accept(self.clone(), listener, source));
        self.connections.spawn(accepting);
    }

    /// Stops accepting connections, closes those without a request, and closes each other
    /// connection after its current answer.
    pub fn close(&self) {
        self.closing.cancel();
    }

    /// Waits until no further connections are accepted.
    pub async fn wait_closing(&self) {
        self.closing.cancelled().await;
    }

    fn accept_connection(&self, stream: TcpStream, source: RequestSource) {
        if self.open_connections.load(Ordering::Relaxed) >= self.max_connections {
            self.close_unread("too_many");
            return;
        }
        let Some(waiting) = self.enqueue(source) else {
            self.close_unread("processor");
            return;
        };
        self.count_connection("taken");
        self.open_connections.fetch_add(1, Ordering::Relaxed);
        let connection = serve(self.clone(), stream, source, waiting);
        self.connections.spawn(connection);
    }

    /// Takes a connection if the processor gets to it in time. Requests of other instances
    /// have been read there, so their connections are always taken.
    fn enqueue(&self, source: RequestSource) -> Option<WaitingConnection> {
        let now = self.context.now();
        let mut queue = self.queue.lock();
        match source {
            RequestSource::Caller => queue.take(now),
            RequestSource::Instance => Some(queue.take_always(now)),
        }
    }

    /// Counts and logs a connection that is closed without being read; its caller tries
    /// again at another instance.
    fn close_unread(&self, reason: &'static str) {
        self.count_connection(reason);
        let now = self.context.now();
        let mut closed = self.closed_unread.lock();
        closed.count += 1;
        let logged_at = closed.logged_at;
        if logged_at.is_some_and(|at| now.since(at) < CLOSED_LOG_INTERVAL) {
            return;
        }
        LogLine::new("connections_closed_unread")
            .with("reason", reason)
            .with("count", closed.count)
            .with("open", self.open_connections.load(Ordering::Relaxed))
            .with("waiting", self.queue.lock().waiting())
            .warn();
        *closed = ClosedUnread {
            count: 0,
            logged_at: Some(now),
        };
    }

    fn count_connection(&self, outcome: &'static str) {
        let counter = &self.context.metrics.connections;
        counter.with_label_values(&[outcome]).inc();
    }

    /// Waits until all connections are closed.
    pub async fn wait_closed(&self) {
        self.connections.close();
        self.connections.wait().await;
    }
}

/// Opens a listener at `address`.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    TcpListener::from_std(StdListener::from(socket))
}

/// Accepts connections until the frontend is closed, then closes the listener.
///
/// While a listener is open, the kernel completes connections even if the process no
/// longer calls `accept`. Their callers would wait without an answer until the process
/// ends some seconds later. The connections that are already queued are therefore
/// accepted before the listener is closed; later ones are refused immediately and go to
/// another instance.
async fn accept(frontend: FrontendServer, listener: TcpListener, source: RequestSource) {
    let mut accepted_count = 0_usize;
    loop {
        accepted_count += 1;
        if accepted_count.is_multiple_of(ACCEPT_TURN) {
            tokio::task::yield_now().await;
        }
        let accepted = tokio::select! {
            () = frontend.closing.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => frontend.accept_connection(stream, source),
            Err(error) => {
                LogLine::new("accept_failed").with("error", error).warn();
                // File descriptors may be exhausted; the next attempt may succeed.
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    if let Err(error) = accept_pending(&frontend, listener, source) {
        LogLine::new("accept_failed").with("error", error).warn();
    }
}

/// Accepts the connections queued in the kernel. The asynchronous listener may not have
/// been notified of them yet, so `accept` is called on the socket directly.
fn accept_pending(
    frontend: &FrontendServer,
    listener: TcpListener,
    source: RequestSource,
) -> io::Result<()> {
    let listener = listener.into_std()?;
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(true)?;
                frontend.accept_connection(TcpStream::from_std(stream)?, source);
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Err(error) => return Err(error),
        }
    }
}

async fn serve(
    frontend: FrontendServer,
    stream: TcpStream,
    source: RequestSource,
    waiting: WaitingConnection,
) {
    let now = frontend.context.now();
    frontend.queue.lock().note_read(now, &waiting);
    if let Err(error) = configure_socket(&stream) {
        LogLine::new("connection_not_prepared")
            .with("error", error)
            .warn();
    }
    let limits = {
        let configuration = frontend.context.configuration.lock();
        configuration
            .table()
            .map(|table| table.configuration().limits)
    };
    let idle_timeout = limits.map_or(IDLE_TIMEOUT, |limits| {
        limits.idle_timeout.max(limits.head_timeout)
    });
    let max_head_bytes = limits.map_or(READ_BUFFER_MARGIN, |limits| limits.head.count() as usize);
    let context = Arc::clone(&frontend.context);
    let disconnect = CancellationToken::new();
    let token = disconnect.clone();
    let service = service_fn(move |request| {
        let (context, token) = (Arc::clone(&context), token.clone());
        async move {
            let response = frontend::serve_request(context, token, source, request).await;
            Ok::<_, Infallible>(response)
        }
    });
    // hyper includes the idle time between requests in the header read timeout, so the
    // longer of the two limits applies to both.
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout.as_duration())
        .max_buf_size(max_head_bytes + READ_BUFFER_MARGIN)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = disconnect.cancelled() => Ok(()),
        () = idle_close_due(&frontend) => {
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                ended = connection.as_mut() => ended,
                () = disconnect.cancelled() => Ok(()),
            }
        }
    };
    if let Err(error) = ended {
        log::debug!("event=caller_connection_ended error={error:?}");
    }
    frontend.open_connections.fetch_sub(1, Ordering::Relaxed);
}

/// Waits until connections without a request are due to be closed. The first request of a
/// connection that was opened just before the frontend was closed may still be in flight.
async fn idle_close_due(frontend: &FrontendServer) {
    frontend.closing.cancelled().await;
    tokio::time::sleep(FIRST_REQUEST_TIME.as_duration()).await;
}

fn configure_socket(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}
