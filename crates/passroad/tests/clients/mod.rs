//! Clients that leave, and endpoints that are in no hurry, for tests of cancellation.

#![allow(dead_code)] // each file of tests uses a part

use crate::stand_ins::*;
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::Duration;

/// How long the process stands still between the leaving and what would have been the send.
pub const STANDSTILL: Duration = Duration::from_millis(150);

/// How a client leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Leaves {
    Closes,
    Resets,
    ShutsSending,
    /// Behind the head of a next request.
    BehindNext,
}

/// What is returned keeps a connection open that was shut for sending only.
pub fn leave(mut client: BufReader<TcpStream>, how: Leaves) -> Option<BufReader<TcpStream>> {
    match how {
        Leaves::Closes => drop(client),
        Leaves::Resets => {
            let socket = socket2::SockRef::from(client.get_ref());
            socket.set_linger(Some(Duration::ZERO)).unwrap();
        }
        Leaves::ShutsSending => {
            client.get_ref().shutdown(Shutdown::Write).unwrap();
            return Some(client);
        }
        Leaves::BehindNext => {
            client.get_mut().write_all(look("next").as_bytes()).unwrap();
        }
    }
    None
}

/// While the process stands still `event` happens, and right behind it the client leaves.
pub fn cross(
    sidecar: &Sidecar,
    client: BufReader<TcpStream>,
    how: Leaves,
    event: impl FnOnce(),
) -> Option<BufReader<TcpStream>> {
    sidecar.signal("STOP");
    event();
    sleep(20 * MS);
    let kept = leave(client, how);
    sleep(STANDSTILL);
    sidecar.signal("CONT");
    kept
}

pub fn sends(sidecar: &Sidecar, request: &str) -> BufReader<TcpStream> {
    let mut client = sidecar.client();
    client.get_mut().write_all(request.as_bytes()).unwrap();
    client
}

/// How often an endpoint was sent a request of this id.
pub fn sent(endpoint: &StandIn, id: &str) -> usize {
    endpoint
        .seen
        .lock()
        .unwrap()
        .iter()
        .filter(|m| m.header("req-id").as_deref() == Some(id))
        .count()
}

/// Says that a request was not run.
pub fn declines(to: &mut TcpStream) {
    answer(to, "503 Busy", "Srv-Declined: 1\r\n", b"");
}

/// What an endpoint does with the first attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum First {
    Declined,
    Reset,
    Failed,
    Hangs,
}

/// An endpoint that answers what is asked at once, but for requests whose id begins with `left`: of these the first
/// attempt at any endpoint that shares `attempts` waits at the gate and then comes to nothing; further ones are answered.
pub fn fails_first(gate: &Gate, attempts: &Arc<AtomicUsize>, how: First) -> StandIn {
    let (gate, attempts) = (gate.clone(), attempts.clone());
    stand_in(move |message, to| {
        let left = message
            .header("req-id")
            .is_some_and(|id| id.starts_with("left"));
        if left && attempts.fetch_add(1, SeqCst) == 0 {
            gate.pass();
            match how {
                First::Declined => declines(to),
                First::Failed => answer(to, "500 Oops", "", b""),
                First::Reset => {
                    let _ = socket2::SockRef::from(&*to).set_linger(Some(Duration::ZERO));
                    return false;
                }
                First::Hangs => {}
            }
            return true;
        }
        answer(to, "200 OK", "", b"ok");
        true
    })
}

/// An endpoint to which connections come up only once it is told to let them.
pub struct Late {
    pub address: SocketAddr,
    listener: TcpListener,
    filling: Vec<TcpStream>,
}

impl Late {
    pub fn new() -> Self {
        let (address, listener, filling) = deaf();
        Late {
            address,
            listener,
            filling,
        }
    }

    /// Lets in what waits, for long enough: the system tries a connection again after one second, two, and four. The bytes
    /// that came.
    pub fn lets_in(self) -> JoinHandle<Vec<u8>> {
        spawn(move || {
            self.listener.set_nonblocking(true).unwrap();
            let fillers: Vec<_> = self
                .filling
                .iter()
                .map(|f| f.local_addr().unwrap())
                .collect();
            let (mut came, mut open) = (Vec::new(), Vec::new());
            for _ in 0..800 {
                while let Ok((stream, from)) = self.listener.accept() {
                    if !fillers.contains(&from) {
                        stream.set_nonblocking(true).unwrap();
                        open.push(stream);
                    }
                }
                for stream in &mut open {
                    let mut bytes = [0; 4000];
                    while let Ok(n) = stream.read(&mut bytes) {
                        came.extend_from_slice(&bytes[..n]);
                        if n == 0 {
                            break;
                        }
                    }
                }
                sleep(5 * MS);
            }
            came
        })
    }
}

pub fn says(came: &[u8], id: &str) -> bool {
    String::from_utf8_lossy(came).contains(&format!("req-id: {id}\r\n"))
}

/// Whether there is a connection under way to an address.
pub fn dials(to: SocketAddr) -> bool {
    let SocketAddr::V4(to) = to else {
        unreachable!()
    };
    let [a, b, c, d] = to.ip().octets();
    let at = format!("{:02X}{:02X}{:02X}{:02X}:{:04X} 02", d, c, b, a, to.port());
    std::fs::read_to_string("/proc/net/tcp")
        .unwrap()
        .contains(&at)
}

/// Patient settings with no probes, under which a connection may take two seconds to come up.
pub fn unhurried() -> String {
    let settings = patient().replace("\"probes\":true", "\"probes\":false");
    settings.replace(
        "\"connect_timeout\":250000000",
        "\"connect_timeout\":32000000000",
    )
}

pub fn both(one: &StandIn, other: &StandIn) -> String {
    [("s-1", one), ("s-2", other)]
        .map(|(id, e)| member(id, e.address, "up"))
        .join(",")
}

/// An endpoint that answers all from here on, at an address where nobody listened; the ids that it has seen.
pub fn willing_at(address: SocketAddr) -> Arc<Mutex<Vec<String>>> {
    let (listener, seen) = (
        TcpListener::bind(address).unwrap(),
        Arc::<Mutex<Vec<String>>>::default(),
    );
    let own = Arc::clone(&seen);
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let own = Arc::clone(&own);
            spawn(move || {
                let mut reader = BufReader::new(stream);
                while let Some(message) = Message::read(&mut reader) {
                    own.lock().unwrap().extend(message.header("req-id"));
                    answer(reader.get_mut(), "200 OK", "", b"ok");
                }
            });
        }
    });
    seen
}
