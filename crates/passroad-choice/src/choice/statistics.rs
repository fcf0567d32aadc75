//! Decaying means, decaying counts and the last few outcomes. Nothing here keeps a window of
//! samples: each value decays with its age when it is read or updated.

use crate::Outcome;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Weight of a new sample in a mean, however many samples came before it.
pub(crate) const MIN_GAIN: f64 = 0.02;
/// Unit of the decay times of what this process measures itself.
pub(super) const SMOOTHING: Duration = Duration::from_secs(2);

/// Share that is left of a value of age `now - since`: about `1/e` after `over`, nothing after `32
/// * over`. Follows an exponential closely, at less CPU.
pub fn decay(now: Duration, since: Duration, over: Duration) -> f64 {
    let spans = now.saturating_sub(since).as_secs_f64() / over.as_secs_f64();
    (1.0 - spans / 32.0).max(0.0).powi(32)
}

/// Mean and mean absolute deviation of samples, older ones counting less.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct DecayingMean {
    pub mean: f64,
    pub spread: f64,
    pub count: f64,
    #[serde(rename = "at")]
    pub updated_at: Duration,
}

impl DecayingMean {
    /// Adds a sample; earlier ones decay over `over`.
    pub fn record(&mut self, now: Duration, value: f64, over: Duration) {
        self.count = self.count * decay(now, self.updated_at, over) + 1.0;
        self.updated_at = now;
        let gain = (1.0 / self.count).max(MIN_GAIN);
        let deviation = value - self.mean;
        self.mean += gain * deviation;
        self.spread += gain * (deviation.abs() - self.spread);
    }

    /// Mean, and a tail of two spreads above it. A few samples say little of a mean and less of a
    /// tail, so both are drawn toward `prior`: the mean as if by 2 samples of it, the spread as if
    /// by 8.
    pub(super) fn estimate(
        &self,
        now: Duration,
        over: Duration,
        prior: &DecayingMean,
    ) -> (f64, f64) {
        let count = self.count * decay(now, self.updated_at, over);
        let mean = (self.mean * count + prior.mean * 2.0) / (count + 2.0);
        (
            mean,
            mean + 2.0 * (self.spread * count + prior.spread * 8.0) / (count + 8.0),
        )
    }
}

/// A count of events, older ones counting less.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct DecayingCount {
    pub(super) sum: f64,
    #[serde(rename = "at")]
    pub(super) updated_at: Duration,
    /// When the first event was counted.
    #[serde(rename = "from")]
    pub(super) started_at: Duration,
}

impl DecayingCount {
    /// Counts an event; earlier ones decay over `over`.
    pub fn increment(&mut self, now: Duration, over: Duration) {
        let started_at = if self.sum > 0.0 { self.started_at } else { now };
        *self = DecayingCount {
            sum: self.sum * decay(now, self.updated_at, over) + 1.0,
            updated_at: now,
            started_at,
        };
    }

    /// Takes back an event that was counted a moment ago.
    pub fn undo_increment(&mut self) {
        self.sum = (self.sum - 1.0).max(0.0);
    }

    /// Events a second. While the count is younger than `over`, the sum is divided by its age
    /// instead.
    pub fn rate_over_age(&self, now: Duration, over: Duration) -> f64 {
        let age = now
            .saturating_sub(self.started_at)
            .clamp(over / 32, over)
            .as_secs_f64();
        self.rate(now, over) * over.as_secs_f64() / age
    }

    /// Events a second, corrected for the time before the first event. The first event only starts
    /// the clock, so a single event gives no rate.
    pub fn unbiased_rate(&self, now: Duration, over: Duration) -> f64 {
        let before_start = decay(now, self.started_at, over);
        (self.sum * decay(now, self.updated_at, over) - before_start).max(0.0)
            / over.as_secs_f64()
            / (1.0 - before_start).max(0.12)
    }

    /// Events a second; too low while the count is younger than `over`.
    pub fn rate(&self, now: Duration, over: Duration) -> f64 {
        self.sum * decay(now, self.updated_at, over) / over.as_secs_f64()
    }
}

/// The last few outcomes, one bit each, the latest lowest.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct RecentOutcomes {
    #[serde(rename = "bad")]
    pub failure_bits: u32,
    /// Outcomes seen, at most as many as are kept.
    #[serde(rename = "seen")]
    pub count: u32,
    #[serde(rename = "failed")]
    pub last_failure: Duration,
    /// Logged as failing, and not as recovered since.
    #[serde(rename = "ailing")]
    pub failing: bool,
}

impl RecentOutcomes {
    /// Records one more outcome among the last `kept`.
    pub fn record(&mut self, now: Duration, outcome: Outcome, kept: u32) {
        let failed = outcome != Outcome::Answered;
        self.failure_bits = self.failure_bits << 1 | u32::from(failed);
        self.count = (self.count + 1).min(kept);
        if failed {
            self.last_failure = now;
        }
    }

    /// Share of successes. Fewer than four outcomes are filled up with successes.
    pub fn success_share(&self, kept: u32) -> f64 {
        let failures = (self.failure_bits & ((1 << kept) - 1))
            .count_ones()
            .min(self.count);
        1.0 - f64::from(failures) / f64::from(self.count.max(4))
    }
}
