//! Answers of the platform that arrive slowly.

use std::time::Duration;

use bluebell_core::{clock::TimeSpan, ids::LogOffset};
use bluebell_platform::{PlatformClient, PlatformError};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// The pause before each chunk of an answer.
const PAUSE: Duration = Duration::from_millis(100);
/// The number of chunks of an answer. Their pauses together exceed the time limit of a
/// call without progress.
const CHUNKS: usize = 26;

/// Writes the first `sent` of the [`CHUNKS`] chunks of an answer, then stalls.
async fn answer(mut stream: TcpStream, body: String, sent: usize) {
    let mut request = [0; 4_096];
    let read = stream.read(&mut request).await.unwrap();
    assert!(read > 0);
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    stream.write_all(head.as_bytes()).await.unwrap();
    let size = body.len().div_ceil(CHUNKS);
    for chunk in body.as_bytes().chunks(size).take(sent) {
        tokio::time::sleep(PAUSE).await;
        if stream.write_all(chunk).await.is_err() {
            return;
        }
    }
    std::future::pending::<()>().await;
}

async fn start_platform(sent: usize) -> PlatformClient {
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

/// Guards against a time-out at each attempt to read a range of the log that takes the
/// link longer to transfer than a small call may take.
#[tokio::test]
async fn a_slow_read_that_makes_progress_is_read_to_its_end() {
    let client = start_platform(CHUNKS).await;
    let read = client.read(LogOffset::START, 500, TimeSpan::ZERO).await;
    read.unwrap();
}

/// Guards against waiting without end for a platform that stalls in the middle of an
/// answer.
#[tokio::test]
async fn a_stalled_read_times_out() {
    let client = start_platform(3).await;
    let read = client.read(LogOffset::START, 500, TimeSpan::ZERO).await;
    let error = read.unwrap_err();
    assert!(matches!(error, PlatformError::Unknown(_)), "{error}");
}
