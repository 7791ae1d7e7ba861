//! A link in front of one daemon: other daemons' connections go through it.

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

/// What all connections of a link share.
struct LinkState {
    bytes_per_s: usize,
    /// Held by whoever is sending.
    turn: Mutex<()>,
    is_silent: AtomicBool,
}

/// A link that carries so many bytes a second in all, or nothing while it is silent.
#[derive(Clone)]
pub struct ThinLink {
    pub address: SocketAddr,
    state: Arc<LinkState>,
}

impl ThinLink {
    /// Makes a link to `target`. Its threads end with their connections and with the process.
    pub fn start(target: SocketAddr, bytes_per_s: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (turn, is_silent) = (Mutex::new(()), AtomicBool::new(false));
        let state = Arc::new(LinkState { bytes_per_s, turn, is_silent });
        let shared = state.clone();
        std::thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(target) else { continue };
                carry_both(&near, &far, &shared);
            }
        });
        Self { address, state }
    }

    pub fn set_silent(&self, is_silent: bool) {
        self.state.is_silent.store(is_silent, Ordering::SeqCst);
    }
}

fn carry_both(near: &TcpStream, far: &TcpStream, state: &Arc<LinkState>) {
    for (from, to) in [(near, far), (far, near)] {
        let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { return };
        let state = state.clone();
        std::thread::spawn(move || carry(from, to, &state));
    }
}

fn carry(mut from: TcpStream, mut to: TcpStream, state: &LinkState) {
    let mut chunk = [0; CHUNK_BYTES];
    while let Ok(count @ 1..) = from.read(&mut chunk) {
        while state.is_silent.load(Ordering::SeqCst) {
            std::thread::sleep(POLL_PAUSE);
        }
        let turn = state.turn.lock().expect("lock");
        std::thread::sleep(Duration::from_secs_f64(count as f64 / state.bytes_per_s as f64));
        drop(turn);
        if to.write_all(&chunk[..count]).is_err() {
            break;
        }
    }
    // The other side may have closed its half already.
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}
