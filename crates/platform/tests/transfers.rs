//! Answers of the platform that take long to come.

use std::time::Duration;

use bluebell_core::{clock::TimeSpan, ids::LogOffset};
use bluebell_platform::{PlatformClient, PlatformError};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// The pause before each piece of an answer.
const PAUSE: Duration = Duration::from_millis(100);
/// Together they take longer than a call without progress may.
const PIECES: usize = 26;

/// Writes an answer of `pieces` pieces, of which `sent` come.
async fn answer(mut stream: TcpStream, body: String, sent: usize) {
    let mut request = [0; 4_096];
    let read = stream.read(&mut request).await.unwrap();
    assert!(read > 0);
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    stream.write_all(head.as_bytes()).await.unwrap();
    let size = body.len().div_ceil(PIECES);
    for piece in body.as_bytes().chunks(size).take(sent) {
        tokio::time::sleep(PAUSE).await;
        if stream.write_all(piece).await.is_err() {
            return;
        }
    }
    std::future::pending::<()>().await;
}

async fn platform(sent: usize) -> PlatformClient {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        let body = format!(
            r#"{{"entries":[],"end":0,"first_kept":0{}}}"#,
            " ".repeat(4_000)
        );
        answer(stream, body, sent).await;
    });
    PlatformClient::new(&address, &"c1".parse().unwrap(), &"zone-a".parse().unwrap())
}

/// Guards against giving up, over and over, a read of the log that is larger than the
/// link carries in the time of a small call.
#[tokio::test]
async fn a_read_that_keeps_coming_is_read_to_its_end() {
    let client = platform(PIECES).await;
    let read = client.read(LogOffset::START, 500, TimeSpan::ZERO).await;
    read.unwrap();
}

/// Guards against waiting for good for a platform that stops in the middle of an answer.
#[tokio::test]
async fn a_read_that_stops_coming_is_given_up() {
    let client = platform(3).await;
    let read = client.read(LogOffset::START, 500, TimeSpan::ZERO).await;
    let error = read.unwrap_err();
    assert!(matches!(error, PlatformError::Unknown(_)), "{error}");
}
