//! The minimum rate at which clients have to send a body.

use super::BodyError;
use axum::body::{Body, HttpBody};
use bytes::Bytes;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::time::{Instant, Sleep, sleep_until};

/// Clients send at least 64 kB per second; a rate up to a fifth lower is tolerated.
const MIN_BYTES_PER_SECOND: f64 = 0.8 * 64_000.0;
/// Time for a body on top of what the minimum rate gives.
pub const BODY_GRACE: Duration = Duration::from_secs(1);

/// How long this many bytes of a body may take.
pub fn time_at_min_rate(bytes: u64) -> Duration {
    Duration::from_secs_f64(bytes as f64 / MIN_BYTES_PER_SECOND)
}

/// Enforces a minimum rate on a client's body: compares the time spent waiting for the client with the bytes received.
pub struct MinRateTimer {
    waiting_time: Duration,
    waiting_since: Option<Instant>,
    min_time: Duration, // minimum time allowed, whatever the rate
    received: usize,
    timer: Option<Pin<Box<Sleep>>>,
}

impl MinRateTimer {
    /// `min_time` is allowed in any case.
    pub fn new(min_time: Duration) -> Self {
        let min_time = min_time.max(BODY_GRACE);
        MinRateTimer {
            waiting_time: Duration::ZERO,
            waiting_since: None,
            min_time,
            received: 0,
            timer: None,
        }
    }

    /// The waiting time allowed so far.
    fn allowed_time(&self) -> Duration {
        let at_min_rate = BODY_GRACE + time_at_min_rate(self.received as u64);
        at_min_rate.max(self.min_time)
    }

    fn record_received(&mut self, bytes: usize) {
        self.received += bytes;
        self.waiting_time += self
            .waiting_since
            .take()
            .map_or(Duration::ZERO, |since| since.elapsed());
    }

    /// Called when no data is available; ready once the client has used up its time.
    fn poll_expired(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let since = *self.waiting_since.get_or_insert_with(Instant::now);
        let until = since + self.allowed_time().saturating_sub(self.waiting_time);
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(sleep_until(until)));
        if timer.deadline() != until {
            timer.as_mut().reset(until);
        }
        timer.as_mut().poll(cx)
    }

    /// Reads the next chunk of a client's body.
    pub fn poll_next(
        &mut self,
        body: &mut Body,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BodyError>>> {
        loop {
            return match Pin::new(&mut *body).poll_frame(cx) {
                Poll::Pending => {
                    ready!(self.poll_expired(cx));
                    Poll::Ready(Some(Err(BodyError::Slow)))
                }
                Poll::Ready(None) => Poll::Ready(None),
                Poll::Ready(Some(Err(_))) => Poll::Ready(Some(Err(BodyError::Broken))),
                Poll::Ready(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => {
                        self.record_received(data.len());
                        Poll::Ready(Some(Ok(data)))
                    }
                    // Trailers are not forwarded.
                    Err(_) => continue,
                },
            };
        }
    }
}
