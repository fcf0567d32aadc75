//! Limits how much traffic a sidecar sends to lower-priority tiers. Sidecars don't coordinate: each adapts its own rate
//! to the load that the receiving zone reports, raising it while there is capacity and lowering it as soon as there is
//! not.

use std::time::Duration;

const UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// Share of the own command rate that spills right after a loss.
const INITIAL_SHARE: f64 = 0.05;
/// Share of the load ceiling below which the rate grows by [`GROWTH_FACTOR`] with each update.
const LOW_LOAD: f64 = 0.7;
const GROWTH_FACTOR: f64 = 1.5;
/// Gain per update on free capacity. It is low because load reports are about a second old.
const INCREASE_GAIN: f64 = 0.2;
/// Gain per update on missing capacity. It is high because an overload hurts the traffic of others.
const DECREASE_GAIN: f64 = 2.5;
/// The lowest factor by which one update may change the rate.
const MIN_STEP_FACTOR: f64 = 0.8;
/// Share of the own command rate added with each update while the receivers report no load.
const BLIND_INCREASE: f64 = 0.01;
/// Multiple of the own command rate allowed where all traffic may spill, so that the token bucket never binds.
const FULL_SPILL_FACTOR: f64 = 2.0;
/// Share of bad outcomes above which the receiver counts as overloaded.
const MAX_BAD_SHARE: f64 = 0.15;
/// Time constant of the decaying averages of load and bad outcomes.
const DECAY_TIME: Duration = Duration::from_secs(1);
/// Time whose allowance may be spent at once.
const BURST_WINDOW: Duration = Duration::from_millis(500);
/// Noise of a single report: the utilization of an endpoint with one or two cores jumps between 0 and 1.
const REPORT_NOISE: f64 = 0.35;
/// Commands per second; a lower rate would never fill the token bucket.
const MIN_RATE: f64 = 0.2;

/// A decaying average.
#[derive(Debug, Clone, Copy, Default)]
struct DecayingMean {
    sum: f64,
    weight: f64,
    updated_at: Duration,
}

impl DecayingMean {
    /// Approximates exponential decay since the last update.
    fn decay(&self, now: Duration) -> f64 {
        let periods = now.saturating_sub(self.updated_at).as_secs_f64() / DECAY_TIME.as_secs_f64();
        (1.0 - periods / 16.0).max(0.0).powi(16)
    }

    fn add(&mut self, now: Duration, value: f64) {
        let decay = self.decay(now);
        *self = DecayingMean {
            sum: self.sum * decay + value,
            weight: self.weight * decay + 1.0,
            updated_at: now,
        };
    }

    /// None if there are too few recent samples.
    fn mean(&self, now: Duration) -> Option<f64> {
        (self.sample_count(now) >= 1.0).then(|| self.sum / self.weight)
    }

    /// The decayed number of samples.
    fn sample_count(&self, now: Duration) -> f64 {
        self.weight * self.decay(now)
    }
}

/// Rate limit on the commands that one sidecar sends to lower-priority tiers.
#[derive(Debug, Clone)]
pub struct SpilloverLimiter {
    max_share: f64, // of the own command rate
    max_rate: f64,  // commands per second
    max_load: f64,  // of the receiving zone
    min_share: f64, // of the own command rate
    pub rate: f64,  // commands per second
    tokens: f64,
    refilled_at: Duration,
    updated_at: Duration,
    load: DecayingMean,         // utilization reported by receiving endpoints
    bad_outcomes: DecayingMean, // share of the spilled commands that were refused, late or lost
    active: bool,
}

impl SpilloverLimiter {
    pub fn new(max_share: f64, max_rate: f64, max_load: f64, min_share: f64) -> Self {
        SpilloverLimiter {
            max_share,
            max_rate,
            max_load,
            min_share,
            rate: 0.0,
            tokens: 0.0,
            refilled_at: Duration::ZERO,
            updated_at: Duration::ZERO,
            load: DecayingMean::default(),
            bad_outcomes: DecayingMean::default(),
            active: false,
        }
    }

    /// Records the utilization that a receiving endpoint reported.
    pub fn record_load(&mut self, now: Duration, utilization: f64) {
        self.load.add(now, utilization.clamp(0.0, 1.0));
    }

    /// Records the outcome of a spilled command.
    pub fn record_outcome(&mut self, now: Duration, bad: bool) {
        self.bad_outcomes.add(now, f64::from(u8::from(bad)));
    }

    pub fn receiver_load(&self, now: Duration) -> Option<f64> {
        self.load.mean(now)
    }

    /// Adapts the rate to the state of the receivers, at most once per interval. `own_rate` is the command rate of this
    /// sidecar.
    pub fn update(&mut self, now: Duration, own_rate: f64, needed: bool) {
        let factor = if self.max_share >= 1.0 {
            FULL_SPILL_FACTOR
        } else {
            1.0
        };
        let upper = (self.max_share * factor * own_rate).min(self.max_rate);
        let lower = (self.min_share * own_rate).max(MIN_RATE).min(upper);
        if !needed {
            (self.active, self.rate, self.tokens) = (false, 0.0, 0.0);
            (self.refilled_at, self.updated_at) = (now, now);
            return;
        }
        if !std::mem::replace(&mut self.active, true) {
            self.rate = (INITIAL_SHARE * own_rate).clamp(lower, upper.max(lower));
            // The bucket starts full, so that the first commands don't wait.
            (self.tokens, self.refilled_at, self.updated_at) = (self.burst(), now, now);
        }
        if now.saturating_sub(self.updated_at) < UPDATE_INTERVAL {
            return;
        }
        self.updated_at = now;
        let overloaded = self
            .bad_outcomes
            .mean(now)
            .is_some_and(|share| share > MAX_BAD_SHARE);
        let rate = match self.load.mean(now) {
            _ if overloaded => self.rate * MIN_STEP_FACTOR,
            Some(load) if load < LOW_LOAD * self.max_load => self.rate * GROWTH_FACTOR,
            // Proportional to the free capacity, so that the rates of many sidecars converge and noise moves them
            // little.
            Some(load) => {
                // With few reports, a load slightly above the ceiling is within the noise.
                let uncertainty = REPORT_NOISE / self.load.sample_count(now).max(1.0).sqrt();
                let change = match 1.0 - load / self.max_load {
                    free if free > 0.0 => free * INCREASE_GAIN,
                    _ => (1.0 - (load - uncertainty) / self.max_load).min(0.0) * DECREASE_GAIN,
                };
                self.rate * (1.0 + change).max(MIN_STEP_FACTOR)
            }
            // Without load reports only outcomes count, and the rate grows slowly.
            None if self.bad_outcomes.mean(now).is_some() => self.rate + BLIND_INCREASE * own_rate,
            None => self.rate,
        };
        self.rate = rate.clamp(lower, upper.max(lower));
    }

    fn burst(&self) -> f64 {
        (self.rate * BURST_WINDOW.as_secs_f64()).max(1.5)
    }

    /// Takes a token for one command, or returns the time to wait. Commands of lower `value` (0 to 1) need a fuller
    /// bucket.
    pub fn try_acquire(&mut self, now: Duration, value: f64) -> Result<(), Duration> {
        let burst = self.burst();
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        (self.tokens, self.refilled_at) = ((self.tokens + elapsed * self.rate).min(burst), now);
        let needed = 1.0 + (1.0 - value.clamp(0.0, 1.0)) * 0.6 * (burst - 1.0);
        if self.tokens >= needed {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64(
            ((needed - self.tokens) / self.rate.max(MIN_RATE)).clamp(0.05, 60.0),
        ))
    }
}

#[cfg(test)]
mod tests;
