//! A fake endpoint over raw TCP, which can break a connection at any point.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use bluebell_core::{
    ids::{LogOffset, ModelName},
    records::EngineRole,
    units::TokenCount,
};
use bluebell_endpoint::api::{
    CancelRequest, EngineStatus, FinishReason, GenerateRequest, StreamItem,
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    sync::Semaphore,
};
use tokio_util::sync::CancellationToken;

/// A step of the fake endpoint's reaction to a request; steps run in order.
#[derive(Clone, Debug)]
pub enum Step {
    /// Writes raw bytes.
    Write(String),
    /// Writes an item on a line of its own.
    Item(StreamItem),
    /// Waits for a permit of [`FakeEndpoint::gate`].
    Gate,
    /// Sends nothing more, but keeps the connection open.
    Hang,
    /// The process exits: connections break, and new ones are refused.
    Crash,
}

/// A request as it was received.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub line: String,
    pub head: String,
    pub body: String,
    /// Index of the connection that carried it, counted from 0.
    pub connection: u64,
}

impl ReceivedRequest {
    pub fn generate_request(&self) -> GenerateRequest {
        serde_json::from_str(&self.body).unwrap()
    }
}

type Script = Arc<dyn Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync>;

#[derive(Clone)]
pub struct FakeEndpoint {
    pub address: SocketAddr,
    /// Each permit lets one [`Step::Gate`] continue.
    pub gate: Arc<Semaphore>,
    received: Arc<Mutex<Vec<ReceivedRequest>>>,
    status: Arc<Mutex<Option<EngineStatus>>>,
    exited: CancellationToken,
    script: Script,
}

pub const OK_HEAD: &str = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

pub fn token(work: &GenerateRequest, position: u64) -> StreamItem {
    StreamItem::Token {
        request: work.request.clone(),
        attempt: work.attempt,
        position,
        text: format!("t{position} "),
    }
}

pub fn end(work: &GenerateRequest, length: u64) -> StreamItem {
    StreamItem::End {
        request: work.request.clone(),
        attempt: work.attempt,
        length,
        finish: FinishReason::Stop,
        prompt_tokens: TokenCount::new(7),
        cached_tokens: TokenCount::ZERO,
    }
}

/// The steps of an answer of `length` tokens in all that resumes after the delivered ones.
pub fn complete_answer(work: &GenerateRequest, length: u64) -> Vec<Step> {
    let mut steps = vec![Step::Write(OK_HEAD.to_string())];
    let from = work.delivered.len() as u64;
    steps.extend((from..length).map(|position| Step::Item(token(work, position))));
    steps.push(Step::Item(end(work, length)));
    steps
}

/// The steps of a plain answer.
pub fn plain_answer(status: &str, body: &str) -> Vec<Step> {
    let length = body.len();
    vec![Step::Write(format!(
        "HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n{body}"
    ))]
}

impl FakeEndpoint {
    /// Starts an endpoint that answers `/generate` and plain calls with the steps that
    /// `script` returns.
    pub async fn start<Answer>(script: Answer) -> FakeEndpoint
    where
        Answer: Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let endpoint = FakeEndpoint {
            address: listener.local_addr().unwrap(),
            gate: Arc::new(Semaphore::new(0)),
            received: Arc::default(),
            status: Arc::default(),
            exited: CancellationToken::new(),
            script: Arc::new(script),
        };
        tokio::spawn(endpoint.clone().accept(listener));
        endpoint
    }

    /// Starts an engine that answers each request with `length` tokens.
    pub async fn engine(length: u64) -> FakeEndpoint {
        FakeEndpoint::start(move |received| complete_answer(&received.generate_request(), length))
            .await
    }

    /// Sets the role in the engine's answers to `/state`, which are 404 before.
    pub fn set_role(&self, role: EngineRole) {
        *self.status.lock().unwrap() = Some(EngineStatus {
            incarnation: 1,
            role,
            model: ModelName::new("m1").unwrap(),
            changing: false,
            in_flight: 0,
            fence: LogOffset::START,
            last_order: None,
        });
    }

    /// Whether the process has exited.
    pub fn has_exited(&self) -> bool {
        self.exited.is_cancelled()
    }

    /// Ends the process, as [`Step::Crash`] does.
    pub fn crash(&self) {
        self.exited.cancel();
    }

    pub fn received(&self, path: &str) -> Vec<ReceivedRequest> {
        let received = self.received.lock().unwrap();
        let matches = |request: &&ReceivedRequest| request.line.contains(path);
        received.iter().filter(matches).cloned().collect()
    }

    pub fn cancelled(&self) -> Vec<CancelRequest> {
        let parse = |received: ReceivedRequest| serde_json::from_str(&received.body).unwrap();
        self.received("/cancel").into_iter().map(parse).collect()
    }

    async fn accept(self, listener: TcpListener) {
        for connection in 0.. {
            let stream = tokio::select! {
                () = self.exited.cancelled() => return,
                accepted = listener.accept() => accepted.unwrap().0,
            };
            let endpoint = self.clone();
            tokio::spawn(async move {
                tokio::select! {
                    () = endpoint.exited.cancelled() => {}
                    () = endpoint.serve(stream, connection) => {}
                }
            });
        }
    }

    async fn serve(&self, mut stream: TcpStream, connection: u64) {
        while let Some(request) = read_request(&mut stream, connection).await {
            self.received.lock().unwrap().push(request.clone());
            let short = |status: &str| plain_answer(status, "");
            let steps = match request.line.split(' ').nth(1).unwrap() {
                "/health" | "/cancel" => short("204 No Content"),
                "/state" => match self.status.lock().unwrap().as_ref() {
                    Some(status) => plain_answer("200 OK", &serde_json::to_string(status).unwrap()),
                    None => short("404 Not Found"),
                },
                "/load" => short("404 Not Found"),
                _ => (self.script)(&request),
            };
            if !self.run_steps(&mut stream, steps).await {
                return;
            }
        }
    }

    /// Runs the steps; returns whether the connection stays open.
    async fn run_steps(&self, stream: &mut TcpStream, steps: Vec<Step>) -> bool {
        let mut keep_open = true;
        for step in steps {
            let text = match step {
                Step::Write(text) => text,
                Step::Item(item) => format!("{}\n", serde_json::to_string(&item).unwrap()),
                Step::Gate => {
                    self.gate.acquire().await.unwrap().forget();
                    continue;
                }
                Step::Hang => std::future::pending().await,
                Step::Crash => {
                    self.exited.cancel();
                    return false;
                }
            };
            keep_open &= text != OK_HEAD;
            if stream.write_all(text.as_bytes()).await.is_err() {
                return false;
            }
        }
        keep_open
    }
}

async fn read_request(stream: &mut TcpStream, connection: u64) -> Option<ReceivedRequest> {
    let mut bytes = Vec::new();
    let head_end = loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            break end + 4;
        }
        read_more(stream, &mut bytes).await?;
    };
    let head = String::from_utf8_lossy(&bytes[..head_end]).to_string();
    let length = head.to_ascii_lowercase().lines().find_map(|line| {
        let value = line.strip_prefix("content-length:")?;
        value.trim().parse().ok()
    });
    let length: usize = length.unwrap_or(0);
    while bytes.len() < head_end + length {
        read_more(stream, &mut bytes).await?;
    }
    Some(ReceivedRequest {
        line: head.lines().next()?.to_string(),
        body: String::from_utf8_lossy(&bytes[head_end..]).to_string(),
        head,
        connection,
    })
}

async fn read_more(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<()> {
    let mut chunk = [0; 4096];
    let count = stream.read(&mut chunk).await.ok()?;
    bytes.extend_from_slice(&chunk[..count]);
    (count > 0).then_some(())
}
