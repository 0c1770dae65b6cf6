//! Refusals of requests whose body is still being sent.

mod support;

use bluebell_entry::RunningEntry;
use support::{TestBed, endpoint::FakeEndpoint};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// More than the socket buffers at both ends of a connection hold.
const BODY_BYTES: usize = 32 * 1024 * 1024;

/// Sends a large body completely before it reads the answer, as many clients do.
async fn send_then_read(entry: &RunningEntry, path: &str, key: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(entry.http_address).await?;
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {key}\r\n\
         connection: close\r\ncontent-length: {BODY_BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(&vec![b'x'; BODY_BYTES]).await?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await?;
    Ok(answer)
}

/// A caller sends a body that is too large, or a large one with an invalid key. If the
/// entry answered and closed the connection with bytes unread, the caller would receive
/// a connection reset instead of the refusal, and could not tell that nothing ran.
#[tokio::test]
async fn a_refusal_reaches_a_caller_that_is_still_sending() {
    let engine = FakeEndpoint::engine(1).await;
    let bed = TestBed::start().await;
    let cases = [
        ("/v1/chat/completions", support::KEY, "body_too_large"),
        ("/v1/chat/completions", "stale", "invalid_key"),
        ("/v1/services/pay/charge", support::KEY, "body_too_large"),
        ("/v1/services/pay/charge", "stale", "invalid_key"),
    ];
    for (path, key, code) in cases {
        let answer = send_then_read(&bed.entry, path, key).await;
        let answer = answer.unwrap_or_else(|error| panic!("{path} {key}: {error}"));
        assert!(answer.contains(code), "{path} {key}: {answer}");
        assert!(answer.contains("not_run"), "{path} {key}: {answer}");
    }
    assert_eq!(engine.received("/generate").len(), 0);
}
