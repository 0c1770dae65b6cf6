//! HTTP connections to endpoints.

use std::{
    fmt, io,
    net::SocketAddr,
    num::ParseIntError,
    str::FromStr,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use bluebell_core::clock::{ClockTime, TimeSpan};
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, task::AbortHandle};

/// Timeout for opening a connection. Endpoints are a few ms away. A lost SYN packet is
/// retransmitted only after a second, and a retry on another endpoint is faster.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// How long sent bytes may stay unacknowledged before the connection is closed; it also
/// decides when keep-alive probes give up. A sound endpoint may be silent for a second and
/// go on. A connection can also stop carrying packets without a reset, and a caller with a
/// deadline of 2.5 s must still get an answer then.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Idle time before the first TCP keep-alive probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_RETRIES: u32 = 2;

/// Maximum idle time of a pooled connection, and the default if the endpoint announces
/// no keep-alive timeout.
const MAX_IDLE_TIME: TimeSpan = TimeSpan::from_secs(8);

/// Maximum size of the buffers of one connection in bytes. An endpoint that sends faster
/// than its caller reads is held back once the buffer is full.
const MAX_BUFFER_BYTES: usize = 65_536;

/// Distinguishes the connections that this process has opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionNumber(u64);

impl ConnectionNumber {
    /// The number of a new connection.
    fn new() -> ConnectionNumber {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        ConnectionNumber(NEXT.fetch_add(1, Ordering::Relaxed))
    }
}

impl fmt::Display for ConnectionNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for ConnectionNumber {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<ConnectionNumber, ParseIntError> {
        text.parse().map(ConnectionNumber)
    }
}

/// A connection that carries one request at a time. Dropping it closes it immediately,
/// which stops the work at the endpoint.
#[derive(Debug)]
pub struct EndpointConnection {
    /// Sends requests on the connection.
    pub sender: SendRequest<Full<Bytes>>,
    number: ConnectionNumber,
    driver: AbortHandle,
    max_idle_time: TimeSpan,
    idle_since: Option<ClockTime>,
}

impl Drop for EndpointConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl EndpointConnection {
    /// Opens a connection to `address`. Fails if the endpoint can't be reached within
    /// the timeout or a socket option can't be set.
    pub async fn connect(address: SocketAddr) -> io::Result<EndpointConnection> {
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = connected.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        let keepalive = TcpKeepalive::new()
            .with_time(KEEPALIVE_INTERVAL)
            .with_interval(KEEPALIVE_INTERVAL)
            .with_retries(KEEPALIVE_RETRIES);
        let socket = SockRef::from(&stream);
        socket.set_tcp_keepalive(&keepalive)?;
        socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("event=endpoint_connection_ended error={error:?}");
            }
        });
        Ok(EndpointConnection {
            sender,
            number: ConnectionNumber::new(),
            driver: driver.abort_handle(),
            max_idle_time: MAX_IDLE_TIME,
            idle_since: None,
        })
    }

    /// The number of the connection.
    pub fn number(&self) -> ConnectionNumber {
        self.number
    }

    /// Applies a `Keep-Alive` header, in which the endpoint announces in whole seconds
    /// how long it keeps an idle connection. A request that is sent while the endpoint
    /// closes the connection may be lost, so the connection is used for half of that
    /// time only.
    pub fn note_keep_alive(&mut self, header: Option<&str>) {
        let timeout = header.and_then(|value| {
            value.split(',').find_map(|part| {
                let seconds = part.trim().strip_prefix("timeout=")?;
                seconds.parse::<u64>().ok()
            })
        });
        if let Some(seconds) = timeout {
            self.max_idle_time = TimeSpan::from_millis(seconds * 500).min(MAX_IDLE_TIME);
        }
    }

    /// Records that the connection is idle since `now`.
    pub fn mark_idle(&mut self, now: ClockTime) {
        self.idle_since = Some(now);
    }

    /// Whether the connection is open and within its maximum idle time.
    pub fn is_usable(&self, now: ClockTime) -> bool {
        let idle_time = self
            .idle_since
            .map_or(TimeSpan::ZERO, |since| now.since(since));
        self.sender.is_ready() && idle_time < self.max_idle_time
    }
}
