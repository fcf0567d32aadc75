//! Clients that disconnect while their command is open, and endpoints whose response or connection
//! is delayed.

#![allow(dead_code)] // each test file uses only some of this

use crate::harness::*;
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::Duration;

/// How long the sidecar stays paused (SIGSTOP) between the disconnect and the moment at which it
/// would have sent an attempt.
pub const PAUSE: Duration = Duration::from_millis(150);

/// How a client disconnects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disconnect {
    Close,
    Reset,
    /// Shuts down its sending side only.
    HalfClose,
    /// Closes after it has written a next request.
    AfterNextRequest,
}

/// Disconnects a client, and returns once the sidecar's system has the end. A half-closed
/// connection is returned, as it stays open until it is dropped.
pub fn disconnect(client: BufReader<TcpStream>, kind: Disconnect) -> Option<BufReader<TcpStream>> {
    let sender = client.get_ref().local_addr().unwrap();
    let receiver = client.get_ref().peer_addr().unwrap();
    let half_closed = end_connection(client, kind);
    wait_until_end_received(sender, receiver);
    half_closed
}

fn end_connection(
    mut client: BufReader<TcpStream>,
    kind: Disconnect,
) -> Option<BufReader<TcpStream>> {
    match kind {
        Disconnect::Close => drop(client),
        Disconnect::Reset => {
            let socket = socket2::SockRef::from(client.get_ref());
            socket.set_linger(Some(Duration::ZERO)).unwrap();
        }
        Disconnect::HalfClose => {
            client.get_ref().shutdown(Shutdown::Write).unwrap();
            return Some(client);
        }
        Disconnect::AfterNextRequest => {
            client
                .get_mut()
                .write_all(get_look("next").as_bytes())
                .unwrap();
        }
    }
    None
}

/// Pauses the sidecar, runs `event`, then disconnects the client, so that the sidecar finds both at
/// once when it continues.
pub fn event_then_disconnect(
    sidecar: &Sidecar,
    client: BufReader<TcpStream>,
    kind: Disconnect,
    event: impl FnOnce(),
) -> Option<BufReader<TcpStream>> {
    sidecar.signal("STOP");
    event();
    sleep(20 * MS);
    let half_closed = disconnect(client, kind);
    sleep(PAUSE);
    sidecar.signal("CONT");
    half_closed
}

/// Sends a request over a new connection, without waiting for the response.
pub fn send(sidecar: &Sidecar, request: &str) -> BufReader<TcpStream> {
    let mut client = sidecar.connect();
    client.get_mut().write_all(request.as_bytes()).unwrap();
    client
}

/// How many requests with this id an endpoint received.
pub fn times_sent(endpoint: &FakeServer, id: &str) -> usize {
    endpoint
        .requests
        .lock()
        .unwrap()
        .iter()
        .filter(|request| request.header("req-id").as_deref() == Some(id))
        .count()
}

/// Responds that the request was not executed, so that it may be retried.
pub fn respond_declined(to: &mut TcpStream) {
    respond(to, "503 Busy", "Srv-Declined: 1\r\n", b"");
}

/// What an endpoint does with the first attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FirstAttempt {
    Declined,
    Reset,
    Failed,
    Hangs,
}

/// An endpoint that answers at once, except for requests whose id begins with `left`: their first
/// attempt, counted over all endpoints that share `attempts`, waits at the gate and then fails;
/// further attempts are answered.
pub fn endpoint_failing_first_attempt(
    gate: &Gate,
    attempts: &Arc<AtomicUsize>,
    kind: FirstAttempt,
) -> FakeServer {
    let (gate, attempts) = (gate.clone(), attempts.clone());
    fake_server(move |message, to| {
        let fails = message
            .header("req-id")
            .is_some_and(|id| id.starts_with("left"));
        if fails && attempts.fetch_add(1, SeqCst) == 0 {
            gate.wait_until_open();
            match kind {
                FirstAttempt::Declined => respond_declined(to),
                FirstAttempt::Failed => respond(to, "500 Oops", "", b""),
                FirstAttempt::Reset => {
                    let _ = socket2::SockRef::from(&*to).set_linger(Some(Duration::ZERO));
                    return false;
                }
                FirstAttempt::Hangs => {}
            }
            return true;
        }
        respond(to, "200 OK", "", b"ok");
        true
    })
}

/// A listener whose backlog is full, so that connects hang until `accept_and_read` accepts them.
pub struct DelayedListener {
    pub address: SocketAddr,
    listener: TcpListener,
    filling: Vec<TcpStream>,
}

impl DelayedListener {
    pub fn new() -> Self {
        let (address, listener, filling) = full_backlog_listener();
        DelayedListener {
            address,
            listener,
            filling,
        }
    }

    /// Accepts all connections for several seconds, as the kernel retries a SYN after one, two and
    /// four seconds. Returns the bytes received over them.
    pub fn accept_and_read(self) -> JoinHandle<Vec<u8>> {
        spawn(move || {
            self.listener.set_nonblocking(true).unwrap();
            let fillers: Vec<_> = self
                .filling
                .iter()
                .map(|stream| stream.local_addr().unwrap())
                .collect();
            let (mut received, mut open) = (Vec::new(), Vec::new());
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
                        received.extend_from_slice(&bytes[..n]);
                        if n == 0 {
                            break;
                        }
                    }
                }
                sleep(5 * MS);
            }
            received
        })
    }
}

/// Whether the bytes contain a request with this id.
pub fn contains_request(received: &[u8], id: &str) -> bool {
    String::from_utf8_lossy(received).contains(&format!("req-id: {id}\r\n"))
}

/// Whether a socket of this machine is connecting to the address (state SYN_SENT in
/// `/proc/net/tcp`).
pub fn is_connecting(to: SocketAddr) -> bool {
    let SocketAddr::V4(to) = to else {
        unreachable!()
    };
    let [a, b, c, d] = to.ip().octets();
    let syn_sent = format!("{:02X}{:02X}{:02X}{:02X}:{:04X} 02", d, c, b, a, to.port());
    std::fs::read_to_string("/proc/net/tcp")
        .unwrap()
        .contains(&syn_sent)
}

/// `long_deadline_settings` without probes, under which a connect may take two seconds.
pub fn slow_connect_settings() -> String {
    let settings = long_deadline_settings().replace("\"probes\":true", "\"probes\":false");
    settings.replace(
        "\"connect_timeout\":250000000",
        "\"connect_timeout\":32000000000",
    )
}

/// A member list of two endpoints, `s-1` and `s-2`.
pub fn two_members(one: &FakeServer, other: &FakeServer) -> String {
    [("s-1", one), ("s-2", other)]
        .map(|(id, endpoint)| member(id, endpoint.address, "up"))
        .join(",")
}

/// Starts an endpoint that answers every command, at a given address; returns the request ids that
/// it receives.
pub fn ok_endpoint_at(address: SocketAddr) -> Arc<Mutex<Vec<String>>> {
    let (listener, request_ids) = (
        TcpListener::bind(address).unwrap(),
        Arc::<Mutex<Vec<String>>>::default(),
    );
    let recorded = Arc::clone(&request_ids);
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let recorded = Arc::clone(&recorded);
            spawn(move || {
                let mut reader = BufReader::new(stream);
                while let Some(message) = Message::read(&mut reader) {
                    recorded.lock().unwrap().extend(message.header("req-id"));
                    respond(reader.get_mut(), "200 OK", "", b"ok");
                }
            });
        }
    });
    request_ids
}
