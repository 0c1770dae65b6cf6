//! Paths of the soak pass on how connections end.

use std::{
    io,
    net::{IpAddr, Ipv4Addr},
    time::Duration,
};

use bluebell_soak::proxy::{LoopbackPath, PathMode};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// The number of connections whose ends are read.
const CONNECTIONS: usize = 50;

/// How the far end of a path ends a connection.
#[derive(Clone, Copy)]
enum FarEnd {
    Closes,
    Resets,
    /// It keeps it open, and the path breaks.
    PathResets,
}

/// Reads all that comes over a path to an end that writes `x` and then ends as `far_end` says.
async fn read_to_end(far_end: FarEnd) -> io::Result<String> {
    let ip = IpAddr::V4(Ipv4Addr::LOCALHOST);
    let listener = TcpListener::bind((ip, 0)).await?;
    let path = LoopbackPath::open(ip, listener.local_addr()?).await?;
    let mut near = TcpStream::connect(path.address).await?;
    let (mut far, _) = listener.accept().await?;
    far.write_all(b"x").await?;
    let mut first = [0; 1];
    near.read_exact(&mut first).await?;
    match far_end {
        FarEnd::Closes => drop(far),
        FarEnd::Resets => {
            socket2::SockRef::from(&far).set_linger(Some(Duration::ZERO))?;
            drop(far);
        }
        FarEnd::PathResets => path.set_mode(PathMode::Resets),
    }
    let mut rest = String::new();
    near.read_to_string(&mut rest).await?;
    Ok(rest)
}

/// Guards against paths that turn a reset into an end in order, which looks like the end of an answer
/// without framing.
#[tokio::test]
async fn a_connection_that_breaks_does_not_come_to_an_end_in_order() {
    for _ in 0..CONNECTIONS {
        assert!(read_to_end(FarEnd::Closes).await.is_ok());
        assert!(read_to_end(FarEnd::Resets).await.is_err());
        assert!(read_to_end(FarEnd::PathResets).await.is_err());
    }
}
