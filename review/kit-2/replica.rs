//! A replica of a plain service as a process of its own, and its supervisor.
//!
//! The supervisor holds the listening socket, as a socket unit of a service manager does, and starts the
//! replica again a moment after it has ended. Each start has the same id and a later `born`.

use std::{
    env,
    io::{self, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    os::fd::AsFd,
    process::{Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    fleet::{Process, unix_ms},
    http::{self, Message},
    platform,
};

/// The size of the body of an answer.
const BODY_BYTES: usize = 800;

/// The pause between two heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// What a replica is started with.
#[derive(Clone)]
pub struct ReplicaSpec {
    /// Its id.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// The address of the store.
    pub store: SocketAddr,
    /// How long it works on a request before it answers, and between the two halves of the body, in ms.
    pub work_ms: u64,
}

/// A replica whose listening socket outlives its process.
pub struct Supervised {
    /// What it is started with.
    pub spec: ReplicaSpec,
    listener: TcpListener,
    process: Option<Process>,
}

impl Supervised {
    /// Binds the address and starts the replica.
    pub fn start(ip: &str, spec: ReplicaSpec) -> io::Result<Supervised> {
        let (listener, _) = platform::bind(ip)?;
        let mut supervised = Supervised {
            spec,
            listener,
            process: None,
        };
        supervised.start_process()?;
        Ok(supervised)
    }

    fn start_process(&mut self) -> io::Result<()> {
        let socket = self.listener.as_fd().try_clone_to_owned()?;
        let child = Command::new(env::current_exe()?)
            .arg("replica")
            .arg(&self.spec.id)
            .arg(&self.spec.service)
            .arg(&self.spec.zone)
            .arg(self.spec.store.to_string())
            .arg(self.spec.work_ms.to_string())
            .stdin(Stdio::from(socket))
            .spawn()?;
        self.process = Some(Process(child));
        Ok(())
    }

    /// Kills the process, and starts it again after `down`.
    pub fn crash(&mut self, down: Duration) -> io::Result<()> {
        self.process = None;
        thread::sleep(down);
        self.start_process()
    }
}

/// The whole body of the answer to a request.
pub fn whole_body(request: &str) -> String {
    let mut body = format!("begin {request} ");
    while body.len() + request.len() + 5 < BODY_BYTES {
        body.push('.');
    }
    body + " end " + request
}

/// Runs a replica whose listening socket is its standard input.
pub fn run(arguments: &[String]) -> io::Result<()> {
    let [id, service, zone, store, work_ms] = arguments else {
        return Err(io::ErrorKind::InvalidInput.into());
    };
    let listener = TcpListener::from(io::stdin().as_fd().try_clone_to_owned()?);
    let spec = ReplicaSpec {
        id: id.clone(),
        service: service.clone(),
        zone: zone.clone(),
        store: store.parse().map_err(io::Error::other)?,
        work_ms: work_ms.parse().map_err(io::Error::other)?,
    };
    let address = listener.local_addr()?;
    let born = unix_ms();
    let registered = spec.clone();
    thread::spawn(move || register(&registered, address, born));
    let runs = Arc::new(AtomicU64::new(0));
    http::serve(listener, move |request, output| {
        answer(&spec, &runs, request, output)
    });
    Ok(())
}

fn register(spec: &ReplicaSpec, address: SocketAddr, born: u128) {
    for sequence in 0.. {
        let ReplicaSpec {
            id, service, zone, ..
        } = spec;
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"coldRemainingMs\":0,\
             \"sequence\":{sequence},\"born\":{born}}}"
        );
        let start = format!("POST /standin/put?topic=keyed.servers&key={id}");
        let headers = [("Host".to_string(), "store".to_string())];
        let timeout = Duration::from_secs(1);
        let _ = http::call(spec.store, &start, &headers, entry.as_bytes(), timeout);
        thread::sleep(HEARTBEAT);
    }
}

fn answer(
    spec: &ReplicaSpec,
    runs: &AtomicU64,
    request: &Message,
    output: &mut TcpStream,
) -> io::Result<bool> {
    let expected = request.header("expect-instance");
    if expected.is_some_and(|expected| expected != spec.id) {
        let headers = [("Instance-Id", spec.id.as_str())];
        http::write_answer(output, "421 Misdirected Request", &headers, b"")?;
        return Ok(true);
    }
    match request.path() {
        "/healthz" => {
            let headers = [("Instance-Id", spec.id.as_str())];
            http::write_answer(output, "200 OK", &headers, b"")?;
            return Ok(true);
        }
        // Only engines report their state.
        "/v1/report" => {
            http::write_answer(output, "404 Not Found", &[], b"")?;
            return Ok(true);
        }
        _ => {}
    }
    let Some(attempt) = request.header("attempt-id") else {
        http::write_answer(output, "400 Bad Request", &[("Not-Executed", "1")], b"")?;
        return Ok(true);
    };
    let run = runs.fetch_add(1, Ordering::Relaxed);
    let body = whole_body(attempt).into_bytes();
    let work = Duration::from_millis(spec.work_ms);
    thread::sleep(work);
    // The answer has no length and ends with its connection.
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Signature: {}.{run}\r\n\
         Content-Type: text/plain\r\nConnection: close\r\n\r\n",
        spec.id
    );
    output.write_all(head.as_bytes())?;
    output.write_all(&body[..BODY_BYTES / 2])?;
    thread::sleep(work);
    output.write_all(&body[BODY_BYTES / 2..])?;
    Ok(false)
}
