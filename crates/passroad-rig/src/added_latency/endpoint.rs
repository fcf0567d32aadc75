//! Test endpoints of one tier, identical for all arms: one thread per connection, simulated work that sleeps instead of
//! using a core, and counters of what was received.

use super::http::{Client, Connection, lock};
use hdrhistogram::Histogram;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const THREAD_STACK_BYTES: usize = 128 << 10;
/// Upper bound of recorded gaps between a response and the next request, in microseconds; longer ones count as this
/// long.
pub const MAX_REUSE_GAP_US: u64 = 60_000_000;

/// Counters over all endpoints of a tier.
#[derive(Debug)]
pub struct TierCounters {
    pub calls: AtomicU64,
    pub probes: AtomicU64,
    pub accepted: AtomicU64,
    pub open: AtomicU64,
    /// Sum of the remaining deadlines that calls carried, in milliseconds.
    pub remaining_ms: AtomicU64,
    /// Microseconds from the response to a call to the next request on the same connection.
    pub reuse_gaps: Mutex<Histogram<u64>>,
}

impl TierCounters {
    fn new() -> Result<TierCounters, hdrhistogram::CreationError> {
        Ok(TierCounters {
            calls: AtomicU64::new(0),
            probes: AtomicU64::new(0),
            accepted: AtomicU64::new(0),
            open: AtomicU64::new(0),
            remaining_ms: AtomicU64::new(0),
            reuse_gaps: Mutex::new(Histogram::new_with_bounds(1, MAX_REUSE_GAP_US, 3)?),
        })
    }
}

/// Behaviour of the endpoints of a tier.
#[derive(Clone)]
pub struct EndpointConfig {
    /// Service time of a call.
    pub work: Duration,
    /// Close the connection after each response to a call.
    pub close: bool,
    /// Client of the tier that each call calls in turn.
    pub downstream: Option<Arc<Client>>,
}

pub struct Tier {
    pub addresses: Vec<SocketAddr>,
    pub counters: Arc<TierCounters>,
    stopping: Arc<AtomicBool>,
}

impl Tier {
    pub fn start(count: usize, config: &EndpointConfig) -> io::Result<Tier> {
        let counters = Arc::new(TierCounters::new().map_err(io::Error::other)?);
        let stopping = Arc::new(AtomicBool::new(false));
        let mut addresses = Vec::new();
        for _ in 0..count {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
            addresses.push(listener.local_addr()?);
            let endpoint = Arc::new(Endpoint {
                config: config.clone(),
                counters: Arc::clone(&counters),
                inflight: AtomicUsize::new(0),
                next_target: AtomicUsize::new(0),
            });
            let stopping = Arc::clone(&stopping);
            spawn_thread("endpoint", move || {
                for stream in listener.incoming() {
                    if stopping.load(Relaxed) {
                        return;
                    }
                    let Ok(stream) = stream else { continue };
                    let endpoint = Arc::clone(&endpoint);
                    // If no thread can be started, the connection closes at once and its call counts as failed.
                    let _ = spawn_thread("connection", move || endpoint.serve(stream));
                }
            })?;
        }
        Ok(Tier {
            addresses,
            counters,
            stopping,
        })
    }
}

impl Drop for Tier {
    fn drop(&mut self) {
        self.stopping.store(true, Relaxed);
        // Wakes each listener so that it sees the stop flag.
        self.addresses
            .iter()
            .for_each(|address| drop(TcpStream::connect(address)));
    }
}

pub fn spawn_thread(name: &str, run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    std::thread::Builder::new()
        .name(name.into())
        .stack_size(THREAD_STACK_BYTES)
        .spawn(run)
        .map(drop)
}

struct Endpoint {
    config: EndpointConfig,
    counters: Arc<TierCounters>,
    inflight: AtomicUsize,
    next_target: AtomicUsize,
}

impl Endpoint {
    fn serve(&self, stream: TcpStream) {
        self.counters.accepted.fetch_add(1, Relaxed);
        self.counters.open.fetch_add(1, Relaxed);
        if let Ok(mut connection) = Connection::new(stream) {
            let _ = self.handle_requests(&mut connection);
        }
        self.counters.open.fetch_sub(1, Relaxed);
    }

    fn handle_requests(&self, connection: &mut Connection) -> io::Result<()> {
        let mut responded_at: Option<Instant> = None;
        while connection.wait_readable()? {
            if let Some(response_time) = responded_at.take() {
                let gap = (response_time.elapsed().as_micros() as u64).clamp(1, MAX_REUSE_GAP_US);
                lock(&self.counters.reuse_gaps).saturating_record(gap);
            }
            let Some(request) = connection.read_message(true)? else {
                return Ok(());
            };
            if ["/load", "/healthz"].contains(&request.target.as_str()) {
                self.counters.probes.fetch_add(1, Relaxed);
                connection.write(response("200 OK", "", &self.load()).as_bytes())?;
                continue;
            }
            self.counters.calls.fetch_add(1, Relaxed);
            self.counters
                .remaining_ms
                .fetch_add(request.remaining_ms, Relaxed);
            self.inflight.fetch_add(1, Relaxed);
            if !self.config.work.is_zero() {
                std::thread::sleep(self.config.work);
            }
            let downstream_result = self.config.downstream.as_ref().map_or(Ok(200), |client| {
                client.call(
                    self.next_target.fetch_add(1, Relaxed),
                    &request.id,
                    request.remaining_ms,
                )
            });
            self.inflight.fetch_sub(1, Relaxed);
            let close = self.config.close || request.close;
            let close_header = if close { "Connection: close\r\n" } else { "" };
            let headers = format!("Srv-Load: {}\r\n{close_header}", self.load());
            let status = if matches!(downstream_result, Ok(200)) {
                "200 OK"
            } else {
                "500 Onward"
            };
            connection.write(response(status, &headers, "seat").as_bytes())?;
            if close {
                return Ok(());
            }
            responded_at = Some(Instant::now());
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

fn response(status: &str, headers: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
