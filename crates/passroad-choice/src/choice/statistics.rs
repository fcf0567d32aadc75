use crate::Outcome;
use serde::{Deserialize, Serialize};
use std::time::Duration;

pub(crate) const MIN_GAIN: f64 = 0.02; // of a sample, however many came before
pub(super) const SMOOTHING: Duration = Duration::from_secs(2); // own figures are smoothed over this

/// To a third in `over`, to nothing in 32 of it: an exponential but for its far end, at less CPU.
pub fn decay(now: Duration, since: Duration, over: Duration) -> f64 {
    let spans = now.saturating_sub(since).as_secs_f64() / over.as_secs_f64();
    (1.0 - spans / 32.0).max(0.0).powi(32)
}

/// A mean and a spread over the last few seconds.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct DecayingMean {
    pub mean: f64,
    pub spread: f64,
    pub count: f64,
    #[serde(rename = "at")]
    pub updated_at: Duration,
}

impl DecayingMean {
    pub fn record(&mut self, now: Duration, value: f64, calm: Duration) {
        self.count = self.count * decay(now, self.updated_at, calm) + 1.0;
        self.updated_at = now;
        let gain = (1.0 / self.count).max(MIN_GAIN);
        let off = value - self.mean;
        self.mean += gain * off;
        self.spread += gain * (off.abs() - self.spread);
    }

    /// Mean, and a tail of two spreads above it. RecentOutcomes samples say little of a mean and less of a tail: both
    /// are drawn toward the usual.
    pub(super) fn estimate(
        &self,
        now: Duration,
        calm: Duration,
        usual: &DecayingMean,
    ) -> (f64, f64) {
        let n = self.count * decay(now, self.updated_at, calm);
        let mean = (self.mean * n + usual.mean * 2.0) / (n + 2.0);
        (
            mean,
            mean + 2.0 * (self.spread * n + usual.spread * 8.0) / (n + 8.0),
        )
    }
}

/// A count that fades.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct DecayingCount {
    pub(super) sum: f64,
    #[serde(rename = "at")]
    pub(super) updated_at: Duration,
    #[serde(rename = "from")]
    pub(super) started_at: Duration,
}

impl DecayingCount {
    pub fn increment(&mut self, now: Duration, over: Duration) {
        let from = if self.sum > 0.0 { self.started_at } else { now };
        *self = DecayingCount {
            sum: self.sum * decay(now, self.updated_at, over) + 1.0,
            updated_at: now,
            started_at: from,
        };
    }

    /// One less, of those just added.
    pub fn undo_increment(&mut self) {
        self.sum = (self.sum - 1.0).max(0.0);
    }

    /// Counts a second, also while there are counts of a shorter time only.
    pub fn rate_over_age(&self, now: Duration, over: Duration) -> f64 {
        let young = now
            .saturating_sub(self.started_at)
            .clamp(over / 32, over)
            .as_secs_f64();
        self.rate(now, over) * over.as_secs_f64() / young
    }

    /// Counts a second of the time that there was to count in; the first only starts the clock.
    pub fn unbiased_rate(&self, now: Duration, over: Duration) -> f64 {
        let before = decay(now, self.started_at, over);
        (self.sum * decay(now, self.updated_at, over) - before).max(0.0)
            / over.as_secs_f64()
            / (1.0 - before).max(0.12)
    }

    /// Counts a second.
    pub fn rate(&self, now: Duration, over: Duration) -> f64 {
        self.sum * decay(now, self.updated_at, over) / over.as_secs_f64()
    }
}

/// The last few outcomes, one bit each.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct RecentOutcomes {
    #[serde(rename = "bad")]
    pub failure_bits: u32,
    #[serde(rename = "seen")]
    pub count: u32,
    #[serde(rename = "failed")]
    pub last_failure: Duration, // the last bad one
    #[serde(rename = "ailing")]
    pub failing: bool, // told of as failing
}

impl RecentOutcomes {
    pub fn record(&mut self, now: Duration, outcome: Outcome, few: u32) {
        let bad = outcome != Outcome::Answered;
        self.failure_bits = self.failure_bits << 1 | u32::from(bad);
        self.count = (self.count + 1).min(few);
        if bad {
            self.last_failure = now;
        }
    }

    /// Share of the good; where there are not even four they count as mostly good.
    pub fn success_share(&self, few: u32) -> f64 {
        let bad = (self.failure_bits & ((1 << few) - 1))
            .count_ones()
            .min(self.count);
        1.0 - f64::from(bad) / f64::from(self.count.max(4))
    }
}
