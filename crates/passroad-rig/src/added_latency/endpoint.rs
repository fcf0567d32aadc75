//! Endpoints of one tier, the same whoever calls them: a thread for each connection, work that passes without a core,
//! and a count of what came.

use super::door::{Door, Wire, held};
use hdrhistogram::Histogram;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const STACK: usize = 128 << 10;
/// Gaps behind an answer are kept up to this; longer ones count as this long.
const LONGEST_GAP: u64 = 60_000_000;

/// What came to a tier.
#[derive(Debug)]
pub struct Tally {
    pub calls: AtomicU64,
    pub probes: AtomicU64,
    pub accepted: AtomicU64,
    pub open: AtomicU64,
    /// Milliseconds that the calls said were left, in sum.
    pub left_ms: AtomicU64,
    /// Microseconds from a call's answer to the next request on the same connection.
    pub behind: Mutex<Histogram<u64>>,
}

impl Tally {
    fn new() -> Result<Tally, hdrhistogram::CreationError> {
        Ok(Tally {
            calls: AtomicU64::new(0),
            probes: AtomicU64::new(0),
            accepted: AtomicU64::new(0),
            open: AtomicU64::new(0),
            left_ms: AtomicU64::new(0),
            behind: Mutex::new(Histogram::new_with_bounds(1, LONGEST_GAP, 3)?),
        })
    }
}

/// How the endpoints of a tier behave.
#[derive(Clone)]
pub struct Make {
    pub work: Duration,
    /// Each answer to a call ends its connection.
    pub closes: bool,
    /// What a call calls in its turn.
    pub next: Option<Arc<Door>>,
}

pub struct Tier {
    pub addresses: Vec<SocketAddr>,
    pub tally: Arc<Tally>,
    over: Arc<AtomicBool>,
}

impl Tier {
    pub fn start(count: usize, make: &Make) -> io::Result<Tier> {
        let tally = Arc::new(Tally::new().map_err(io::Error::other)?);
        let over = Arc::new(AtomicBool::new(false));
        let mut addresses = Vec::new();
        for _ in 0..count {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
            addresses.push(listener.local_addr()?);
            let endpoint = Arc::new(Endpoint {
                make: make.clone(),
                tally: Arc::clone(&tally),
                inflight: AtomicUsize::new(0),
                turn: AtomicUsize::new(0),
            });
            let over = Arc::clone(&over);
            thread("endpoint", move || {
                for stream in listener.incoming() {
                    if over.load(Relaxed) {
                        return;
                    }
                    let Ok(stream) = stream else { continue };
                    let endpoint = Arc::clone(&endpoint);
                    // Without a thread the connection ends at once, and its call counts as failed.
                    let _ = thread("connection", move || endpoint.serve(stream));
                }
            })?;
        }
        Ok(Tier {
            addresses,
            tally,
            over,
        })
    }
}

impl Drop for Tier {
    fn drop(&mut self) {
        self.over.store(true, Relaxed);
        // Wakes each listener, so that it sees the end.
        self.addresses
            .iter()
            .for_each(|at| drop(TcpStream::connect(at)));
    }
}

pub fn thread(name: &str, run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    std::thread::Builder::new()
        .name(name.into())
        .stack_size(STACK)
        .spawn(run)
        .map(drop)
}

struct Endpoint {
    make: Make,
    tally: Arc<Tally>,
    inflight: AtomicUsize,
    turn: AtomicUsize,
}

impl Endpoint {
    fn serve(&self, stream: TcpStream) {
        self.tally.accepted.fetch_add(1, Relaxed);
        self.tally.open.fetch_add(1, Relaxed);
        if let Ok(mut wire) = Wire::new(stream) {
            let _ = self.talk(&mut wire);
        }
        self.tally.open.fetch_sub(1, Relaxed);
    }

    fn talk(&self, wire: &mut Wire) -> io::Result<()> {
        let mut answered: Option<Instant> = None;
        while wire.comes()? {
            if let Some(at) = answered.take() {
                let gap = (at.elapsed().as_micros() as u64).clamp(1, LONGEST_GAP);
                held(&self.tally.behind).saturating_record(gap);
            }
            let Some(message) = wire.read(true)? else {
                return Ok(());
            };
            if ["/load", "/healthz"].contains(&message.target.as_str()) {
                self.tally.probes.fetch_add(1, Relaxed);
                wire.write(answer("200 OK", "", &self.load()).as_bytes())?;
                continue;
            }
            self.tally.calls.fetch_add(1, Relaxed);
            self.tally.left_ms.fetch_add(message.left_ms, Relaxed);
            self.inflight.fetch_add(1, Relaxed);
            if !self.make.work.is_zero() {
                std::thread::sleep(self.make.work);
            }
            let onward = self.make.next.as_ref().map_or(Ok(200), |next| {
                next.call(
                    self.turn.fetch_add(1, Relaxed),
                    &message.id,
                    message.left_ms,
                )
            });
            self.inflight.fetch_sub(1, Relaxed);
            let closes = self.make.closes || message.closes;
            let close = if closes { "Connection: close\r\n" } else { "" };
            let headers = format!("Srv-Load: {}\r\n{close}", self.load());
            let status = if matches!(onward, Ok(200)) {
                "200 OK"
            } else {
                "500 Onward"
            };
            wire.write(answer(status, &headers, "seat").as_bytes())?;
            if closes {
                return Ok(());
            }
            answered = Some(Instant::now());
        }
        Ok(())
    }

    fn load(&self) -> String {
        let inflight = self.inflight.load(Relaxed);
        format!(
            "TEXT inflight={inflight}, queue=0, util={:.2}",
            (inflight as f64 / 8.0).min(1.0)
        )
    }
}

fn answer(status: &str, headers: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
