//! Health of a zone as one sidecar sees it, by the share of its baseline weight that can be used.

use std::time::Duration;

/// From the most to the least traffic that the zone can carry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ZoneHealth {
    Healthy,
    /// Too few endpoints are left to carry all of its traffic.
    Degraded,
    /// It was down, and its traffic is ramped up again.
    Recovering,
    Down,
}

/// Why no endpoint of a zone can be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DownCause {
    /// All of its endpoints are stopped, removed from the list or cordoned.
    NoneAvailable,
    /// It has available endpoints, but this sidecar can't reach any. Other sidecars may not see this network fault.
    Unreachable,
}

/// Share of the baseline weight below which a zone counts as down.
const DOWN_SHARE: f64 = 0.05;
/// Hysteresis: the multiple of the required weight at which a degraded zone counts as healthy again.
const HEALTHY_MARGIN: f64 = 1.1;
/// How long a degraded zone must meet the margin before it counts as healthy.
const STABLE_TIME: Duration = Duration::from_secs(2);
/// Time after which a lower weight becomes the new baseline.
const BASELINE_RESET_TIME: Duration = Duration::from_secs(600);
/// Time without a loss after which earlier losses no longer lengthen the recovery.
const LOSS_MEMORY: Duration = Duration::from_secs(300);
const MAX_DOUBLINGS: u32 = 3;

/// Current state of a zone's endpoints, from the list and from relay outcomes. Weights are those of the list. Cordoned
/// endpoints don't count.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ZoneSummary {
    pub listed_weight: f64,    // of endpoints listed as running
    pub reachable_weight: f64, // of those, the reachable ones
    pub effective_weight: f64, // the same, cold endpoints scaled by their warm-up ramp
    pub listed: usize,
    pub reachable: usize,
}

#[derive(Debug, Clone)]
pub struct Zone {
    pub health: ZoneHealth,
    summary: ZoneSummary,
    baseline_weight: f64, // weight of the healthy zone
    below_baseline_since: Duration,
    meets_margin_since: Option<Duration>, // of a degraded zone
    recovery_started: Duration,
    recovery_time: Duration,
    recovery_peak: f64,   // highest reachable weight during the recovery
    residual_weight: f64, // reachable when the zone went down, so no sign of a recovery
    losses: u32,
    last_loss: Duration,
}

impl Default for Zone {
    fn default() -> Self {
        Zone {
            health: ZoneHealth::Healthy,
            summary: ZoneSummary::default(),
            baseline_weight: 0.0,
            below_baseline_since: Duration::ZERO,
            meets_margin_since: None,
            recovery_started: Duration::ZERO,
            recovery_time: Duration::ZERO,
            recovery_peak: 0.0,
            residual_weight: 0.0,
            losses: 0,
            last_loss: Duration::ZERO,
        }
    }
}

/// A change of a zone's health, for the log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HealthChange {
    pub from: ZoneHealth,
    pub to: ZoneHealth,
    pub cause: Option<DownCause>,
    pub summary: ZoneSummary,
    pub baseline_weight: f64,
    pub recovery_time: Duration,
}

impl Zone {
    /// Whether this zone has ever had a running endpoint.
    pub fn is_known(&self) -> bool {
        self.baseline_weight > 0.0
    }

    pub fn is_usable(&self) -> bool {
        self.summary.reachable_weight > 0.0
    }

    /// Effective weight as a share of the baseline.
    pub fn effective_share(&self) -> f64 {
        self.summary.effective_weight / self.baseline_weight.max(1e-9)
    }

    /// Weight of the healthy zone.
    pub fn baseline_weight(&self) -> f64 {
        self.baseline_weight
    }

    /// The multiple of its usual traffic that the zone can carry, given its headroom.
    pub fn carriable_share(&self, now: Duration, headroom: f64) -> f64 {
        let effective = self.effective_share() * headroom;
        match self.health {
            ZoneHealth::Healthy | ZoneHealth::Degraded => effective,
            ZoneHealth::Recovering => effective.min(self.recovery_progress(now)),
            ZoneHealth::Down => 0.0,
        }
    }

    /// Progress of the recovery, from 0 to 1.
    pub fn recovery_progress(&self, now: Duration) -> f64 {
        let total = self.recovery_time.as_secs_f64().max(1e-3);
        (now.saturating_sub(self.recovery_started).as_secs_f64() / total).min(1.0)
    }

    /// Updates the health from the current summary. `recovery_time` is the length of a recovery after a first loss,
    /// with the jitter of this sidecar.
    pub fn update(
        &mut self,
        now: Duration,
        summary: ZoneSummary,
        headroom: f64,
        recovery_time: Duration,
    ) -> Option<HealthChange> {
        self.summary = summary;
        // The listed weight is the baseline. A lower weight is a loss, until it has lasted for the reset time.
        let reset = now.saturating_sub(self.below_baseline_since) > BASELINE_RESET_TIME
            && summary.listed_weight > 0.0;
        if summary.listed_weight >= self.baseline_weight || reset {
            (self.baseline_weight, self.below_baseline_since) = (summary.listed_weight, now);
        }
        if self.baseline_weight <= 0.0 {
            return None;
        }
        let from = self.health;
        let share = summary.reachable_weight / self.baseline_weight;
        let carries =
            |factor: f64| summary.effective_weight / self.baseline_weight * headroom >= factor;
        let to = match from {
            ZoneHealth::Healthy | ZoneHealth::Degraded if share < DOWN_SHARE => ZoneHealth::Down,
            ZoneHealth::Healthy if !carries(1.0) => ZoneHealth::Degraded,
            ZoneHealth::Degraded if carries(HEALTHY_MARGIN.min(headroom)) => {
                let since = *self.meets_margin_since.get_or_insert(now);
                if now.saturating_sub(since) >= STABLE_TIME {
                    ZoneHealth::Healthy
                } else {
                    ZoneHealth::Degraded
                }
            }
            // What was still reachable when the zone went down is no recovery, unless it stays reachable for a while.
            ZoneHealth::Down if summary.reachable_weight > self.residual_weight => {
                ZoneHealth::Recovering
            }
            ZoneHealth::Down if share > 0.0 && now.saturating_sub(self.last_loss) > STABLE_TIME => {
                ZoneHealth::Recovering
            }
            // A loss during the recovery takes effect at once; the progress made so far doesn't count.
            ZoneHealth::Recovering
                if share <= 0.0 || summary.reachable_weight < self.recovery_peak / 2.0 =>
            {
                ZoneHealth::Down
            }
            // Cold endpoints take commands by slow-start permits only. Until they are warm they can't carry the
            // traffic, however long the zone has been recovering.
            ZoneHealth::Recovering
                if self.recovery_progress(now) >= 1.0
                    && summary.effective_weight > 0.99 * summary.reachable_weight =>
            {
                match carries(1.0) {
                    true => ZoneHealth::Healthy,
                    false => ZoneHealth::Degraded,
                }
            }
            same => same,
        };
        if from != ZoneHealth::Degraded || !carries(HEALTHY_MARGIN.min(headroom)) {
            self.meets_margin_since = None;
        }
        if to == ZoneHealth::Down {
            self.residual_weight = if from == ZoneHealth::Down {
                self.residual_weight.min(summary.reachable_weight)
            } else {
                summary.reachable_weight
            };
        }
        if to == ZoneHealth::Recovering {
            self.recovery_peak = self.recovery_peak.max(summary.reachable_weight);
        }
        if to == from {
            return None;
        }
        self.health = to;
        match to {
            ZoneHealth::Down => {
                // Each loss soon after the last doubles the recovery time. Prevents a flapping zone from moving traffic
                // to and from other zones again and again.
                let repeated = self.losses > 0 && now.saturating_sub(self.last_loss) < LOSS_MEMORY;
                self.losses = if repeated {
                    (self.losses + 1).min(MAX_DOUBLINGS + 1)
                } else {
                    1
                };
                self.last_loss = now;
            }
            ZoneHealth::Recovering => {
                self.recovery_started = now;
                self.recovery_peak = summary.reachable_weight;
                self.recovery_time =
                    recovery_time * (1 << (self.losses.saturating_sub(1)).min(MAX_DOUBLINGS));
            }
            ZoneHealth::Healthy | ZoneHealth::Degraded => {}
        }
        let cause = (to == ZoneHealth::Down).then_some(if summary.listed > 0 {
            DownCause::Unreachable
        } else {
            DownCause::NoneAvailable
        });
        Some(HealthChange {
            from,
            to,
            cause,
            summary,
            baseline_weight: self.baseline_weight,
            recovery_time: self.recovery_time,
        })
    }
}

impl std::fmt::Display for HealthChange {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let share = 100.0 * self.summary.effective_weight / self.baseline_weight.max(1e-9);
        let ZoneSummary {
            listed, reachable, ..
        } = self.summary;
        match (self.to, self.cause) {
            (ZoneHealth::Down, Some(DownCause::Unreachable)) => {
                write!(
                    f,
                    "is down for this sidecar: {listed} running endpoints listed, none reachable"
                )
            }
            (ZoneHealth::Down, _) => write!(f, "is down: no running, uncordoned endpoint listed"),
            (ZoneHealth::Recovering, _) => {
                write!(
                    f,
                    "is recovering: {reachable} of {listed} running endpoints reachable; full share of traffic in {:.1?}",
                    self.recovery_time
                )
            }
            (ZoneHealth::Degraded, _) => {
                write!(
                    f,
                    "is degraded: {reachable} of {listed} running endpoints reachable, {share:.0}% of the baseline weight"
                )
            }
            (ZoneHealth::Healthy, _) => {
                write!(
                    f,
                    "is healthy: {reachable} of {listed} running endpoints reachable, {share:.0}% of the baseline weight"
                )
            }
        }
    }
}

#[cfg(test)]
mod tests;
