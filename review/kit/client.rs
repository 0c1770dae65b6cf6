//! Clients: each attempt on a new connection.

use std::{
    collections::HashMap,
    io::Write,
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use crate::http::Reader;

/// How one attempt of a client ended.
pub enum Outcome {
    Answered {
        status: u16,
        headers: HashMap<String, String>,
        body: Vec<u8>,
    },
    Closed(String),
}

impl Outcome {
    pub fn status(&self) -> u16 {
        match self {
            Outcome::Answered { status, .. } => *status,
            Outcome::Closed(_) => 0,
        }
    }

    pub fn text(&self) -> String {
        match self {
            Outcome::Answered {
                status,
                headers,
                body,
            } => {
                let signed = if headers.contains_key("server-signature") {
                    " signed"
                } else {
                    ""
                };
                let short = String::from_utf8_lossy(body);
                let short: String = short.trim().chars().take(60).collect();
                format!("{status}{signed} `{short}`")
            }
            Outcome::Closed(error) => format!("no answer: {error}"),
        }
    }
}

/// Sends one request and waits for its answer, for `deadline_ms` and a second at most.
pub fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    key: &str,
    deadline_ms: u64,
    body: &str,
) -> Outcome {
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: kiosk.example\r\nAttempt-Id: {id}\r\n\
         Deadline-Ms: {deadline_ms}\r\nAuthorization: Token {key}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len(),
    );
    let exchange = || -> std::io::Result<Outcome> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(deadline_ms + 1_000)))?;
        stream.write_all(text.as_bytes())?;
        let (status, headers, body) = Reader::new(stream).answer()?;
        Ok(Outcome::Answered {
            status,
            headers,
            body,
        })
    };
    exchange().unwrap_or_else(|error| Outcome::Closed(error.to_string()))
}

/// The status of a GET without more than a host.
pub fn status_of(address: SocketAddr, path: &str) -> u16 {
    let exchange = || -> std::io::Result<u16> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(500))?;
        stream.set_read_timeout(Some(Duration::from_millis(1_000)))?;
        stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: ready\r\n\r\n").as_bytes())?;
        Ok(Reader::new(stream).answer()?.0)
    };
    exchange().unwrap_or(0)
}
