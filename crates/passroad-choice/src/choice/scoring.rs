use super::Balancer;
use super::endpoint::Endpoint;
use super::health::RECENT_OUTCOMES;
use super::statistics::{DecayingCount, SMOOTHING};

const LOAD_SCORE_SHARE: f64 = 0.5; // of the score; own mean and tail latency share the rest
const MIN_SCORE: f64 = 0.02; // near-zero scores must recover, so none is zero
pub(super) const FAILURE_RISK: f64 = 2.0; // a sure failure, as commands ahead; five times that where it is the last word

/// Where a command may go.
pub type EndpointFilter<'a> = &'a dyn Fn(&Endpoint) -> bool;

/// What a command is worth against the best, and what a failure of it costs.
pub type Demand = Option<(f64, f64)>;

impl Balancer {
    /// Weights for a command, zero where it may not go. Without `need` (value, risk) limits do not count.
    pub(super) fn weights(
        &self,
        ats: &[usize],
        of: Option<(usize, usize)>,
        need: Demand,
        may: EndpointFilter,
    ) -> Vec<f64> {
        let (verb, play) = (of.map(|(verb, _)| verb), of.map(|(_, play)| play));
        let (usual, risk) = (
            self.mean_load(),
            need.map_or(FAILURE_RISK, |(_, risk)| risk),
        );
        let ready = |e: &Endpoint| {
            e.available && self.now >= e.retry_at && may(e) && self.base_weight(e, play) > 0.0
        };
        // Guards against a crowd of unheard ones, each a little likely, that outweighs one known to be idle,
        // and against one that fails fast: it looks idle, and draws what it then fails.
        let doubt = if self.parameters.probes_per_command > 0 {
            (1.0 - usual).max(0.0)
        } else {
            0.0
        };
        let link = |e: &Endpoint| {
            if self.has_free_connection(e) || self.is_cold(e) {
                0.0
            } else {
                self.parameters.new_connection_load
            }
        };
        let new = |e: &Endpoint| {
            link(e)
                + doubt * (1.0 - self.report_trust(e))
                + risk * e.harmful_share(self.now, 2 * RECENT_OUTCOMES, 4 * SMOOTHING)
        };
        let load = |e: &Endpoint| {
            if ready(e) {
                self.estimated_load(e, usual) / e.capacity
            } else {
                f64::INFINITY
            }
        };
        let loads: Vec<f64> = ats.iter().map(|at| load(&self.endpoints[*at])).collect();
        let all = || ats.iter().map(|at| &self.endpoints[*at]).zip(&loads);
        let least = all()
            .map(|(e, load)| load / self.warm_up_ramp(e) + new(e))
            .fold(f64::INFINITY, f64::min);
        let tail_of_all = self.latency.mean + 2.0 * self.latency.spread;
        let weight = |(e, &load): (&Endpoint, &f64)| {
            let full = |v: f64| match self.parameters.probes_per_command {
                // Old news is no ground to turn away: there the limit is on what is out from here in all.
                0 => self.in_flight >= self.in_flight_limit * (0.6 + 0.4 * v),
                _ => load >= self.current_limit(e) * (0.6 + 0.4 * v),
            };
            if load.is_infinite() || need.is_some_and(|(v, _)| full(v)) {
                return 0.0;
            }
            let (mean, tail) = e.latency.estimate(self.now, 2 * SMOOTHING, &self.latency);
            let load = load / self.warm_up_ramp(e) + new(e);
            // Guards against a crowd: where news is old, what seems least loaded seems so to all.
            let load = match self.parameters.probes_per_command {
                0 => 10.0 - 9.0 * ((load / usual.max(1.0)).max(self.send_ratio(e)) - 1.0).max(0.0),
                _ => 10.0 - 40.0 * (load - least),
            };
            let mean = 10.0
                - 9.0 * (mean / self.warm_up_ramp(e) / self.latency.mean.max(1e-6) - 1.0).max(0.0);
            let tail = 10.0 - 9.0 * (tail / tail_of_all.max(1e-6) - 1.0).max(0.0);
            let score = LOAD_SCORE_SHARE * load + (1.0 - LOAD_SCORE_SHARE) * (mean + tail) / 2.0;
            let health = (e.health(self.now, verb) * (1.0 - e.error_share))
                .max(0.1)
                .powi(3);
            // Called back by hand: tried soon, also where little is sent and nothing is heard of it.
            let score = if e.trial_due.is_some_and(|at| self.now >= at) {
                200.0
            } else {
                score.clamp(MIN_SCORE, 10.0)
            };
            self.base_weight(e, play) * score / 10.0 * health
        };
        all().map(weight).collect()
    }

    /// By the list and the zone, or by what routes say of a play; with none named, its most.
    pub(crate) fn base_weight(&self, e: &Endpoint, play: Option<usize>) -> f64 {
        let most = || e.route_weights.iter().copied().fold(0.0, f64::max);
        e.capacity
            * match (self.has_route_weights, play) {
                (true, Some(play)) => e.route_weights.get(play).copied().unwrap_or_default(),
                (true, None) => most(),
                (false, _) if e.zone == self.parameters.own_zone => 1.0,
                (false, _) => self.parameters.other_zone_weight,
            }
    }

    /// Guards against hundreds of sidecars that each connect to all: a new connection is work, and endpoints
    /// take few. Where none is open from here an endpoint counts as fuller, by the stated price.
    pub(super) fn has_free_connection(&self, e: &Endpoint) -> bool {
        let open = e
            .last_used
            .is_some_and(|at| self.now.saturating_sub(at) < self.parameters.idle_close);
        open && (!self.parameters.single_stream || e.in_flight.is_empty())
    }

    /// Own sends of late against a fair part: where keys have the same homes everywhere, a sample of all's.
    fn send_ratio(&self, e: &Endpoint) -> f64 {
        let count =
            |m: &DecayingCount| m.rate(self.now, 4 * SMOOTHING) * (4 * SMOOTHING).as_secs_f64();
        (count(&e.sends) + 2.0)
            / (count(&self.sends_long) * e.capacity / self.warm_capacity.max(1.0) + 2.0)
    }

    /// A place among the weights.
    pub(super) fn draw(&mut self, weights: &[f64]) -> Option<usize> {
        let mut left = weights.iter().sum::<f64>() * self.random();
        let hit = |w: &f64| {
            left -= w;
            *w > 0.0 && left < 0.0
        };
        weights
            .iter()
            .position(hit)
            .or_else(|| weights.iter().rposition(|w| *w > 0.0))
    }
}
