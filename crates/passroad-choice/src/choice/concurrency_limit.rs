//! Concurrency limits: one on the load of each endpoint, and, where no probes tell that load, one
//! on all relays in flight from here. Both grow by steps on success and are cut when answers are
//! late or refused.

use super::Balancer;
use super::endpoint::Endpoint;
use super::statistics::{MIN_GAIN, SMOOTHING, decay};
use crate::{EndpointIndex, Outcome};

/// Initial limit of an endpoint of mean capacity: one command in work and one waiting.
pub(super) const INITIAL_LIMIT: f64 = 2.0;
/// Growth of a limit for as many answers well in time as the limit allows.
pub(super) const LIMIT_GROWTH: f64 = 0.3;
/// Part of a change at one endpoint that is applied to the usual limit.
const USUAL_LIMIT_SHARE: f64 = 0.5;
/// Factor by which a limit is cut.
const LIMIT_CUT_FACTOR: f64 = 0.7;

impl Balancer {
    /// Limit of an endpoint, for the mean capacity; it decays to the usual limit. Prevents limits
    /// that never grow: in a large fleet a sidecar meets each endpoint too seldom to learn a limit
    /// for each.
    pub(super) fn current_limit(&self, endpoint: &Endpoint) -> f64 {
        self.usual_limit
            + (endpoint.concurrency_limit - self.usual_limit)
                * decay(self.now, endpoint.limit_changed_at, 4 * SMOOTHING)
    }

    /// Sets the limit of an endpoint, and moves the usual limit toward it.
    pub(super) fn set_limit(&mut self, index: EndpointIndex, limit: f64) {
        self.usual_limit = (self.usual_limit
            + USUAL_LIMIT_SHARE * (limit - self.current_limit(&self.endpoints[index])))
        .max(1.0);
        self.endpoints[index].concurrency_limit = limit;
        self.endpoints[index].limit_changed_at = self.now;
    }

    /// Cuts the limit of an endpoint, at most once in a recovery interval.
    pub(super) fn cut_limit(&mut self, index: EndpointIndex) {
        if self.now.saturating_sub(self.endpoints[index].limit_cut_at)
            > self.parameters.recovery_interval
        {
            self.endpoints[index].limit_cut_at = self.now;
            self.set_limit(
                index,
                (self.current_limit(&self.endpoints[index]) * LIMIT_CUT_FACTOR).max(1.0),
            );
        }
    }

    /// Adjusts the limit on all relays in flight from here, by steps that follow the value of the
    /// command. It grows while it binds and shrinks for late or refused answers. A failure at an
    /// endpoint that fails more than the others says little of the fleet, and counts less.
    pub(super) fn adjust_in_flight_limit(
        &mut self,
        index: EndpointIndex,
        class: usize,
        outcome: Outcome,
        in_time: bool,
        value: f64,
    ) {
        self.mean_value += MIN_GAIN * (value - self.mean_value);
        let relative_value = value / self.mean_value;
        let answered = outcome == Outcome::Answered;
        let relative_health =
            (self.endpoints[index].health(self.now, Some(class)) / self.success_rate).min(1.0);
        let cut = relative_value * relative_health;
        self.success_rate = (self.success_rate
            + MIN_GAIN * (f64::from(u8::from(answered)) - self.success_rate))
            .max(0.1);
        let late = answered || outcome == Outcome::Cancelled && !in_time;
        if answered && in_time {
            self.in_flight_limit += if self.in_flight + 2.0 >= 0.6 * self.in_flight_limit {
                0.1 * relative_value
            } else {
                0.0
            };
        } else if late || matches!(outcome, Outcome::TimedOut | Outcome::Overloaded) {
            self.in_flight_limit =
                (self.in_flight_limit.min(2.0 * self.in_flight + 4.0) - 0.5 * cut).max(1.0);
        }
    }
}
