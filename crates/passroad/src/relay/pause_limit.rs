//! Pauses of an endpoint within a response.

use super::exchange_state::ExchangeState;
use std::sync::Mutex;
use std::time::Duration;
use tokio::time::Instant;

/// No probe waits for longer.
const PROBE_PAUSE: Duration = Duration::from_millis(100);
/// The longest pause within a command's response that is not reported.
const MAX_PAUSE: Duration = Duration::from_secs(2);
/// One part in this many of a command's time may pass in a pause before it is reported.
const REPORT_DIVISOR: u32 = 3;
const CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// What follows from a pause within a response. A pause is no proof that the endpoint has stopped: only a probe, which is made
/// again anyway, is given up for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PauseLimit {
    /// The exchange is given up.
    GiveUp(Duration),
    /// The pause is reported, and the exchange goes on.
    Report(Duration),
}

impl PauseLimit {
    /// For a probe.
    pub const PROBE: PauseLimit = PauseLimit::GiveUp(PROBE_PAUSE);

    /// For a command that has this much time.
    pub fn for_command(time: Duration) -> Self {
        PauseLimit::Report((time / REPORT_DIVISOR).clamp(PROBE_PAUSE, MAX_PAUSE))
    }

    fn longest(self) -> Duration {
        match self {
            PauseLimit::GiveUp(pause) | PauseLimit::Report(pause) => pause,
        }
    }
}

/// Completes once a response has begun and paused for too long. An informational response is no beginning.
async fn paused(
    state: &ExchangeState,
    last_informational: &Mutex<Option<Instant>>,
    longest: Duration,
) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let informational = last_informational.lock().ok().and_then(|last| *last);
        let last_read = state
            .last_read()
            .filter(|last| informational.is_none_or(|informational| informational < *last));
        if last_read.is_some_and(|last| last.elapsed() > longest) {
            return;
        }
    }
}

/// Completes when an exchange is to be given up for a pause. One that isn't has its first long pause reported.
pub(super) async fn given_up_for_pause(
    state: &ExchangeState,
    last_informational: &Mutex<Option<Instant>>,
    limit: PauseLimit,
    report: impl Fn(),
) {
    paused(state, last_informational, limit.longest()).await;
    if let PauseLimit::Report(_) = limit {
        report();
        std::future::pending::<()>().await;
    }
}
