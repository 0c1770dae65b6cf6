//! Replicas of a plain service: `slots` requests at once and a few more in a queue; what finds no
//! room is refused with `Not-Executed`.

use std::{
    collections::BTreeMap,
    io::Write,
    net::{SocketAddr, TcpListener},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Condvar, Mutex,
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    fleet::ZONES,
    http::{answer_bytes, Reader, Request, Server},
    record,
    store::Store,
};

/// What a replica does beside its work.
#[derive(Clone, Copy, Default)]
pub struct Habits {
    /// The share of answers that come twice, the second one where the next answer on the
    /// connection is expected, in thousandths. Refusals of charges come first.
    pub extra_late: u64,
}

/// What all replicas of a case have seen.
#[derive(Default)]
pub struct Seen {
    /// The begins of runs, by attempt: when and where.
    pub runs: Mutex<BTreeMap<String, Vec<(u64, String)>>>,
    /// Arrivals of requests that crash replicas: when, which request, and where.
    pub deadly: Mutex<Vec<(u64, String, String)>>,
    pub answers: AtomicU64,
    pub extras: AtomicU64,
}

#[derive(Default)]
struct Load {
    running: usize,
    queued: usize,
}

pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
    zone: usize,
    born: u64,
    slots: usize,
    queue: usize,
    work: Duration,
    load: Mutex<Load>,
    freed: Condvar,
    is_dead: AtomicBool,
    has_left: AtomicBool,
    sequence: AtomicU64,
    server: Mutex<Option<Server>>,
    habits: Mutex<Habits>,
    answers: AtomicU64,
    extras: AtomicU64,
    seen: Arc<Seen>,
}

/// The size of a replica.
#[derive(Clone, Copy)]
pub struct Size {
    pub slots: usize,
    pub queue: usize,
    pub work_ms: u64,
}

impl Replica {
    pub fn start(
        store: &Arc<Store>,
        listener: TcpListener,
        id: &str,
        zone: usize,
        size: Size,
        seen: &Arc<Seen>,
    ) -> Arc<Replica> {
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis() as u64;
        let replica = Arc::new(Replica {
            id: id.to_string(),
            address: listener.local_addr().expect("a listener has an address"),
            zone,
            born,
            slots: size.slots,
            queue: size.queue,
            work: Duration::from_millis(size.work_ms),
            load: Mutex::default(),
            freed: Condvar::new(),
            is_dead: AtomicBool::new(false),
            has_left: AtomicBool::new(false),
            sequence: AtomicU64::new(0),
            server: Mutex::new(None),
            habits: Mutex::default(),
            answers: AtomicU64::new(0),
            extras: AtomicU64::new(0),
            seen: Arc::clone(seen),
        });
        let serving = Arc::clone(&replica);
        let server = Server::start(listener, move |reader| serving.serve(reader));
        *replica.server.lock().unwrap() = Some(server);
        let (beating, store) = (Arc::clone(&replica), Arc::clone(store));
        thread::spawn(move || beating.beat(&store));
        replica
    }

    pub fn set_habits(&self, habits: Habits) {
        *self.habits.lock().unwrap() = habits;
        self.answers.store(0, Ordering::SeqCst);
        self.extras.store(0, Ordering::SeqCst);
    }

    pub fn is_dead(&self) -> bool {
        self.is_dead.load(Ordering::SeqCst)
    }

    /// Ends as a crashed process does: nothing listens, all connections close, no word to anyone.
    pub fn crash(&self) {
        self.is_dead.store(true, Ordering::SeqCst);
        if let Some(server) = &*self.server.lock().unwrap() {
            server.kill();
        }
        self.freed.notify_all();
    }

    /// Reports that it leaves; it goes on serving.
    pub fn drain(&self, store: &Store) {
        self.has_left.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(120));
        store.put(
            "keyed.servers",
            &self.id,
            &self.next_beat().replace("ready", "draining"),
        );
    }

    /// Leaves without reporting `draining`: its entry is removed, and it goes on serving.
    pub fn leave_silently(&self, store: &Store) {
        self.has_left.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(120));
        store.put("keyed.servers", &self.id, "");
    }

    /// The next heartbeat; its number is used up.
    pub fn next_beat(&self) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        format!(
            "{{\"service\":\"kiosk-api\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.address, ZONES[self.zone], self.slots, self.born,
        )
    }

    fn is_registered(&self) -> bool {
        !self.is_dead() && !self.has_left.load(Ordering::SeqCst)
    }

    /// Registers every 1.2 s; the entry of a crashed replica is removed three intervals after the
    /// last one.
    fn beat(&self, store: &Store) {
        while self.is_registered() {
            store.put("keyed.servers", &self.id, &self.next_beat());
            for _ in 0..12 {
                thread::sleep(Duration::from_millis(100));
                if !self.is_registered() {
                    break;
                }
            }
        }
        if !self.has_left.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(3_600));
            store.put("keyed.servers", &self.id, "");
        }
    }

    fn serve(&self, mut reader: Reader) {
        let mut owed: Option<Vec<u8>> = None;
        while let Ok(request) = reader.request() {
            if let Some(extra) = owed.take() {
                // The second copy of the answer before, where the next one is expected.
                record::line(&format!(
                    "{} sends its previous answer on this connection a second time",
                    self.id
                ));
                if reader.stream.write_all(&extra).is_err() {
                    return;
                }
            }
            let Some((answer, is_charge_refusal)) = self.answer(&request) else {
                return;
            };
            if reader.stream.write_all(&answer).is_err() {
                return;
            }
            owed = self.extra(&answer, is_charge_refusal);
        }
    }

    /// The copy of the answer that comes later, if it is to come twice.
    fn extra(&self, answer: &[u8], is_charge_refusal: bool) -> Option<Vec<u8>> {
        let answers = self.answers.fetch_add(1, Ordering::SeqCst) + 1;
        self.seen.answers.fetch_add(1, Ordering::SeqCst);
        let share = self.habits.lock().unwrap().extra_late;
        let extras = self.extras.load(Ordering::SeqCst) + 1;
        if !is_charge_refusal || share == 0 || extras * 1_000 > share * answers {
            return None;
        }
        self.extras.store(extras, Ordering::SeqCst);
        self.seen.extras.fetch_add(1, Ordering::SeqCst);
        Some(answer.to_vec())
    }

    /// The bytes of the answer and whether it refuses a charge; `None` if the replica has crashed.
    fn answer(&self, request: &Request) -> Option<(Vec<u8>, bool)> {
        if request.path() == "/healthz" {
            return Some((answer_bytes(200, &[("Instance-Id", &self.id)], b""), false));
        }
        let attempt = request.header("attempt-id").unwrap_or_default().to_string();
        let refused = |status| {
            answer_bytes(
                status,
                &[
                    ("Attempt-Id", &attempt),
                    ("Not-Executed", "1"),
                    ("Instance-Id", &self.id),
                ],
                b"",
            )
        };
        if request
            .header("expect-instance")
            .is_some_and(|id| id != self.id)
        {
            return Some((refused(421), false));
        }
        let arrived = Instant::now();
        let deadline = request
            .header("deadline-ms")
            .and_then(|value| value.parse().ok())
            .unwrap_or(30_000);
        let deadline = arrived + Duration::from_millis(deadline);
        let is_charge = request.path().starts_with("/charge/");
        let is_deadly = request.path().contains("deadly");
        if is_deadly {
            let arrival = (record::now(), request.path().to_string(), self.id.clone());
            self.seen.deadly.lock().unwrap().push(arrival);
            record::line(&format!("{} gets {attempt} {}", self.id, request.path()));
        }
        if !self.take_slot(deadline) {
            if is_charge {
                record::line(&format!(
                    "{} refuses {attempt} as full (503, Not-Executed)",
                    self.id
                ));
            }
            return Some((refused(503), is_charge));
        }
        let run = (record::now(), self.id.clone());
        self.seen
            .runs
            .lock()
            .unwrap()
            .entry(attempt.clone())
            .or_default()
            .push(run);
        if is_charge || is_deadly {
            record::line(&format!("{} RUNS {attempt}", self.id));
        }
        // A deadly request crashes the replica as it begins to run.
        if !is_deadly {
            thread::sleep(self.work);
        }
        if is_deadly && !self.is_dead() {
            record::line(&format!("{} crashes under {attempt}", self.id));
            self.crash();
        }
        if self.is_dead() {
            return None;
        }
        self.load.lock().unwrap().running -= 1;
        self.freed.notify_one();
        let body = format!("done {attempt}");
        let headers = [
            ("Attempt-Id", attempt.as_str()),
            ("Server-Signature", "3e1b.07"),
            ("Keep-Alive", "timeout=10"),
        ];
        Some((answer_bytes(200, &headers, body.as_bytes()), false))
    }

    /// Waits for a slot; false if the queue is full or the deadline passes in it.
    fn take_slot(&self, deadline: Instant) -> bool {
        let mut load = self.load.lock().unwrap();
        if load.running < self.slots && load.queued == 0 {
            load.running += 1;
            return true;
        }
        if load.queued >= self.queue {
            return false;
        }
        load.queued += 1;
        loop {
            let now = Instant::now();
            if now >= deadline || self.is_dead() {
                load.queued -= 1;
                return false;
            }
            if load.running < self.slots {
                load.queued -= 1;
                load.running += 1;
                return true;
            }
            load = self.freed.wait_timeout(load, deadline - now).unwrap().0;
        }
    }
}
