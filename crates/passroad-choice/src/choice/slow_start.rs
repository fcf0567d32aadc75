//! Slow start: an endpoint whose process started lately is cold. It is sent a relay only with a
//! permit, and permits are drawn at random at a rate that follows its warm-up ramp and what warm
//! endpoints of its kind answer.

use super::Balancer;
use super::endpoint::Endpoint;
use super::statistics::{DecayingCount, SMOOTHING, decay};
use crate::EndpointIndex;
use std::time::Duration;

/// Decay time of the answers of warm endpoints.
const WARM_RATE_DECAY: Duration = Duration::from_secs(8);

/// What the warm endpoints of one kind answer; stands for what a cold one of the kind will be able
/// to do.
#[derive(Debug, Clone, Copy, Default)]
pub struct WarmKind {
    pub answers: DecayingCount,
    /// Sum of the listed weights of the warm endpoints, or of the last ones that were.
    pub(super) weight: f64,
    pub any_warm: bool,
    /// Answers a second of an endpoint of weight 1, when the last warm one left.
    pub last_rate: f64,
}

impl WarmKind {
    /// Sets the weight of the endpoints that are warm now. The answers are scaled with it, so that
    /// the rate of one endpoint stays as it was.
    pub(super) fn set_weight(&mut self, now: Duration, weight: f64) {
        self.last_rate = if self.any_warm && weight <= 0.0 {
            self.rate(now)
        } else {
            self.last_rate
        };
        self.any_warm = weight > 0.0;
        if self.any_warm {
            self.answers.sum *= if self.weight > 0.0 {
                weight / self.weight
            } else {
                1.0
            };
            self.weight = weight;
        }
    }

    /// Answers a second of an endpoint of weight 1.
    pub fn rate(&self, now: Duration) -> f64 {
        if self.weight > 0.0 {
            self.answers.unbiased_rate(now, WARM_RATE_DECAY) / self.weight
        } else {
            0.0
        }
    }
}

impl DecayingCount {
    /// Sum of two counts of warm answers.
    pub(super) fn merged(&self, other: &DecayingCount) -> DecayingCount {
        if self.sum <= 0.0 || other.sum <= 0.0 {
            return if self.sum > 0.0 { *self } else { *other };
        }
        let updated_at = self.updated_at.max(other.updated_at);
        let sum_at = |count: &DecayingCount| {
            count.sum * decay(updated_at, count.updated_at, WARM_RATE_DECAY)
        };
        DecayingCount {
            sum: sum_at(self) + sum_at(other),
            updated_at,
            started_at: self.started_at.min(other.started_at),
        }
    }

    /// Part of a count of warm answers.
    pub(super) fn scaled(&self, factor: f64) -> DecayingCount {
        DecayingCount {
            sum: self.sum * factor,
            ..*self
        }
    }
}

impl Balancer {
    /// Whether its process started less than the warm-up time ago.
    pub(crate) fn is_cold(&self, endpoint: &Endpoint) -> bool {
        endpoint.started_at.is_some_and(|started_at| {
            self.now.saturating_sub(started_at) < self.parameters.warm_up_time
        })
    }

    /// Whether it is warm, or has a permit that is still valid.
    pub(super) fn admits_relays(&self, endpoint: &Endpoint) -> bool {
        !self.is_cold(endpoint) || self.now < endpoint.permit_until
    }

    /// Capacity against that of a warm endpoint: from `cold_capacity` to 1, in proportion to its
    /// age.
    pub(super) fn warm_up_ramp(&self, endpoint: &Endpoint) -> f64 {
        let Some(started_at) = endpoint.started_at else {
            return 1.0;
        };
        let age = self.now.saturating_sub(started_at).as_secs_f64()
            / self.parameters.warm_up_time.as_secs_f64();
        self.parameters.cold_capacity + (1.0 - self.parameters.cold_capacity) * age.min(1.0)
    }

    /// Answers a second of a warm endpoint of this kind and weight 1, or when last seen; for an
    /// unknown kind the lowest of all kinds.
    fn warm_rate(&self, kind: usize) -> f64 {
        let all_rates = self
            .warm_kinds
            .iter()
            .filter(|kind| kind.any_warm)
            .map(|kind| kind.rate(self.now));
        let own = self
            .warm_kinds
            .get(kind)
            .filter(|kind| kind.any_warm || kind.last_rate > 0.0);
        own.map(|kind| {
            if kind.any_warm {
                kind.rate(self.now)
            } else {
                kind.last_rate
            }
        })
        .or(all_rates.reduce(f64::min))
        .unwrap_or_default()
    }

    /// Counts an answer of a warm endpoint for its kind.
    pub(crate) fn record_warm_answer(&mut self, index: EndpointIndex) {
        let kind = self.endpoints[index].kind;
        self.warm_kinds
            .resize(self.warm_kinds.len().max(kind + 1), WarmKind::default());
        self.warm_kinds[kind]
            .answers
            .increment(self.now, WARM_RATE_DECAY);
    }

    /// Draws whether a cold endpoint gets a permit for one relay, and which; called for each
    /// arrival. Prevents overloading a cold endpoint: sidecars can't agree, so each follows the
    /// endpoint's ramp and its own rate to warm endpoints of the kind. An unused permit soon
    /// expires, so that hundreds of sidecars never hold a burst of them.
    pub(super) fn draw_slow_start_permit(&mut self) {
        let elapsed = self
            .now
            .saturating_sub(std::mem::replace(&mut self.permit_drawn_at, self.now));
        let elapsed = elapsed.min(self.parameters.overload_window).as_secs_f64();
        let count = self.cold_endpoints.len() as f64;
        let place = self.random();
        let draw = self.random();
        let trial_is_due = |index: &EndpointIndex| {
            self.endpoints[*index]
                .trial_due
                .is_some_and(|due| self.now >= due)
        };
        let drawn = self.cold_endpoints.get((place * count) as usize);
        let Some(index) = self
            .cold_endpoints
            .iter()
            .copied()
            .find(trial_is_due)
            .or(drawn.copied())
        else {
            return;
        };
        let endpoint = &self.endpoints[index];
        // Where nearly all endpoints are cold there is no warm rate; a share of the arrivals stands
        // for it.
        let arrival_rate =
            0.3 * self.arrivals.unbiased_rate(self.now, 4 * SMOOTHING) / self.available_count;
        let rate =
            (self.warm_rate(endpoint.kind) * endpoint.weight).max(arrival_rate * endpoint.capacity);
        if trial_is_due(&index)
            || draw
                < self.parameters.cold_send_share
                    * rate
                    * elapsed
                    * count
                    * self.warm_up_ramp(endpoint)
        {
            self.endpoints[index].permit_until = self.now + self.parameters.overload_window / 4;
            self.bring_into_view(index);
        }
    }
}
