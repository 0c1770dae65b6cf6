//! A proxy between an instance and the store that can fall silent. What was open when it fell
//! silent stays silent; connections that are opened later work once it carries again.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc,
    },
    thread,
};

#[derive(Default)]
pub struct Proxy {
    is_cut: AtomicBool,
    /// Rises with each cut.
    cuts: AtomicU64,
}

impl Proxy {
    pub fn start(listener: TcpListener, target: SocketAddr) -> Arc<Proxy> {
        let proxy = Arc::new(Proxy::default());
        let serving = Arc::clone(&proxy);
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let proxy = Arc::clone(&serving);
                thread::spawn(move || proxy.carry(client, target));
            }
        });
        proxy
    }

    pub fn cut(&self) {
        self.cuts.fetch_add(1, Ordering::SeqCst);
        self.is_cut.store(true, Ordering::SeqCst);
    }

    pub fn heal(&self) {
        self.is_cut.store(false, Ordering::SeqCst);
    }

    fn carry(self: Arc<Self>, client: TcpStream, target: SocketAddr) {
        let cuts = self.cuts.load(Ordering::SeqCst);
        let is_silent = self.is_cut.load(Ordering::SeqCst);
        let Ok(server) = TcpStream::connect(target) else {
            return;
        };
        let (Ok(from_client), Ok(from_server)) = (client.try_clone(), server.try_clone()) else {
            return;
        };
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let other = Arc::clone(&self);
        thread::spawn(move || other.copy(from_server, client, cuts, is_silent));
        self.copy(from_client, server, cuts, is_silent);
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream, cuts: u64, is_silent: bool) {
        let mut buffer = [0_u8; 16_384];
        while let Ok(count) = from.read(&mut buffer) {
            if count == 0 {
                break;
            }
            let is_silent = is_silent || self.cuts.load(Ordering::SeqCst) != cuts;
            if !is_silent && to.write_all(&buffer[..count]).is_err() {
                break;
            }
        }
        if !is_silent && self.cuts.load(Ordering::SeqCst) == cuts {
            let _ = to.shutdown(std::net::Shutdown::Both);
        }
    }
}
