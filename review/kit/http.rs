//! A small HTTP/1.1 server, one thread for each connection.

use std::{
    collections::HashMap,
    io::{self, Read, Write},
    net::{TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target.split_once('?')?.1;
        query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then_some(value)
        })
    }
}

/// Bytes that were read and not used yet, and the stream they came from.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut chunk = [0_u8; 16_384];
        match self.stream.read(&mut chunk)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            count => {
                self.buffer.extend_from_slice(&chunk[..count]);
                Ok(())
            }
        }
    }

    fn head(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buffer.windows(4).position(|four| four == b"\r\n\r\n") {
                let rest = self.buffer.split_off(at + 4);
                let head = std::mem::replace(&mut self.buffer, rest);
                return Ok(String::from_utf8_lossy(&head[..at]).into_owned());
            }
            self.fill()?;
        }
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        let rest = self.buffer.split_off(count);
        Ok(std::mem::replace(&mut self.buffer, rest))
    }

    fn text_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                let line = self.take(at + 2)?;
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            self.fill()?;
        }
    }

    fn chunked(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let size = self.text_line()?;
            let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            if size == 0 {
                while !self.text_line()?.is_empty() {}
                return Ok(body);
            }
            body.extend(self.take(size)?);
            self.take(2)?;
        }
    }

    /// Reads a head and its body; the first line is returned in three words.
    fn message(
        &mut self,
        is_answer: bool,
    ) -> io::Result<([String; 3], HashMap<String, String>, Vec<u8>)> {
        let head = self.head()?;
        let mut lines = head.split("\r\n");
        let mut words = lines
            .next()
            .unwrap_or_default()
            .splitn(3, ' ')
            .map(str::to_string);
        let mut word = || words.next().unwrap_or_default();
        let first = [word(), word(), word()];
        let mut headers = HashMap::new();
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_string());
            }
        }
        let is_chunked = headers
            .get("transfer-encoding")
            .is_some_and(|value| value.contains("chunked"));
        let length = headers
            .get("content-length")
            .and_then(|value| value.parse().ok());
        let body = match (is_chunked, length) {
            (true, _) => self.chunked()?,
            (false, Some(length)) => self.take(length)?,
            (false, None) if is_answer => {
                while self.fill().is_ok() {}
                std::mem::take(&mut self.buffer)
            }
            (false, None) => Vec::new(),
        };
        Ok((first, headers, body))
    }

    pub fn request(&mut self) -> io::Result<Request> {
        let ([method, target, _], headers, body) = self.message(false)?;
        Ok(Request {
            method,
            target,
            headers,
            body,
        })
    }

    /// The status, headers and body of an answer.
    pub fn answer(&mut self) -> io::Result<(u16, HashMap<String, String>, Vec<u8>)> {
        let ([_, status, _], headers, body) = self.message(true)?;
        let status = status
            .parse()
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        Ok((status, headers, body))
    }
}

/// The bytes of an answer.
pub fn answer_bytes(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// A server that can be ended as a killed process ends: its listener and all connections close.
pub struct Server {
    stop: Arc<AtomicBool>,
    accepting: Mutex<Option<thread::JoinHandle<()>>>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Serves each connection of `listener` with `serve` on a thread of its own.
    pub fn start<Serve>(listener: TcpListener, serve: Serve) -> Server
    where
        Serve: Fn(Reader) + Send + Sync + 'static,
    {
        let server = Server {
            stop: Arc::new(AtomicBool::new(false)),
            accepting: Mutex::new(None),
            streams: Arc::new(Mutex::new(Vec::new())),
        };
        let (stop, streams) = (Arc::clone(&server.stop), Arc::clone(&server.streams));
        let serve = Arc::new(serve);
        listener
            .set_nonblocking(true)
            .expect("a listener can be nonblocking");
        let accepting = thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let Ok(clone) = stream.try_clone() {
                    streams.lock().unwrap().push(clone);
                }
                let serve = Arc::clone(&serve);
                thread::spawn(move || serve(Reader::new(stream)));
            }
        });
        *server.accepting.lock().unwrap() = Some(accepting);
        server
    }

    /// The listener closes first: what is opened once a connection is seen to break is refused.
    pub fn kill(&self) {
        self.stop.store(true, Ordering::SeqCst);
        if let Some(accepting) = self.accepting.lock().unwrap().take() {
            let _ = accepting.join();
        }
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

/// Serves requests with answers that are complete and sent at once.
pub fn serve_simple<Handle>(listener: TcpListener, handle: Handle) -> Server
where
    Handle: Fn(&Request) -> Vec<u8> + Send + Sync + 'static,
{
    Server::start(listener, move |mut reader| {
        while let Ok(request) = reader.request() {
            let answer = handle(&request);
            if reader.stream.write_all(&answer).is_err() {
                return;
            }
        }
    })
}
