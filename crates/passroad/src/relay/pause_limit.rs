//! How long an endpoint may pause within a response.

use super::exchange_state::ExchangeState;
use std::sync::Mutex;
use std::time::Duration;
use tokio::time::Instant;

/// An endpoint that pauses for this long within a response of which nothing has been passed on yet has stopped for good.
const MAX_PAUSE: Duration = Duration::from_secs(2);
/// A pause up to this long says nothing of how an endpoint writes its response. No probe waits for longer.
const MIN_PAUSE: Duration = Duration::from_millis(100);
/// One part in this many of its time may pass in a pause before a command that may run twice is sent elsewhere.
const RETRY_PAUSE_DIVISOR: u32 = 3;

/// The longest pause within a response before the endpoint counts as having stopped for good.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PauseLimit {
    first: Duration,
    /// After a pause that ended: the endpoint writes slowly, and goes on.
    later: Duration,
}

impl PauseLimit {
    /// For a probe, which is made again anyway.
    pub const PROBE: PauseLimit = PauseLimit {
        first: MIN_PAUSE,
        later: MIN_PAUSE,
    };
    /// For a command that must not run twice: nothing is gained by giving up its response.
    pub const FINAL: PauseLimit = PauseLimit {
        first: MAX_PAUSE,
        later: MAX_PAUSE,
    };

    /// For a command that may be sent elsewhere within this time.
    pub fn retryable(time: Duration) -> Self {
        PauseLimit {
            first: (time / RETRY_PAUSE_DIVISOR).clamp(MIN_PAUSE, MAX_PAUSE),
            later: MAX_PAUSE,
        }
    }
}

/// Completes when a response has begun and stalled midway. An informational response is no beginning.
pub(super) async fn response_stalled(
    state: &ExchangeState,
    last_informational: &Mutex<Option<Instant>>,
    limit: PauseLimit,
) {
    let (mut max_pause, mut previous) = (limit.first, None);
    loop {
        tokio::time::sleep(MIN_PAUSE / 4).await;
        let informational = last_informational.lock().ok().and_then(|last| *last);
        let Some(last) = state
            .last_read()
            .filter(|last| informational.is_none_or(|informational| informational < *last))
        else {
            continue;
        };
        if previous.is_some_and(|previous| last.duration_since(previous) > MIN_PAUSE) {
            max_pause = limit.later;
        }
        previous = Some(last);
        if last.elapsed() > max_pause {
            return;
        }
    }
}
