//! The load on the real sidecars of a scale run, and the endpoints behind all sidecars. The load is open-loop: each
//! call is sent at its time, whether or not earlier ones have been answered.

use super::plan::ScalePlan;
use super::{lock, loopback_address};
use crate::rng::SeededRng;
use crate::sockets::http::{HttpConnection, response};
use hdrhistogram::Histogram;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Service time of a call at an endpoint.
const SERVICE_TIME: Duration = Duration::from_millis(1);
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// The addresses of the endpoints. They accept connections only if `listen` is set: simulated sidecars never connect to
/// them.
pub async fn start_endpoints(count: usize, listen: bool) -> io::Result<Vec<SocketAddr>> {
    let mut addresses = Vec::new();
    for endpoint in 0..count {
        if !listen {
            addresses.push(SocketAddr::new(loopback_address(3, endpoint), 7000));
            continue;
        }
        let listener = TcpListener::bind(SocketAddr::new(loopback_address(3, endpoint), 0)).await?;
        addresses.push(listener.local_addr()?);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(async move {
                    let mut connection = HttpConnection::new(stream);
                    while let Ok(Some(call)) = connection.read_request().await {
                        if call.target.starts_with("/call-") {
                            sleep(SERVICE_TIME).await;
                        }
                        if connection
                            .write(&response("200 OK", "", "well"))
                            .await
                            .is_err()
                        {
                            return;
                        }
                    }
                });
            }
        });
    }
    Ok(addresses)
}

/// Counts and latencies of the load.
pub struct Load {
    pub sent: AtomicU64,
    pub served: AtomicU64,
    latencies: Mutex<Histogram<u64>>, // in microseconds
}

impl Load {
    pub fn start(
        plan: &ScalePlan,
        seed: u64,
        sidecars: &[SocketAddr],
        until: Instant,
    ) -> io::Result<Arc<Load>> {
        let latencies = Histogram::new_with_bounds(1, 60_000_000, 3).map_err(io::Error::other)?;
        let (sent, served, latencies) =
            (AtomicU64::new(0), AtomicU64::new(0), Mutex::new(latencies));
        let load = Arc::new(Load {
            sent,
            served,
            latencies,
        });
        for (number, sidecar) in sidecars.iter().copied().enumerate() {
            let (load, rate, call_classes) = (Arc::clone(&load), plan.load, plan.calls);
            let mut rng = SeededRng::stream(seed, "load", number as u64);
            tokio::spawn(async move {
                let idle = Arc::<Mutex<Vec<HttpConnection>>>::default();
                let mut planned = Instant::now();
                while planned < until {
                    planned += Duration::from_secs_f64(rng.exponential() / rate);
                    sleep_until(planned).await;
                    let (load, idle, class) = (
                        Arc::clone(&load),
                        Arc::clone(&idle),
                        rng.below(call_classes),
                    );
                    let id = load.sent.fetch_add(1, Relaxed);
                    tokio::spawn(async move {
                        if let Ok(Ok(200)) =
                            timeout(CALL_TIMEOUT, call(sidecar, &idle, class, id)).await
                        {
                            load.served.fetch_add(1, Relaxed);
                            let _ =
                                lock(&load.latencies).record(planned.elapsed().as_micros() as u64);
                        }
                    });
                }
            });
        }
        Ok(load)
    }

    /// The latency that this share of the served calls did not exceed.
    pub fn latency_quantile(&self, share: f64) -> Duration {
        Duration::from_micros(lock(&self.latencies).value_at_quantile(share))
    }
}

async fn call(
    sidecar: SocketAddr,
    idle: &Mutex<Vec<HttpConnection>>,
    class: usize,
    id: u64,
) -> io::Result<u16> {
    let reused = lock(idle).pop();
    let mut connection = match reused {
        Some(connection) => connection,
        None => HttpConnection::new(TcpStream::connect(sidecar).await?),
    };
    let request = format!(
        "GET /call-{class} HTTP/1.1\r\nHost: rig\r\nReq-Id: {id:016x}\r\nReq-Deadline-Ms: 1000\r\n\r\n"
    );
    connection.write(request.as_bytes()).await?;
    let answer = connection
        .read_response()
        .await?
        .ok_or(io::ErrorKind::UnexpectedEof)?;
    if !connection.has_buffered_bytes() {
        lock(idle).push(connection);
    }
    Ok(answer.status)
}
