//! The platform's store: a log with topics, and keyed topics. It loses nothing.

use std::{
    collections::BTreeMap,
    net::TcpListener,
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::http::{self, answer_bytes, Request};

#[derive(Default)]
struct Log {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
}

impl Log {
    fn end(&self) -> u64 {
        self.records.len() as u64
    }
}

#[derive(Default)]
pub struct Store {
    logs: Mutex<BTreeMap<(String, String), Log>>,
    changed: Condvar,
}

impl Store {
    pub fn start(listener: TcpListener) -> Arc<Store> {
        let store = Arc::new(Store::default());
        let served = Arc::clone(&store);
        let server = http::serve_simple(listener, move |request| served.answer(request));
        std::mem::forget(server);
        store
    }

    /// Writes a record under a key, as the operator and the replicas do. On return it is
    /// acknowledged. An empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        self.append(topic, "0", None, vec![record]).ok();
    }

    fn append(
        &self,
        topic: &str,
        part: &str,
        at: Option<u64>,
        records: Vec<Vec<u8>>,
    ) -> Result<(u64, u64), u64> {
        let mut logs = self.logs.lock().unwrap();
        let log = logs
            .entry((topic.to_string(), part.to_string()))
            .or_default();
        let offset = log.end();
        if at.is_some_and(|at| at != offset) {
            return Err(offset);
        }
        for record in records {
            if topic.starts_with("keyed.") && !record.is_empty() {
                let length = usize::from(record[0]) + 1;
                let key =
                    String::from_utf8_lossy(&record[1..length.min(record.len())]).into_owned();
                let value = record[length.min(record.len())..].to_vec();
                match value.is_empty() {
                    true => log.newest.remove(&key),
                    false => log.newest.insert(key, (log.records.len() as u64, value)),
                };
            }
            log.records.push(record);
        }
        let end = log.end();
        drop(logs);
        self.changed.notify_all();
        Ok((offset, end))
    }

    fn answer(&self, request: &Request) -> Vec<u8> {
        let topic = request.query("topic").unwrap_or_default();
        let part = request.query("part").unwrap_or("0");
        match (request.method.as_str(), request.path()) {
            ("POST", "/v1/log-append") => self.answer_append(request, topic, part),
            ("GET", "/v1/log-read") => self.answer_read(request, topic, part),
            ("GET", "/v1/log-newest") => self.answer_newest(request, topic, part),
            _ => json(404, "{}"),
        }
    }

    fn answer_append(&self, request: &Request, topic: &str, part: &str) -> Vec<u8> {
        if topic == "keyed.op" || topic == "keyed.servers" {
            return json(403, "{}");
        }
        let mut records = Vec::new();
        let mut rest = &request.body[..];
        while rest.len() >= 4 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            if rest.len() < 4 + length {
                return json(400, "{}");
            }
            records.push(rest[4..4 + length].to_vec());
            rest = &rest[4 + length..];
        }
        let at = request.query("at").and_then(|value| value.parse().ok());
        match self.append(topic, part, at, records) {
            Ok((offset, end)) => json(200, &format!("{{\"offset\":{offset},\"endOffset\":{end}}}")),
            Err(end) => json(412, &format!("{{\"endOffset\":{end}}}")),
        }
    }

    fn answer_read(&self, request: &Request, topic: &str, part: &str) -> Vec<u8> {
        let number = |name: &str, default: u64| {
            request
                .query(name)
                .and_then(|value| value.parse().ok())
                .unwrap_or(default)
        };
        let (from, wait, most) = (
            number("from", 0),
            number("waitMs", 0),
            number("maxReadKb", 1_024),
        );
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let key = (topic.to_string(), part.to_string());
        let mut logs = self.logs.lock().unwrap();
        loop {
            let end = logs.get(&key).map_or(0, Log::end);
            let now = Instant::now();
            if end > from || now >= until {
                break;
            }
            logs = self.changed.wait_timeout(logs, until - now).unwrap().0;
        }
        let mut body = Vec::new();
        let end = logs.get(&key).map_or(0, Log::end);
        body.extend_from_slice(&end.to_be_bytes());
        body.extend_from_slice(&0_u64.to_be_bytes());
        let records = logs.get(&key).map_or(&[][..], |log| &log.records[..]);
        for record in records.iter().skip(from as usize) {
            if body.len() > 16 && (body.len() + record.len()) as u64 > most * 1_024 {
                break;
            }
            body.extend_from_slice(&(record.len() as u32).to_be_bytes());
            body.extend_from_slice(record);
        }
        answer_bytes(200, &[], &body)
    }

    fn answer_newest(&self, request: &Request, topic: &str, part: &str) -> Vec<u8> {
        let after = request.query("after").unwrap_or_default();
        let logs = self.logs.lock().unwrap();
        let empty = Log::default();
        let log = logs
            .get(&(topic.to_string(), part.to_string()))
            .unwrap_or(&empty);
        let later: Vec<_> = log
            .newest
            .iter()
            .filter(|(key, _)| key.as_str() > after)
            .collect();
        let items: Vec<String> = later
            .iter()
            .take(500)
            .map(|(key, (offset, value))| {
                format!(
                    "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
                    base64(value)
                )
            })
            .collect();
        let text = format!(
            "{{\"items\":[{}],\"hasMore\":{},\"endOffset\":{}}}",
            items.join(","),
            later.len() > 500,
            log.end(),
        );
        json(200, &text)
    }
}

pub fn json(status: u16, text: &str) -> Vec<u8> {
    answer_bytes(
        status,
        &[("Content-Type", "application/json")],
        text.as_bytes(),
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let at = |index: usize| u32::from(three.get(index).copied().unwrap_or(0));
        let bits = at(0) << 16 | at(1) << 8 | at(2);
        for digit in 0..4 {
            match digit <= three.len() {
                true => text.push(DIGITS[(bits >> (18 - 6 * digit) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}
