//! Scoring: each endpoint that may be used gets a score from 0 to 10, a weighted sum of its load,
//! its own mean latency and its tail latency. Its weight is `base weight x score / 10 x health`,
//! and a weighted random draw picks the endpoint.

use super::Balancer;
use super::endpoint::Endpoint;
use super::health::RECENT_OUTCOMES;
use super::statistics::{DecayingCount, SMOOTHING};

/// Share of the load in a score; mean and tail latency share the rest.
const LOAD_SCORE_SHARE: f64 = 0.5;
/// Lowest score: an endpoint with none could never recover.
const MIN_SCORE: f64 = 0.02;
/// What a sure failure counts as, in commands ahead; five times as much for a command that must not
/// be sent twice.
pub(super) const FAILURE_RISK: f64 = 2.0;

/// Tells which endpoints a command may use.
pub type EndpointFilter<'a> = &'a dyn Fn(&Endpoint) -> bool;

/// Value of a command against the most valuable class, from 0 to 1, and what a failure counts as,
/// in commands ahead.
pub type Demand = Option<(f64, f64)>;

impl Balancer {
    /// Weights of endpoints for a command of a class and weight set, zero where it may not go.
    /// Without `demand` the limits are not applied.
    pub(super) fn weights(
        &self,
        indices: &[usize],
        target: Option<(usize, usize)>,
        demand: Demand,
        may_use: EndpointFilter,
    ) -> Vec<f64> {
        let class = target.map(|(class, _)| class);
        let weight_set = target.map(|(_, weight_set)| weight_set);
        let mean_load = self.mean_load();
        let risk = demand.map_or(FAILURE_RISK, |(_, risk)| risk);
        let is_ready = |endpoint: &Endpoint| {
            endpoint.available
                && self.now >= endpoint.retry_at
                && may_use(endpoint)
                && self.base_weight(endpoint, weight_set) > 0.0
        };
        // Two penalties, as commands ahead. One for endpoints without a report: prevents a crowd of
        // them, each a little likely to be idle, from outweighing one that is known to be idle. One
        // for failures: prevents an endpoint that fails fast, and therefore looks idle, from
        // drawing the commands that it then fails.
        let unreported_load = if self.parameters.probes_per_command > 0 {
            (1.0 - mean_load).max(0.0)
        } else {
            0.0
        };
        let connection_load = |endpoint: &Endpoint| {
            if self.has_free_connection(endpoint) || self.is_cold(endpoint) {
                0.0
            } else {
                self.parameters.new_connection_load
            }
        };
        let penalty = |endpoint: &Endpoint| {
            connection_load(endpoint)
                + unreported_load * (1.0 - self.report_trust(endpoint))
                + risk * endpoint.harmful_share(self.now, 2 * RECENT_OUTCOMES, 4 * SMOOTHING)
        };
        let relative_load = |endpoint: &Endpoint| {
            if is_ready(endpoint) {
                self.estimated_load(endpoint, mean_load) / endpoint.capacity
            } else {
                f64::INFINITY
            }
        };
        let loads: Vec<f64> = indices
            .iter()
            .map(|index| relative_load(&self.endpoints[*index]))
            .collect();
        let candidates = || {
            indices
                .iter()
                .map(|index| &self.endpoints[*index])
                .zip(&loads)
        };
        let least_load = candidates()
            .map(|(endpoint, load)| load / self.warm_up_ramp(endpoint) + penalty(endpoint))
            .fold(f64::INFINITY, f64::min);
        let usual_tail = self.latency.mean + 2.0 * self.latency.spread;
        let weight = |(endpoint, &load): (&Endpoint, &f64)| {
            let is_full = |value: f64| match self.parameters.probes_per_command {
                // Without probes reports are too old to refuse by; the limit on all relays in
                // flight from here holds.
                0 => self.in_flight >= self.in_flight_limit * (0.6 + 0.4 * value),
                _ => load >= self.current_limit(endpoint) * (0.6 + 0.4 * value),
            };
            if load.is_infinite() || demand.is_some_and(|(value, _)| is_full(value)) {
                return 0.0;
            }
            let (mean, tail) = endpoint
                .latency
                .estimate(self.now, 2 * SMOOTHING, &self.latency);
            let load = load / self.warm_up_ramp(endpoint) + penalty(endpoint);
            // Without probes reports are old, and the endpoint that seems least loaded seems so to
            // every sidecar. A flatter score, and own sends of late, prevent all of them from
            // sending there.
            let load_score = match self.parameters.probes_per_command {
                0 => {
                    10.0 - 9.0
                        * ((load / mean_load.max(1.0)).max(self.send_ratio(endpoint)) - 1.0)
                            .max(0.0)
                }
                _ => 10.0 - 40.0 * (load - least_load),
            };
            let mean_score = 10.0
                - 9.0
                    * (mean / self.warm_up_ramp(endpoint) / self.latency.mean.max(1e-6) - 1.0)
                        .max(0.0);
            let tail_score = 10.0 - 9.0 * (tail / usual_tail.max(1e-6) - 1.0).max(0.0);
            let score = LOAD_SCORE_SHARE * load_score
                + (1.0 - LOAD_SCORE_SHARE) * (mean_score + tail_score) / 2.0;
            let health = (endpoint.health(self.now, class) * (1.0 - endpoint.error_share))
                .max(0.1)
                .powi(3);
            // After its cordon is lifted an endpoint is tried soon, also where little is sent and
            // nothing is reported.
            let score = if endpoint.trial_due.is_some_and(|due| self.now >= due) {
                200.0
            } else {
                score.clamp(MIN_SCORE, 10.0)
            };
            self.base_weight(endpoint, weight_set) * score / 10.0 * health
        };
        candidates().map(weight).collect()
    }

    /// Weight by capacity and zone, or by what routes give for a weight set; without a weight set
    /// the highest of them.
    pub(crate) fn base_weight(&self, endpoint: &Endpoint, weight_set: Option<usize>) -> f64 {
        let highest = || endpoint.route_weights.iter().copied().fold(0.0, f64::max);
        endpoint.capacity
            * match (self.has_route_weights, weight_set) {
                (true, Some(set)) => endpoint.route_weights.get(set).copied().unwrap_or_default(),
                (true, None) => highest(),
                (false, _) if endpoint.zone == self.parameters.own_zone => 1.0,
                (false, _) => self.parameters.other_zone_weight,
            }
    }

    /// Whether a connection that can take a relay is probably open. Prevents hundreds of sidecars
    /// from each connecting to all endpoints, which can take few connections: without one an
    /// endpoint counts as fuller, by the configured price.
    pub(super) fn has_free_connection(&self, endpoint: &Endpoint) -> bool {
        let is_open = endpoint
            .last_used
            .is_some_and(|at| self.now.saturating_sub(at) < self.parameters.idle_close);
        is_open && (!self.parameters.single_stream || endpoint.in_flight.is_empty())
    }

    /// Own sends of late against a fair share. Where keys have the same homes at every sidecar,
    /// they are a sample of the sends of all.
    fn send_ratio(&self, endpoint: &Endpoint) -> f64 {
        let count = |sends: &DecayingCount| {
            sends.rate(self.now, 4 * SMOOTHING) * (4 * SMOOTHING).as_secs_f64()
        };
        (count(&endpoint.sends) + 2.0)
            / (count(&self.sends_long) * endpoint.capacity / self.warm_capacity.max(1.0) + 2.0)
    }

    /// Draws an index of `weights` at random, in proportion to the weights; none where all are
    /// zero.
    pub(super) fn draw(&mut self, weights: &[f64]) -> Option<usize> {
        let mut left = weights.iter().sum::<f64>() * self.random();
        let is_drawn = |weight: &f64| {
            left -= weight;
            *weight > 0.0 && left < 0.0
        };
        weights
            .iter()
            .position(is_drawn)
            .or_else(|| weights.iter().rposition(|weight| *weight > 0.0))
    }
}
