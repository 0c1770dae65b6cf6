//! Endpoints in trouble, whose answers have no end or a status that HTTP does not have.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use bluebell_core::{
    attempts::{RequestAttempts, WorkKind},
    ids::{EndpointId, RequestId},
};
use bluebell_endpoint::client::{EndpointClient, EndpointError, PlainAnswer, PlainCall};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

/// What an answer without end may cost in memory, with what the kernel holds of it, in bytes.
const MAX_SENT: u64 = 40_000_000;

/// Starts a server that answers with `head` and then with `piece` time and again until the connection
/// is closed. Returns its client, and the number of bytes that were sent.
async fn start(head: &str, piece: &str) -> (EndpointClient, Arc<AtomicU64>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = EndpointClient::new(&listener.local_addr().unwrap().to_string());
    let sent = Arc::new(AtomicU64::new(0));
    let (head, piece, counter) = (head.to_string(), piece.to_string(), Arc::clone(&sent));
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 4_096];
        let _ = stream.read(&mut request).await;
        let _ = stream.write_all(head.as_bytes()).await;
        // Enough to fail the test; more could end the machine that runs it.
        while counter.load(Ordering::Relaxed) < MAX_SENT
            && !piece.is_empty()
            && stream.write_all(piece.as_bytes()).await.is_ok()
        {
            counter.fetch_add(piece.len() as u64, Ordering::Relaxed);
        }
        let _ = stream.read(&mut request).await;
    });
    (client, sent)
}

fn endless_chunk() -> String {
    format!("{:x}\r\n{}\r\n", 65_536, "x".repeat(65_536))
}

fn chunked(status: &str) -> String {
    format!("HTTP/1.1 {status}\r\nTransfer-Encoding: chunked\r\n\r\n")
}

async fn call(client: &EndpointClient) -> Result<PlainAnswer, EndpointError> {
    let id = RequestId::new("r-1").unwrap();
    let mut attempts = RequestAttempts::new(id, WorkKind::AtMostOnce);
    let permit = attempts.permit_send(&EndpointId::new("e-1").unwrap());
    let work = PlainCall {
        method: "POST".to_string(),
        path: "/unlock".to_string(),
        content_type: None,
        idempotency_key: None,
        body: bytes::Bytes::new(),
    };
    client.call(&permit.unwrap(), &work, 65_536).await
}

/// Guards against a state, or the text of a refusal, that fills the memory of the caller.
#[tokio::test]
async fn an_answer_without_end_is_not_kept() {
    for status in ["200 OK", "503 Service Unavailable"] {
        let (client, sent) = start(&chunked(status), &endless_chunk()).await;
        client.state().await.unwrap_err();
        assert!(sent.load(Ordering::Relaxed) < MAX_SENT, "{status}");
    }
}

/// Guards against a status that HTTP does not have and that a caller gets as the answer of a service.
#[tokio::test]
async fn an_odd_status_is_no_answer() {
    for status in ["101 Trouble", "600 Trouble", "999 Trouble"] {
        let head = format!("HTTP/1.1 {status}\r\nContent-Length: 2\r\n\r\nok");
        let (client, _) = start(&head, "").await;
        let answer = call(&client).await;
        assert!(matches!(answer, Err(EndpointError::Lost(_))), "{status}");
    }
}
