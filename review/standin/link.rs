//! Links between machines, which can be cut for some of them.

use std::{
    collections::HashSet,
    fs,
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{fleet::Machine, util::sleep_ms};

/// Which machines are cut off from all others, by the index of the machine.
#[derive(Clone, Default)]
pub struct Cut(Arc<Mutex<HashSet<usize>>>);

impl Cut {
    pub fn set(&self, machines: &[usize]) {
        *self.0.lock().unwrap() = machines.iter().copied().collect();
    }

    fn is_between(&self, from: Option<usize>, to: usize) -> bool {
        let cut = self.0.lock().unwrap();
        from != Some(to) && (cut.contains(&to) || from.is_some_and(|from| cut.contains(&from)))
    }
}

/// Opens a link to a listener of machine `to`. While either end is cut off, it holds all bytes.
pub fn open_link(
    at: SocketAddr,
    target: SocketAddr,
    to: usize,
    machines: &Arc<Mutex<Vec<Arc<Machine>>>>,
    cut: &Cut,
) -> io::Result<()> {
    let listener = TcpListener::bind(at)?;
    let (machines, cut) = (machines.clone(), cut.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (machines, cut) = (machines.clone(), cut.clone());
            thread::spawn(move || {
                let from = find_sender(&stream, &machines);
                let _ = carry(stream, target, (from, to), &cut);
            });
        }
    });
    Ok(())
}

/// Carries a connection until either side ends it.
fn carry(
    near: TcpStream,
    target: SocketAddr,
    (from, to): (Option<usize>, usize),
    cut: &Cut,
) -> io::Result<()> {
    while cut.is_between(from, to) {
        sleep_ms(20);
    }
    let far = TcpStream::connect(target)?;
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let back = (far.try_clone()?, near.try_clone()?);
    let returning = cut.clone();
    thread::spawn(move || copy(back.0, back.1, (from, to), &returning));
    copy(near, far, (from, to), cut);
    Ok(())
}

fn copy(
    mut from_stream: TcpStream,
    mut to_stream: TcpStream,
    (from, to): (Option<usize>, usize),
    cut: &Cut,
) {
    let mut bytes = [0; 16 * 1024];
    let _ = from_stream.set_read_timeout(Some(Duration::from_secs(60)));
    while let Ok(size) = from_stream.read(&mut bytes) {
        while cut.is_between(from, to) {
            sleep_ms(20);
        }
        if size == 0 || to_stream.write_all(&bytes[..size]).is_err() {
            break;
        }
    }
    let _ = to_stream.shutdown(std::net::Shutdown::Write);
    let _ = from_stream.shutdown(std::net::Shutdown::Read);
}

/// Returns the machine whose daemon opened a connection, by the socket's owner.
fn find_sender(stream: &TcpStream, machines: &Mutex<Vec<Arc<Machine>>>) -> Option<usize> {
    let (peer, own) = (stream.peer_addr().ok()?, stream.local_addr().ok()?);
    let (peer, own) = (hex_address(peer)?, hex_address(own)?);
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let inode = table.lines().skip(1).find_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        (fields.get(1) == Some(&peer.as_str()) && fields.get(2) == Some(&own.as_str()))
            .then(|| fields.get(9).copied().unwrap_or("").to_owned())
    })?;
    let socket = format!("socket:[{inode}]");
    let machines = machines.lock().unwrap().clone();
    machines.iter().position(|machine| {
        let Some(id) = machine.process_id() else { return false };
        let Ok(files) = fs::read_dir(format!("/proc/{id}/fd")) else { return false };
        files.flatten().any(|file| {
            fs::read_link(file.path()).is_ok_and(|path| path.to_string_lossy() == socket)
        })
    })
}

/// Returns an address as the kernel's table of connections writes it.
fn hex_address(address: SocketAddr) -> Option<String> {
    let SocketAddr::V4(address) = address else { return None };
    let ip = u32::from_le_bytes(address.ip().octets());
    Some(format!("{ip:08X}:{:04X}", address.port()))
}
