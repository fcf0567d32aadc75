use super::Balancer;
use super::endpoint::Endpoint;
use super::statistics::{MIN_GAIN, SMOOTHING, decay};
use crate::{EndpointIndex, Outcome};

pub(super) const INITIAL_LIMIT: f64 = 2.0; // one in work and one waiting, at the usual size
pub(super) const LIMIT_GROWTH: f64 = 0.3; // of one, for a round of answers well in time
const USUAL_LIMIT_SHARE: f64 = 0.5; // of a change at one endpoint, what goes to the usual limit
const LIMIT_CUT_FACTOR: f64 = 0.7; // what a limit keeps when it is cut

impl Balancer {
    /// An endpoint not tried lately has the usual limit. Guards against limits that never grow: in a large
    /// fleet a sidecar meets each endpoint too seldom to learn one for each.
    pub(super) fn current_limit(&self, e: &Endpoint) -> f64 {
        self.usual_limit
            + (e.concurrency_limit - self.usual_limit)
                * decay(self.now, e.limit_changed_at, 4 * SMOOTHING)
    }

    pub(super) fn set_limit(&mut self, at: EndpointIndex, limit: f64) {
        self.usual_limit = (self.usual_limit
            + USUAL_LIMIT_SHARE * (limit - self.current_limit(&self.endpoints[at])))
        .max(1.0);
        (
            self.endpoints[at].concurrency_limit,
            self.endpoints[at].limit_changed_at,
        ) = (limit, self.now);
    }

    pub(super) fn cut_limit(&mut self, at: EndpointIndex) {
        if self.now.saturating_sub(self.endpoints[at].limit_cut_at)
            > self.parameters.recovery_interval
        {
            self.endpoints[at].limit_cut_at = self.now;
            self.set_limit(
                at,
                (self.current_limit(&self.endpoints[at]) * LIMIT_CUT_FACTOR).max(1.0),
            );
        }
    }

    /// The limit on what is out from here in all: steps by worth, up while it binds, down for what is late or
    /// turned away. What fails at an endpoint that fails more than the others says little of the fleet.
    pub(super) fn adjust_in_flight_limit(
        &mut self,
        at: EndpointIndex,
        verb: usize,
        outcome: Outcome,
        in_time: bool,
        value: f64,
    ) {
        self.mean_value += MIN_GAIN * (value - self.mean_value);
        let (value, answered) = (value / self.mean_value, outcome == Outcome::Answered);
        let share =
            value * (self.endpoints[at].health(self.now, Some(verb)) / self.success_rate).min(1.0);
        self.success_rate = (self.success_rate
            + MIN_GAIN * (f64::from(u8::from(answered)) - self.success_rate))
            .max(0.1);
        let late = answered || outcome == Outcome::Cancelled && !in_time;
        if answered && in_time {
            self.in_flight_limit += if self.in_flight + 2.0 >= 0.6 * self.in_flight_limit {
                0.1 * value
            } else {
                0.0
            };
        } else if late || matches!(outcome, Outcome::TimedOut | Outcome::Overloaded) {
            self.in_flight_limit =
                (self.in_flight_limit.min(2.0 * self.in_flight + 4.0) - 0.5 * share).max(1.0);
        }
    }
}
