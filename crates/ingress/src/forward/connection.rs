//! One connection to an endpoint.

use std::{io, net::SocketAddr, time::Duration};

use bluebell_core::clock::{ClockTime, TimeSpan};
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, task::AbortHandle};

/// How long a connection may take to come about. Endpoints are some ms away; a
/// lost opening packet is sent again after a second, sooner elsewhere.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// How long sent bytes may stay unacknowledged, and when and how often a silent
/// endpoint is asked whether it is there. A connection can go silent for good
/// without a reset; a caller with 2.5 s must still get an answer. Two losses of a
/// packet in a row, at three in a hundred, are borne.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(800);
const KEEPALIVE_TIME: Duration = Duration::from_secs(1);
const KEEPALIVE_RETRIES: u32 = 2;

/// How long a connection is kept idle where the endpoint does not say.
const IDLE_LIMIT: TimeSpan = TimeSpan::from_secs(8);

/// A connection that carries one request at a time. Dropping it closes it at
/// once, which stops the work at the endpoint.
#[derive(Debug)]
pub struct EndpointConnection {
    /// Sends requests.
    pub sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    idle_limit: TimeSpan,
    idle_since: Option<ClockTime>,
}

impl Drop for EndpointConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl EndpointConnection {
    /// Connects.
    pub async fn connect(address: SocketAddr) -> io::Result<EndpointConnection> {
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = connected.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        let keepalive = TcpKeepalive::new()
            .with_time(KEEPALIVE_TIME)
            .with_interval(KEEPALIVE_TIME)
            .with_retries(KEEPALIVE_RETRIES);
        let socket = SockRef::from(&stream);
        socket.set_tcp_keepalive(&keepalive)?;
        socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("event=endpoint_connection_ended error={error:?}");
            }
        });
        Ok(EndpointConnection {
            sender,
            driver: driver.abort_handle(),
            idle_limit: IDLE_LIMIT,
            idle_since: None,
        })
    }

    /// Takes the endpoint's word on how long it keeps an idle connection, in whole
    /// seconds. A request that crosses its close may be lost, so the connection is
    /// given up at half of that.
    pub fn note_keep_alive(&mut self, header: Option<&str>) {
        let timeout = header.and_then(|value| {
            value.split(',').find_map(|part| {
                let seconds = part.trim().strip_prefix("timeout=")?;
                seconds.parse::<u64>().ok()
            })
        });
        if let Some(seconds) = timeout {
            self.idle_limit = TimeSpan::from_millis(seconds * 500).min(IDLE_LIMIT);
        }
    }

    /// The connection is idle from now on.
    pub fn rest(&mut self, now: ClockTime) {
        self.idle_since = Some(now);
    }

    /// Whether a request may be sent on it.
    pub fn is_usable(&self, now: ClockTime) -> bool {
        let rested = self
            .idle_since
            .map_or(TimeSpan::ZERO, |since| now.since(since));
        self.sender.is_ready() && rested < self.idle_limit
    }
}
