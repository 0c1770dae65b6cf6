//! The link between one machine and the platform's interface for duties, which can be cut.
//!
//! What TCP does on a cut link is played in time, as packets can't be dropped here: a segment that is sent
//! during the cut is sent again 0.2, 0.6 and 1.4 s later, also if its sender has closed the connection in
//! the meantime, and is given up after the sender's `TCP_USER_TIMEOUT` (1.5 s) or if the sender resets the
//! connection. The first packet of a new connection is sent again after 1 s; if its sender has given up by
//! then, nothing follows.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// When a lost segment is sent again, counted from when it was first sent.
const RETRANSMISSIONS_MS: [u64; 3] = [200, 600, 1_400];

/// When the first packet of a connection is sent again.
const SYN_RETRANSMISSION: Duration = Duration::from_millis(1_000);

/// A link; clones share its state.
#[derive(Clone, Default)]
pub struct Link {
    cuts: Arc<Mutex<Vec<(Instant, Instant)>>>,
}

impl Link {
    /// Cuts the link from now on for `span`.
    pub fn cut(&self, span: Duration) {
        let now = Instant::now();
        self.cuts.lock().unwrap().push((now, now + span));
    }

    fn is_cut(&self, at: Instant) -> bool {
        let cuts = self.cuts.lock().unwrap();
        cuts.iter().any(|(from, to)| *from <= at && at < *to)
    }

    /// How long ago the link was healed, if it was ever cut; zero during a cut.
    pub fn healed_for(&self, at: Instant) -> Option<Duration> {
        let cuts = self.cuts.lock().unwrap();
        let (_, to) = cuts.iter().rfind(|(from, _)| *from <= at)?;
        Some(at.saturating_duration_since(*to))
    }

    /// When a segment arrives that is first sent at `sent`; `None` if it never does.
    fn arrival(&self, sent: Instant) -> Option<Instant> {
        let again = RETRANSMISSIONS_MS.map(|ms| sent + Duration::from_millis(ms));
        let mut tries = [sent].into_iter().chain(again);
        tries.find(|at| !self.is_cut(*at))
    }

    /// Passes connections on to `target` over the link.
    pub fn serve(&self, listener: TcpListener, target: SocketAddr) {
        let link = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let link = link.clone();
                thread::spawn(move || link.pass_on(stream, target));
            }
        });
    }

    fn pass_on(&self, mut machine: TcpStream, target: SocketAddr) -> io::Result<()> {
        machine.set_nodelay(true)?;
        let mut waiting = Vec::new();
        if self.is_cut(Instant::now()) {
            thread::sleep(SYN_RETRANSMISSION);
            if self.is_cut(Instant::now()) || !read_waiting(&mut machine, &mut waiting)? {
                return Ok(());
            }
        }
        let mut platform = TcpStream::connect(target)?;
        platform.set_nodelay(true)?;
        platform.write_all(&waiting)?;
        let (mut from, mut to) = (platform.try_clone()?, machine.try_clone()?);
        let back = self.clone();
        thread::spawn(move || back.copy(&mut from, &mut to));
        let (mut from, mut to) = (machine, platform);
        self.copy(&mut from, &mut to)
    }

    /// Copies bytes in one direction until the sender closes or resets the connection.
    fn copy(&self, from: &mut TcpStream, to: &mut TcpStream) -> io::Result<()> {
        let mut buffer = [0; 16_384];
        loop {
            let length = from.read(&mut buffer)?;
            let Some(arrival) = self.arrival(Instant::now()) else {
                return to.shutdown(Shutdown::Both);
            };
            thread::sleep(arrival.saturating_duration_since(Instant::now()));
            if length == 0 {
                return to.shutdown(Shutdown::Write);
            }
            // Bytes that are held up are lost if their sender resets the connection.
            if has_reset(from) {
                return to.shutdown(Shutdown::Both);
            }
            to.write_all(&buffer[..length])?;
        }
    }
}

/// Reads what has been written on a connection; returns whether the other end has kept it open.
fn read_waiting(stream: &mut TcpStream, waiting: &mut Vec<u8>) -> io::Result<bool> {
    stream.set_nonblocking(true)?;
    let mut buffer = [0; 16_384];
    let is_open = loop {
        match stream.read(&mut buffer) {
            Ok(0) => break false,
            Ok(length) => waiting.extend_from_slice(&buffer[..length]),
            Err(error) => break error.kind() == io::ErrorKind::WouldBlock,
        }
    };
    stream.set_nonblocking(false)?;
    Ok(is_open)
}

fn has_reset(stream: &TcpStream) -> bool {
    matches!(stream.take_error(), Ok(Some(_)))
}
