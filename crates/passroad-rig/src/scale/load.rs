//! The load on the real sidecars of a scale run, and the endpoints behind all. The load is open: each call is asked at its
//! time, however late the one before is answered.

use super::plan::ScalePlan;
use super::{held, place};
use crate::rng::SeededRng;
use crate::sockets::http::{Talk, answer};
use hdrhistogram::Histogram;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// What an endpoint takes for a call.
const WORK: Duration = Duration::from_millis(1);
const LIMIT: Duration = Duration::from_secs(1);

/// Where endpoints stand. They listen only where something calls them.
pub async fn endpoints(count: usize, listen: bool) -> io::Result<Vec<SocketAddr>> {
    let mut all = Vec::new();
    for n in 0..count {
        if !listen {
            all.push(SocketAddr::new(place(3, n), 7000));
            continue;
        }
        let listener = TcpListener::bind(SocketAddr::new(place(3, n), 0)).await?;
        all.push(listener.local_addr()?);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(async move {
                    let mut talk = Talk::new(stream);
                    while let Ok(Some(call)) = talk.request().await {
                        if call.target.starts_with("/call-") {
                            sleep(WORK).await;
                        }
                        if talk.write(&answer("200 OK", "", "well")).await.is_err() {
                            return;
                        }
                    }
                });
            }
        });
    }
    Ok(all)
}

/// What came of the load.
pub struct Load {
    pub asked: AtomicU64,
    pub served: AtomicU64,
    times: Mutex<Histogram<u64>>, // in microseconds
}

impl Load {
    pub fn begin(
        plan: &ScalePlan,
        seed: u64,
        fronts: &[SocketAddr],
        until: Instant,
    ) -> io::Result<Arc<Load>> {
        let times = Histogram::new_with_bounds(1, 60_000_000, 3).map_err(io::Error::other)?;
        let (asked, served, times) = (AtomicU64::new(0), AtomicU64::new(0), Mutex::new(times));
        let load = Arc::new(Load {
            asked,
            served,
            times,
        });
        for (n, front) in fronts.iter().copied().enumerate() {
            let (own, rate, calls) = (Arc::clone(&load), plan.load, plan.calls);
            let mut dice = SeededRng::stream(seed, "load", n as u64);
            tokio::spawn(async move {
                let kept = Arc::<Mutex<Vec<Talk>>>::default();
                let mut at = Instant::now();
                while at < until {
                    at += Duration::from_secs_f64(dice.exponential() / rate);
                    sleep_until(at).await;
                    let (own, kept, k) = (Arc::clone(&own), Arc::clone(&kept), dice.below(calls));
                    let id = own.asked.fetch_add(1, Relaxed);
                    tokio::spawn(async move {
                        if let Ok(Ok(200)) = timeout(LIMIT, call(front, &kept, k, id)).await {
                            own.served.fetch_add(1, Relaxed);
                            let _ = held(&own.times).record(at.elapsed().as_micros() as u64);
                        }
                    });
                }
            });
        }
        Ok(load)
    }

    /// The time within which this share of the served calls was answered.
    pub fn within(&self, share: f64) -> Duration {
        Duration::from_micros(held(&self.times).value_at_quantile(share))
    }
}

async fn call(front: SocketAddr, kept: &Mutex<Vec<Talk>>, k: usize, id: u64) -> io::Result<u16> {
    let talk = held(kept).pop();
    let mut talk = match talk {
        Some(talk) => talk,
        None => Talk::new(TcpStream::connect(front).await?),
    };
    let request = format!(
        "GET /call-{k} HTTP/1.1\r\nHost: rig\r\nReq-Id: {id:016x}\r\nReq-Deadline-Ms: 1000\r\n\r\n"
    );
    talk.write(request.as_bytes()).await?;
    let said = talk.answer().await?.ok_or(io::ErrorKind::UnexpectedEof)?;
    if !talk.came_ahead() {
        held(kept).push(talk);
    }
    Ok(said.status)
}
