//! The platform's store and its interface for duties, as the pages describe them. It has no faults.

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Message},
    record::Record,
};

const KEYED: &str = "keyed.";
const PAGE_ITEMS: usize = 500;

#[derive(Default)]
struct Log {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (usize, Vec<u8>)>,
}

type Logs = BTreeMap<(String, String), Log>;

/// The store; clones share its state.
#[derive(Clone, Default)]
pub struct Store {
    logs: Arc<(Mutex<Logs>, Condvar)>,
}

impl Store {
    /// Writes a record under a key, as the operator or a replica does.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        let mut logs = self.logs.0.lock().unwrap();
        append(&mut logs, topic, "0", vec![record]);
        self.logs.1.notify_all();
    }

    /// Serves the store at `listener`.
    pub fn serve(&self, listener: TcpListener) {
        let store = self.clone();
        thread::spawn(move || {
            http::serve(listener, move |request, output| {
                store.answer(request, output)
            });
        });
    }

    fn answer(&self, request: &Message, output: &mut TcpStream) -> io::Result<bool> {
        let topic = request.query("topic").unwrap_or_default();
        let part = request.query("part").unwrap_or_else(|| "0".to_string());
        match request.path() {
            "/v1/log-append" => self.answer_append(request, &topic, &part, output)?,
            "/v1/log-read" => self.answer_read(request, &topic, &part, output)?,
            "/v1/log-newest" => self.answer_newest(request, &topic, &part, output)?,
            // The call by which replicas write their entries; the pages don't name one.
            "/standin/put" => {
                self.put(
                    &topic,
                    &request.query("key").unwrap_or_default(),
                    &request.body,
                );
                http::write_answer(output, "200 OK", &[], b"{}")?;
            }
            _ => http::write_answer(output, "404 Not Found", &[], b"{}")?,
        }
        Ok(true)
    }

    fn answer_append(
        &self,
        request: &Message,
        topic: &str,
        part: &str,
        output: &mut TcpStream,
    ) -> io::Result<()> {
        thread::sleep(Duration::from_millis(4));
        let Some(records) = split_records(&request.body) else {
            return http::write_answer(output, "400 Bad Request", &[], b"{}");
        };
        let at = request.query("at").and_then(|at| at.parse::<usize>().ok());
        let mut logs = self.logs.0.lock().unwrap();
        let end = logs
            .get(&place(topic, part))
            .map_or(0, |log| log.records.len());
        if at.is_some_and(|at| at != end) {
            drop(logs);
            let body = format!("{{\"endOffset\":{end}}}");
            return http::write_answer(output, "412 Precondition Failed", &[], body.as_bytes());
        }
        let count = records.len();
        append(&mut logs, topic, part, records);
        drop(logs);
        self.logs.1.notify_all();
        let body = format!("{{\"offset\":{end},\"endOffset\":{}}}", end + count);
        http::write_answer(output, "200 OK", &[], body.as_bytes())
    }

    fn answer_read(
        &self,
        request: &Message,
        topic: &str,
        part: &str,
        output: &mut TcpStream,
    ) -> io::Result<()> {
        let number = |name: &str| {
            let value = request.query(name);
            value
                .and_then(|value| value.parse::<usize>().ok())
                .unwrap_or(0)
        };
        let (from, wait_ms) = (number("from"), number("waitMs"));
        let deadline = Instant::now() + Duration::from_millis(wait_ms as u64);
        let mut logs = self.logs.0.lock().unwrap();
        loop {
            let log = logs.get(&place(topic, part));
            let left = deadline.saturating_duration_since(Instant::now());
            if log.is_some_and(|log| log.records.len() > from) || left.is_zero() {
                break;
            }
            logs = self.logs.1.wait_timeout(logs, left).unwrap().0;
        }
        let Some(log) = logs.get(&place(topic, part)) else {
            drop(logs);
            return http::write_answer(output, "404 Not Found", &[], b"{}");
        };
        let mut body = (log.records.len() as u64).to_be_bytes().to_vec();
        body.extend_from_slice(&0_u64.to_be_bytes());
        for record in log.records.iter().skip(from) {
            body.extend_from_slice(&(record.len() as u32).to_be_bytes());
            body.extend_from_slice(record);
        }
        drop(logs);
        http::write_answer(output, "200 OK", &[], &body)
    }

    fn answer_newest(
        &self,
        request: &Message,
        topic: &str,
        part: &str,
        output: &mut TcpStream,
    ) -> io::Result<()> {
        let after = request.query("after");
        let logs = self.logs.0.lock().unwrap();
        let empty = Log::default();
        let log = logs.get(&place(topic, part)).unwrap_or(&empty);
        let mut rest = log.newest.iter();
        let mut rest = rest
            .by_ref()
            .filter(|(key, _)| after.as_ref().is_none_or(|after| *key > after));
        let items: Vec<String> = rest
            .by_ref()
            .take(PAGE_ITEMS)
            .map(|(key, (offset, value))| {
                let value = base64(value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let (items, has_more) = (items.join(","), rest.next().is_some());
        let end = log.records.len();
        let body = format!("{{\"items\":[{items}],\"hasMore\":{has_more},\"endOffset\":{end}}}");
        drop(logs);
        http::write_answer(output, "200 OK", &[], body.as_bytes())
    }
}

fn place(topic: &str, part: &str) -> (String, String) {
    (topic.to_string(), part.to_string())
}

fn append(logs: &mut Logs, topic: &str, part: &str, records: Vec<Vec<u8>>) {
    let log = logs.entry(place(topic, part)).or_default();
    for record in records {
        if topic.starts_with(KEYED) {
            let length = usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
            let value = record[1 + length..].to_vec();
            match value.is_empty() {
                true => log.newest.remove(&key),
                false => log.newest.insert(key, (log.records.len(), value)),
            };
        }
        log.records.push(record);
    }
}

fn split_records(mut body: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut records = Vec::new();
    while !body.is_empty() {
        let length = u32::from_be_bytes(body.get(..4)?.try_into().ok()?) as usize;
        records.push(body.get(4..4 + length)?.to_vec());
        body = &body[4 + length..];
    }
    Some(records)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let number = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for digit in 0..4 {
            match digit <= chunk.len() {
                true => text.push(char::from(
                    DIGITS[(number >> (18 - 6 * digit)) as usize & 63],
                )),
                false => text.push('='),
            }
        }
    }
    text
}

/// A call at the interface for duties.
#[derive(Clone, Debug)]
pub struct DutyCall {
    /// When it arrived.
    pub at: Instant,
    /// The path, with the holder of the duty.
    pub path: String,
    /// The machine that holds the duty.
    pub holder: String,
    /// The fencing token.
    pub fence: u64,
}

/// Serves the interface for duties at `listener`; it records each call and answers 200.
pub fn serve_duties(listener: TcpListener, record: Record) -> Arc<Mutex<Vec<DutyCall>>> {
    let calls: Arc<Mutex<Vec<DutyCall>>> = Arc::default();
    let received = Arc::clone(&calls);
    thread::spawn(move || {
        http::serve(listener, move |request, output| {
            let text = |name| request.header(name).unwrap_or("-").to_string();
            let (holder, fence) = (text("duty-holder"), text("fencing-token"));
            let body = String::from_utf8_lossy(&request.body).into_owned();
            let path = request.path().to_string();
            record.line(&format!(
                "platform: {path} holder={holder} fence={fence} {body}"
            ));
            received.lock().unwrap().push(DutyCall {
                at: Instant::now(),
                path,
                holder,
                fence: fence.parse().unwrap_or_default(),
            });
            http::write_answer(output, "200 OK", &[], b"{}")?;
            Ok(true)
        });
    });
    calls
}

/// Binds a free port at `ip`.
pub fn bind(ip: &str) -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind(format!("{ip}:0"))?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}
