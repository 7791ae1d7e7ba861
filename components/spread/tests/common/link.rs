//! A bandwidth-limited link in front of one daemon, which other daemons' connections go through.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

const CHUNK_BYTES: usize = 2_048;
const POLL_PAUSE: Duration = Duration::from_millis(5);

/// State shared by all connections of a link.
struct LinkState {
    bytes_per_s: usize,
    /// Serialises the connections: held by the one that is sending.
    send_lock: Mutex<()>,
    is_silent: AtomicBool,
}

/// A link whose connections together carry a limited number of bytes a second, or nothing while it
/// is silent.
#[derive(Clone)]
pub struct SlowLink {
    pub address: SocketAddr,
    state: Arc<LinkState>,
}

impl SlowLink {
    /// Starts a link to `target`. Its threads end with their connections and with the process.
    pub fn start(target: SocketAddr, bytes_per_s: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (send_lock, is_silent) = (Mutex::new(()), AtomicBool::new(false));
        let state = Arc::new(LinkState { bytes_per_s, send_lock, is_silent });
        let shared = state.clone();
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(target) else { continue };
                relay_both(&client, &server, &shared);
            }
        });
        Self { address, state }
    }

    pub fn set_silent(&self, is_silent: bool) {
        self.state.is_silent.store(is_silent, Ordering::SeqCst);
    }
}

fn relay_both(client: &TcpStream, server: &TcpStream, state: &Arc<LinkState>) {
    for (from, to) in [(client, server), (server, client)] {
        let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { return };
        let state = state.clone();
        std::thread::spawn(move || relay(from, to, &state));
    }
}

fn relay(mut from: TcpStream, mut to: TcpStream, state: &LinkState) {
    let mut chunk = [0; CHUNK_BYTES];
    while let Ok(length @ 1..) = from.read(&mut chunk) {
        while state.is_silent.load(Ordering::SeqCst) {
            std::thread::sleep(POLL_PAUSE);
        }
        let send_lock = state.send_lock.lock().expect("lock");
        std::thread::sleep(Duration::from_secs_f64(length as f64 / state.bytes_per_s as f64));
        drop(send_lock);
        if to.write_all(&chunk[..length]).is_err() {
            break;
        }
    }
    // The other thread may already have closed its half.
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}
