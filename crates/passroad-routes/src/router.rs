//! Chooses the weight set for each command. The home tier of a pool keeps its traffic while it can carry it. The rest
//! spills to the first lower-priority tier with a usable endpoint, within the rate limit, and is ramped back when home
//! recovers. Sans-I/O and without a clock: events come in, weights and decisions go out.

use crate::config::{PoolConfig, RoutesConfig, ZoneSelector};
use crate::spillover::SpilloverLimiter;
use crate::zone::{Zone, ZoneHealth, ZoneSummary};
use passroad_choice::{
    BalancerConfig, EndpointIndex, EndpointState, ListedEndpoint, LoadReport, Outcome,
};
use std::time::Duration;

/// Weight sets of a pool, in the order of their indices. This one has the home tier only.
const HOME: usize = 0;
/// Home, and the receiving tier at [`LOW_WEIGHT`]: for recovering zones and for trials.
const MIXED: usize = 1;
/// The receiving tier only.
const SPILLOVER: usize = 2;
const WEIGHT_SETS: usize = 3;

const UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// Consecutive failures to reach an endpoint after which it counts as unreachable.
const UNREACHABLE_FAILURES: u32 = 2;
/// Weight of the receiving tier in [`MIXED`], and the lowest weight of a recovering home zone.
const LOW_WEIGHT: f64 = 0.1;
/// One of so many spilled commands is a trial that may reach a home tier which is down.
const TRIAL_INTERVAL: u32 = 10;
const RATE_WINDOW: Duration = Duration::from_secs(4);
/// Share of the deadline target after which an answer counts as late, as in the limits of the decision module.
const LATE_SHARE: f64 = 0.85;
/// Smaller changes of a weight are not reported to the decision module, unless they are from or to zero.
const MIN_WEIGHT_CHANGE: f64 = 0.02;
/// Consecutive connect failures after which the decision module treats an endpoint as cold when it answers again.
const COLD_AFTER_FAILURES: u32 = 3;

#[derive(Debug, Clone)]
struct Endpoint {
    zone: usize,
    weight: f64, // from the list
    running: bool,
    started_at: Duration,
    failures: u32,              // consecutive failures to reach it
    connect_failures: u32,      // consecutive, as counted by the decision module
    pool_weights: Vec<f64>,     // by pool, 0 where the endpoint doesn't belong to it
    reported_weights: Vec<f64>, // by weight set, as last reported to the decision module
}

/// Rate of events per second over a decaying window.
#[derive(Debug, Clone, Copy, Default)]
struct Rate {
    sum: f64,
    updated_at: Duration,
    first_event: Option<Duration>,
}

impl Rate {
    /// Approximates exponential decay since the last event.
    fn decay(&self, now: Duration) -> f64 {
        let periods = now.saturating_sub(self.updated_at).as_secs_f64() / RATE_WINDOW.as_secs_f64();
        (1.0 - periods / 16.0).max(0.0).powi(16)
    }

    fn add(&mut self, now: Duration) {
        self.sum = self.sum * self.decay(now) + 1.0;
        self.updated_at = now;
        self.first_event.get_or_insert(now);
    }

    fn per_second(&self, now: Duration) -> f64 {
        let age = now
            .saturating_sub(self.first_event.unwrap_or(now))
            .clamp(RATE_WINDOW / 16, RATE_WINDOW);
        self.sum * self.decay(now) / age.as_secs_f64()
    }
}

struct Pool {
    config: PoolConfig,
    tiers: Vec<Vec<usize>>, // zones of each tier that the list has named so far
    zones: Vec<Zone>,
    command_rate: Rate,
    limiter: SpilloverLimiter,
    spilled: u32,
    needs_spillover: bool,         // home can't carry all of its traffic
    receiving_tier: Option<usize>, // where commands spill to
    logged_tier: Option<usize>,
}

/// What happens to a command.
#[derive(Debug, Clone, PartialEq)]
pub enum RoutingDecision {
    Admit {
        weight_set: usize,
    },
    /// More commands than may spill: the client is told at once when to retry.
    Refuse {
        retry_after: Duration,
    },
}

/// Tracks the health of each pool's zones and routes commands to weight sets.
pub struct Router {
    config: RoutesConfig,
    pools: Vec<Pool>,
    endpoints: Vec<Option<Endpoint>>,
    cordoned: Vec<bool>,                  // by endpoint
    names: Vec<Option<(String, String)>>, // id and kind, by endpoint
    own_zone: usize,
    zone_names: Vec<String>,
    class_values: Vec<f64>, // utility by request class, relative to the highest
    cold_capacity: f64,
    warm_up_time: Duration,
    rng_state: u64,
    updated_at: Option<Duration>,
    dirty: bool,
    log_lines: Vec<String>,
}

impl Router {
    pub fn new(routes: RoutesConfig, config: &BalancerConfig) -> Self {
        let best = config
            .classes
            .iter()
            .map(|class| class.utility)
            .fold(1e-9, f64::max);
        let pool = |pool: &PoolConfig| Pool {
            tiers: Vec::new(),
            zones: Vec::new(),
            command_rate: Rate::default(),
            limiter: SpilloverLimiter::new(
                pool.max_spill_share,
                pool.max_spill_rate,
                pool.max_receiver_load,
                pool.min_spill_share,
            ),
            spilled: 0,
            needs_spillover: false,
            receiving_tier: None,
            logged_tier: None,
            config: pool.clone(),
        };
        Router {
            pools: routes.pools.iter().map(pool).collect(),
            config: routes,
            endpoints: Vec::new(),
            cordoned: Vec::new(),
            names: Vec::new(),
            own_zone: config.own_zone,
            zone_names: config.zones.clone(),
            class_values: config
                .classes
                .iter()
                .map(|class| class.utility / best)
                .collect(),
            cold_capacity: config.cold_capacity.clamp(0.01, 1.0),
            warm_up_time: config.warm_up_time,
            rng_state: config.seed.rotate_left(17) | 1,
            updated_at: None,
            dirty: true,
            log_lines: Vec::new(),
        }
    }

    /// Whether a configuration can replace the current one. Pools and zones must stay; only the routes may change.
    pub fn can_reconfigure(&self, config: &BalancerConfig, routes: &RoutesConfig) -> bool {
        routes.pools == self.config.pools && config.zones == self.zone_names
    }

    pub fn reconfigure(&mut self, config: &BalancerConfig, routes: RoutesConfig) {
        let best = config
            .classes
            .iter()
            .map(|class| class.utility)
            .fold(1e-9, f64::max);
        self.class_values = config
            .classes
            .iter()
            .map(|class| class.utility / best)
            .collect();
        self.config = routes;
    }

    /// Multiply-with-carry generator, as in the decision module; uniform in [0, 1).
    fn random(&mut self) -> f64 {
        self.rng_state = (self.rng_state & 0xffff_ffff) * 4_294_957_665 + (self.rng_state >> 32);
        (self.rng_state & 0xffff_ffff) as f64 / 4_294_967_296.0
    }

    /// Records the id and kind of an endpoint index. Must precede the first list with that index.
    pub fn register_endpoint(&mut self, endpoint: EndpointIndex, id: &str, kind: &str) {
        self.names.resize(self.names.len().max(endpoint + 1), None);
        self.names[endpoint] = Some((id.into(), kind.into()));
    }

    /// Forgets an endpoint, as its index is about to be reused.
    pub fn release_endpoint(&mut self, endpoint: EndpointIndex) {
        if let Some(slot) = self.endpoints.get_mut(endpoint) {
            *slot = None;
            self.dirty = true;
        }
    }

    pub fn set_cordoned(&mut self, endpoint: EndpointIndex, cordoned: bool) {
        self.cordoned
            .resize(self.cordoned.len().max(endpoint + 1), false);
        self.cordoned[endpoint] = cordoned;
        self.dirty = true;
    }

    /// Applies a list update. In a full list, endpoints that are missing no longer run.
    pub fn apply_list(&mut self, full: bool, entries: &[ListedEndpoint]) {
        if full {
            self.endpoints
                .iter_mut()
                .flatten()
                .for_each(|endpoint| endpoint.running = false);
        }
        for entry in entries {
            self.endpoints
                .resize(self.endpoints.len().max(entry.endpoint + 1), None);
            let name = self.names.get(entry.endpoint).and_then(Option::as_ref);
            let (id, kind) = name.map_or(("", ""), |(id, kind)| (id.as_str(), kind.as_str()));
            let pool_weight = |pool: &PoolConfig| {
                let by_label = pool.labels.is_empty()
                    || pool
                        .labels
                        .iter()
                        .any(|label| id.starts_with(label.as_str()));
                let by_kind = pool.kinds.is_empty() || pool.kinds.iter().any(|k| k == kind);
                let weight = pool.weights.get(kind).copied().unwrap_or(1.0);
                if by_label && by_kind { weight } else { 0.0 }
            };
            let pool_weights = self.config.pools.iter().map(pool_weight).collect();
            let previous = self.endpoints[entry.endpoint].take();
            let restarted = previous
                .as_ref()
                .is_none_or(|endpoint| entry.started_at > endpoint.started_at);
            self.endpoints[entry.endpoint] = Some(Endpoint {
                zone: entry.zone,
                weight: entry.weight.clamp(0.01, 1e6),
                running: entry.state == EndpointState::Running,
                started_at: entry.started_at.max(
                    previous
                        .as_ref()
                        .filter(|_| !restarted)
                        .map_or(Duration::ZERO, |endpoint| endpoint.started_at),
                ),
                failures: previous
                    .as_ref()
                    .filter(|_| !restarted)
                    .map_or(0, |endpoint| endpoint.failures),
                connect_failures: previous
                    .as_ref()
                    .filter(|_| !restarted)
                    .map_or(0, |endpoint| endpoint.connect_failures),
                pool_weights,
                reported_weights: previous
                    .map_or_else(Vec::new, |endpoint| endpoint.reported_weights),
            });
        }
        self.dirty = true;
    }

    /// Records the outcome of a relay or probe. `lateness` is the elapsed time as a share of the deadline target, none
    /// for a probe.
    pub fn record_outcome(
        &mut self,
        now: Duration,
        endpoint: EndpointIndex,
        outcome: Outcome,
        lateness: Option<f64>,
        report: Option<&LoadReport>,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(endpoint).and_then(Option::as_mut) else {
            return;
        };
        let was_unreachable = endpoint.failures >= UNREACHABLE_FAILURES;
        match outcome {
            Outcome::ConnectFailed => endpoint.connect_failures += 1,
            Outcome::TimedOut if lateness.is_none() => endpoint.connect_failures += 1,
            // The process may have been restarted. Like the decision module, treat it as cold, so that it gets its
            // share of the traffic by slow-start permits only.
            Outcome::Answered
                if std::mem::take(&mut endpoint.connect_failures) >= COLD_AFTER_FAILURES
                    && now.saturating_sub(endpoint.started_at) > self.warm_up_time =>
            {
                endpoint.started_at = now;
                self.dirty = true;
            }
            _ => {}
        }
        match outcome {
            Outcome::Answered | Outcome::Error | Outcome::Overloaded | Outcome::Rejected => {
                endpoint.failures = 0
            }
            Outcome::ConnectFailed | Outcome::TimedOut => {
                endpoint.failures = endpoint.failures.saturating_add(1)
            }
            Outcome::ConnectionLost | Outcome::Cancelled | Outcome::NotSent => {}
        }
        self.dirty |= was_unreachable != (endpoint.failures >= UNREACHABLE_FAILURES);
        for (pool, weight) in self.pools.iter_mut().zip(&endpoint.pool_weights) {
            let receives = pool
                .receiving_tier
                .is_some_and(|tier| pool.tiers[tier].contains(&endpoint.zone));
            // Prevents a pool from being throttled by the load of another pool's endpoints in the same zone.
            if !receives || *weight <= 0.0 {
                continue;
            }
            if let Some(utilization) = report.and_then(|report| report.utilization) {
                pool.limiter.record_load(now, utilization);
            }
            if let Some(lateness) = lateness {
                let bad = match outcome {
                    Outcome::Answered => lateness > LATE_SHARE,
                    Outcome::TimedOut => true,
                    // The endpoint may only be out of connections; the reported load tells whether it is overloaded.
                    Outcome::Overloaded => pool
                        .limiter
                        .receiver_load(now)
                        .is_none_or(|load| load > pool.config.max_receiver_load),
                    Outcome::ConnectFailed | Outcome::Cancelled | Outcome::NotSent => continue,
                    Outcome::Error | Outcome::ConnectionLost | Outcome::Rejected => false,
                };
                pool.limiter.record_outcome(now, bad);
            }
        }
    }

    /// Share of its full capacity that an endpoint has reached since its start.
    fn warm_up_factor(&self, now: Duration, endpoint: &Endpoint) -> f64 {
        let age = now.saturating_sub(endpoint.started_at);
        if endpoint.started_at.is_zero() || age >= self.warm_up_time {
            return 1.0;
        }
        let progress = age.as_secs_f64() / self.warm_up_time.as_secs_f64().max(1e-3);
        self.cold_capacity + (1.0 - self.cold_capacity) * progress
    }

    /// Zones of each tier, as far as the list has named them.
    fn resolve_tiers(&self, pool: &PoolConfig, zone_count: usize) -> Vec<Vec<usize>> {
        let named: Vec<usize> = pool
            .tiers
            .iter()
            .flatten()
            .filter_map(|selector| match selector {
                ZoneSelector::Own => Some(self.own_zone),
                ZoneSelector::Zone(zone) => Some(*zone),
                ZoneSelector::Rest => None,
            })
            .collect();
        let selected = |selector: &ZoneSelector| match selector {
            ZoneSelector::Own => vec![self.own_zone],
            ZoneSelector::Zone(zone) => vec![*zone],
            ZoneSelector::Rest => (0..zone_count).filter(|z| !named.contains(z)).collect(),
        };
        pool.tiers
            .iter()
            .map(|tier| {
                tier.iter()
                    .flat_map(selected)
                    .filter(|z| *z < zone_count)
                    .collect()
            })
            .collect()
    }

    /// Updates the health of all zones, if anything changed or the interval has passed, and returns the changed weights
    /// as weight set, endpoint and weight.
    pub fn update_weights(&mut self, now: Duration) -> Vec<(usize, EndpointIndex, f64)> {
        let due = self
            .updated_at
            .is_none_or(|at| now.saturating_sub(at) >= UPDATE_INTERVAL);
        if !self.dirty && !due {
            return Vec::new();
        }
        (self.updated_at, self.dirty) = (Some(now), false);
        let zone_count = self
            .endpoints
            .iter()
            .flatten()
            .map(|endpoint| endpoint.zone + 1)
            .max()
            .unwrap_or_default();
        for n in 0..self.pools.len() {
            let mut summaries = vec![ZoneSummary::default(); zone_count];
            let is_cordoned = |index: usize| self.cordoned.get(index).copied().unwrap_or_default();
            let available = self
                .endpoints
                .iter()
                .enumerate()
                .filter(|(index, _)| !is_cordoned(*index));
            for endpoint in available
                .filter_map(|(_, endpoint)| endpoint.as_ref())
                .filter(|endpoint| endpoint.running && endpoint.pool_weights[n] > 0.0)
            {
                let (summary, weight) = (
                    &mut summaries[endpoint.zone],
                    endpoint.weight * endpoint.pool_weights[n],
                );
                summary.listed += 1;
                summary.listed_weight += weight;
                if endpoint.failures < UNREACHABLE_FAILURES {
                    summary.reachable += 1;
                    summary.reachable_weight += weight;
                    summary.effective_weight += weight * self.warm_up_factor(now, endpoint);
                }
            }
            let tiers = self.resolve_tiers(&self.pools[n].config, zone_count);
            let jitter = 1.0 + self.pools[n].config.recovery_jitter * (2.0 * self.random() - 1.0);
            let pool = &mut self.pools[n];
            pool.tiers = tiers;
            pool.zones.resize_with(zone_count, Zone::default);
            let recovery_time = pool.config.recovery_time.mul_f64(jitter.max(0.0));
            for (zone, summary) in summaries.into_iter().enumerate() {
                if let Some(change) =
                    pool.zones[zone].update(now, summary, pool.config.headroom, recovery_time)
                {
                    let known = self.zone_names.get(zone);
                    let name =
                        known.map_or_else(|| format!("zone {zone}"), |name| format!("zone {name}"));
                    self.log_lines
                        .push(format!("pool {}: {name} {change}", pool.config.name));
                }
            }
            let rate = pool.command_rate.per_second(now);
            pool.needs_spillover = pool.home_share(now) < 1.0;
            let usable = |tier: &&Vec<usize>| tier.iter().any(|z| pool.zones[*z].is_usable());
            pool.receiving_tier = pool
                .tiers
                .iter()
                .skip(1)
                .position(|tier| usable(&tier))
                .map(|n| n + 1);
            pool.limiter.update(now, rate, pool.needs_spillover);
            self.log_lines.extend(pool.spillover_log_line(now));
        }
        self.changed_weights(now)
    }

    fn changed_weights(&mut self, now: Duration) -> Vec<(usize, EndpointIndex, f64)> {
        let mut changed = Vec::new();
        for index in 0..self.endpoints.len() {
            let Some(endpoint) = &self.endpoints[index] else {
                continue;
            };
            let mut weights = Vec::with_capacity(WEIGHT_SETS * self.pools.len());
            for (pool, pool_weight) in self.pools.iter().zip(&endpoint.pool_weights) {
                weights.extend(
                    pool.zone_weights(now, endpoint.zone)
                        .map(|weight| weight * pool_weight),
                );
            }
            let Some(endpoint) = &mut self.endpoints[index] else {
                continue;
            };
            for (weight_set, weight) in weights.iter().enumerate() {
                let reported = endpoint
                    .reported_weights
                    .get(weight_set)
                    .copied()
                    .unwrap_or(-1.0);
                let same = reported == *weight
                    || (reported > 0.0
                        && *weight > 0.0
                        && (weight - reported).abs() < MIN_WEIGHT_CHANGE);
                if !same {
                    changed.push((weight_set, index, *weight));
                }
            }
            endpoint.reported_weights.resize(weights.len(), -1.0);
            for (weight_set, _, weight) in changed.iter().rev().take_while(|(_, e, _)| *e == index)
            {
                endpoint.reported_weights[*weight_set] = *weight;
            }
        }
        changed
    }

    /// Routes a command, by the zone health of the last update.
    pub fn route(&mut self, now: Duration, class: usize, tenant: Option<usize>) -> RoutingDecision {
        let n = self.config.pool_of(class, tenant);
        let (draw, value) = (
            self.random(),
            self.class_values.get(class).copied().unwrap_or(1.0),
        );
        let pool = &mut self.pools[n];
        pool.command_rate.add(now);
        let home_share = pool.home_share(now);
        let admit = |weight_set| RoutingDecision::Admit {
            weight_set: WEIGHT_SETS * n + weight_set,
        };
        let recovering = pool
            .home_zones()
            .any(|zone| zone.health == ZoneHealth::Recovering);
        if home_share >= 1.0 && !recovering || pool.tiers.len() < 2 {
            return admit(HOME);
        }
        if draw < home_share {
            return admit(if recovering { MIXED } else { HOME });
        }
        if pool.receiving_tier.is_none() {
            // No other tier is usable, so the decision module looks for an endpoint at home.
            return admit(HOME);
        }
        let rate = pool.command_rate.per_second(now);
        pool.limiter.update(now, rate, true);
        match pool.limiter.try_acquire(now, value) {
            Ok(()) => {
                pool.spilled += 1;
                // Trials find out that home is reachable again even if no list update says so.
                let trial = home_share <= 0.0 && pool.spilled.is_multiple_of(TRIAL_INTERVAL);
                admit(if trial { MIXED } else { SPILLOVER })
            }
            // A degraded home tier is better than a refusal; the limits of the decision module protect it.
            Err(_) if home_share > 0.0 && !recovering => admit(HOME),
            Err(retry_after) => RoutingDecision::Refuse { retry_after },
        }
    }

    /// Takes the log lines collected since the last call, one for each change.
    pub fn take_log_lines(&mut self) -> Vec<String> {
        std::mem::take(&mut self.log_lines)
    }
}

impl Pool {
    fn home_zones(&self) -> impl Iterator<Item = &Zone> {
        self.tiers
            .first()
            .into_iter()
            .flatten()
            .map(|zone| &self.zones[*zone])
    }

    /// Share of the traffic that the home tier gets.
    fn home_share(&self, now: Duration) -> f64 {
        let known: Vec<&Zone> = self.home_zones().filter(|zone| zone.is_known()).collect();
        if known.is_empty() {
            return 0.0;
        }
        if known.iter().all(|zone| zone.health == ZoneHealth::Healthy) {
            return 1.0;
        }
        // Healthy home zones make up for the others as far as their headroom goes.
        let carriable: f64 = known
            .iter()
            .map(|zone| zone.baseline_weight() * zone.carriable_share(now, self.config.headroom))
            .sum();
        (carriable / known.iter().map(|zone| zone.baseline_weight()).sum::<f64>()).min(1.0)
    }

    /// Weights of the endpoints in a zone, by weight set of this pool.
    fn zone_weights(&self, now: Duration, zone: usize) -> [f64; WEIGHT_SETS] {
        let Some(tier) = self.tiers.iter().position(|tier| tier.contains(&zone)) else {
            return [0.0; WEIGHT_SETS];
        };
        if tier > 0 {
            let receives = self.receiving_tier == Some(tier);
            return if receives {
                [0.0, LOW_WEIGHT, 1.0]
            } else {
                [0.0; WEIGHT_SETS]
            };
        }
        let zone = &self.zones[zone];
        match zone.health {
            ZoneHealth::Healthy | ZoneHealth::Degraded => [1.0, 1.0, 0.0],
            ZoneHealth::Recovering => {
                let weight = zone.recovery_progress(now).max(LOW_WEIGHT);
                [weight, weight, 0.0]
            }
            // Full weight even when down, so that trials can reach it.
            ZoneHealth::Down => [1.0, 1.0, 0.0],
        }
    }

    /// A log line if spill-over starts, moves to another tier or ends.
    fn spillover_log_line(&mut self, now: Duration) -> Option<String> {
        let receiving_tier = self
            .receiving_tier
            .filter(|_| self.needs_spillover && self.tiers.len() > 1);
        if self.logged_tier == receiving_tier {
            return None;
        }
        self.logged_tier = receiving_tier;
        let load = self
            .limiter
            .receiver_load(now)
            .map_or("unknown".into(), |load| format!("{:.0}%", load * 100.0));
        let name = &self.config.name;
        Some(match receiving_tier {
            Some(tier) => format!(
                "pool {name}: spill-over to tier {} starts at {:.1} of {:.1} commands/s; load of that tier: {load}",
                tier + 1,
                self.limiter.rate,
                self.command_rate.per_second(now)
            ),
            None if self.needs_spillover => {
                format!("pool {name}: no lower-priority tier has a usable endpoint")
            }
            None => format!("pool {name}: spill-over ended"),
        })
    }
}
