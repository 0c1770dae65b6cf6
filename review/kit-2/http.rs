//! HTTP/1.1 for stand-ins: reading heads and bodies, and writing answers.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

/// A request or an answer as it was read.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub start: String,
    /// The headers; names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known == name)?;
        Some(&found.1)
    }

    /// The target of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// The path of a request.
    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// A field of the query of a request, decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let mut fields = query.split('&').filter_map(|field| field.split_once('='));
        let (_, value) = fields.find(|(known, _)| *known == name)?;
        Some(percent_decoded(value))
    }

    /// The status of an answer; 0 if it has none.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

fn percent_decoded(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let digits: Vec<u8> = rest.by_ref().take(2).collect();
        let digits = String::from_utf8_lossy(&digits).into_owned();
        bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Reads the head of a message; `None` at the end of the connection.
pub fn read_head<Input>(input: &mut Input) -> io::Result<Option<Message>>
where
    Input: BufRead,
{
    let mut message = Message::default();
    let mut line = String::new();
    if input.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.start = line.trim_end().to_string();
    loop {
        line.clear();
        if input.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = text.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            message.headers.push((name, value.trim().to_string()));
        }
    }
}

/// Reads the body of a message whose head was read. Fails if it breaks off. The body of an answer
/// without a length ends with its connection.
pub fn read_body<Input>(input: &mut Input, message: &mut Message, is_answer: bool) -> io::Result<()>
where
    Input: BufRead,
{
    let coding = message.header("transfer-encoding").unwrap_or_default();
    if coding.eq_ignore_ascii_case("chunked") {
        loop {
            let mut line = String::new();
            if input.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let length = usize::from_str_radix(line.trim(), 16);
            let length = length.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; length + 2];
            input.read_exact(&mut chunk)?;
            if length == 0 {
                return Ok(());
            }
            message.body.extend_from_slice(&chunk[..length]);
        }
    }
    let length = message.header("content-length");
    match length.and_then(|text| text.parse::<usize>().ok()) {
        Some(length) => {
            message.body = vec![0; length];
            input.read_exact(&mut message.body)
        }
        None if is_answer => input.read_to_end(&mut message.body).map(drop),
        None => Ok(()),
    }
}

/// Writes an answer with a length.
pub fn write_answer(
    output: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut bytes = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        bytes.push_str(&format!("{name}: {value}\r\n"));
    }
    bytes.push_str("\r\n");
    let mut bytes = bytes.into_bytes();
    bytes.extend_from_slice(body);
    output.write_all(&bytes)
}

/// Serves each connection of `listener` in a thread of its own, request by request, until
/// `answer` returns `false` or fails.
pub fn serve<Answer>(listener: TcpListener, answer: Answer)
where
    Answer: Fn(&Message, &mut TcpStream) -> io::Result<bool> + Clone + Send + 'static,
{
    for stream in listener.incoming() {
        let Ok(stream) = stream else { continue };
        let answer = answer.clone();
        thread::spawn(move || serve_connection(stream, answer));
    }
}

fn serve_connection<Answer>(mut stream: TcpStream, answer: Answer) -> io::Result<()>
where
    Answer: Fn(&Message, &mut TcpStream) -> io::Result<bool>,
{
    stream.set_nodelay(true)?;
    let mut input = BufReader::new(stream.try_clone()?);
    while let Some(mut request) = read_head(&mut input)? {
        read_body(&mut input, &mut request, false)?;
        if !answer(&request, &mut stream)? {
            return Ok(());
        }
    }
    Ok(())
}

/// Sends a request on a new connection and reads the complete answer.
pub fn call(
    address: SocketAddr,
    start: &str,
    headers: &[(String, String)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    let mut bytes = format!("{start} HTTP/1.1\r\n");
    for (name, value) in headers {
        bytes.push_str(&format!("{name}: {value}\r\n"));
    }
    bytes.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = bytes.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let mut input = BufReader::new(stream);
    let answer = read_head(&mut input)?;
    let mut answer = answer.ok_or(io::ErrorKind::UnexpectedEof)?;
    read_body(&mut input, &mut answer, true)?;
    Ok(answer)
}
