//! Calls that can't arrive any more once they have been given up.
//!
//! A connection that is closed in order goes on delivering what its peer has not acknowledged. A call
//! that a partition held up would arrive after its caller has given it up, and after the calls that
//! followed. The connection of a revocable call carries no other one, and is reset if the call ends
//! without an answer; that discards what has not been delivered.

use std::{convert::Infallible, io, net::SocketAddr, time::Duration};

use bluebell_core::{clock::TimeSpan, units::ByteSize};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, client::conn::http1};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, Socket};
use tokio::net::TcpStream;

use crate::{CompleteAnswer, TransferError};

/// The maximum size of the body of an answer.
const MAX_BODY: ByteSize = ByteSize::new(1_024 * 1_024);

/// The maximum size of the head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 65_536;

/// Sends `request` to `address` and reads its complete answer within `timeout`. If the call ends
/// without an answer, or the returned future is dropped, it can't arrive any more.
pub async fn fetch_revocable(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    timeout: TimeSpan,
) -> Result<CompleteAnswer, TransferError> {
    let exchange = exchange(address, request, timeout);
    let answer = tokio::time::timeout(timeout.as_duration(), exchange).await;
    answer.unwrap_or(Err(TransferError::TimedOut {
        limit: timeout,
        received: ByteSize::ZERO,
    }))
}

async fn exchange(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    timeout: TimeSpan,
) -> Result<CompleteAnswer, TransferError> {
    let (stream, socket) = connect(address, timeout)
        .await
        .map_err(|error| TransferError::NotSent(error.to_string()))?;
    let (mut sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| broken(&error))?;
    let answering = async {
        let response = sender
            .send_request(request)
            .await
            .map_err(|error| broken(&error))?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_BODY.count() as usize);
        let body = body.collect().await.map_err(|error| broken(&error))?;
        Ok(CompleteAnswer {
            status: head.status,
            headers: head.headers,
            body: body.to_bytes(),
        })
    };
    // The answer can still be read after the connection has ended.
    let driving = async {
        let _ = connection.await;
        std::future::pending::<Infallible>().await
    };
    let answer = tokio::select! {
        answer = answering => answer?,
        never = driving => match never {},
    };
    let _ = socket.set_linger(None);
    Ok(answer)
}

/// Opens a connection that is reset when it is closed. Returns it with a second handle of its socket.
async fn connect(address: SocketAddr, timeout: TimeSpan) -> io::Result<(TcpStream, Socket)> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let socket = SockRef::from(&stream).try_clone()?;
    socket.set_linger(Some(Duration::ZERO))?;
    // A process that is stopped does not reset its connections.
    socket.set_tcp_user_timeout(Some(timeout.as_duration()))?;
    Ok((stream, socket))
}

fn broken<Failure>(error: &Failure) -> TransferError
where
    Failure: ToString,
{
    TransferError::Broken(error.to_string())
}
