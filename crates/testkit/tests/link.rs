//! A link forwards, and breaks the way it is told to.

use std::time::Duration;

use bluebell_testkit::link::{CutLink, LinkMode};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::timeout,
};

/// Long enough that an echo which comes at all has come.
const SILENCE: Duration = Duration::from_millis(200);

/// How long an echo may take.
const PATIENCE: Duration = Duration::from_secs(30);

async fn echo_link() -> CutLink {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.into_split();
                tokio::io::copy(&mut read, &mut write).await
            });
        }
    });
    CutLink::start(address).await.unwrap()
}

async fn echo(stream: &mut TcpStream, patience: Duration) -> Option<u8> {
    stream.write_all(b"x").await.ok()?;
    timeout(patience, stream.read_u8()).await.ok()?.ok()
}

#[tokio::test]
async fn an_open_link_forwards() {
    let link = echo_link().await;
    let mut stream = TcpStream::connect(link.address).await.unwrap();
    assert_eq!(echo(&mut stream, PATIENCE).await, Some(b'x'));
}

#[tokio::test]
async fn a_muted_link_holds_back_until_it_is_healed() {
    let link = echo_link().await;
    let mut stream = TcpStream::connect(link.address).await.unwrap();
    assert_eq!(echo(&mut stream, PATIENCE).await, Some(b'x'));
    link.set(LinkMode::Muted);
    assert_eq!(echo(&mut stream, SILENCE).await, None);
    link.set(LinkMode::Open);
    let late = timeout(PATIENCE, stream.read_u8()).await.unwrap();
    assert_eq!(late.unwrap(), b'x');
}

#[tokio::test]
async fn a_cut_link_closes_connections() {
    let link = echo_link().await;
    let mut stream = TcpStream::connect(link.address).await.unwrap();
    assert_eq!(echo(&mut stream, PATIENCE).await, Some(b'x'));
    link.set(LinkMode::Cut);
    let closed = timeout(PATIENCE, stream.read_u8()).await.unwrap();
    assert!(closed.is_err());
}

#[tokio::test]
async fn lost_connections_stay_silent_while_new_ones_work() {
    let link = echo_link().await;
    let mut old = TcpStream::connect(link.address).await.unwrap();
    assert_eq!(echo(&mut old, PATIENCE).await, Some(b'x'));
    link.lose_connections();
    assert_eq!(echo(&mut old, SILENCE).await, None);
    let mut new = TcpStream::connect(link.address).await.unwrap();
    assert_eq!(echo(&mut new, PATIENCE).await, Some(b'x'));
}
