use super::Balancer;
use super::command::Relay;
use super::endpoint::Endpoint;
use super::key_affinity::KEY_SLOTS;
use super::parameters::Parameters;
use super::statistics::{DecayingCount, DecayingMean, RecentOutcomes, SMOOTHING};
use crate::{Action, DeduplicationScope, Effect, RequestClassConfig};
use std::time::Duration;

const CLASS_SLOT_REUSE_DELAY: Duration = Duration::from_secs(60); // a verb's, before another has it
const MIN_CLASS_RATE: f64 = 0.1; // a second; so little asked says little of how a verb is served

/// For one verb: what was ordered, and what was seen of it.
pub struct RequestClass {
    pub name: String,
    pub effect: Effect,
    pub deduplication_scope: DeduplicationScope,
    pub deduplication_window: Duration,
    pub deadline_target: Duration,
    pub time_limit: Duration,
    pub target_per_work: f64,
    pub utility: f64,
    pub late_utility: f64,
    pub usual_budget: Duration, // what most clients give, and how sure that is
    pub budget_confidence: u32,
    pub arrivals: DecayingCount,
    pub served_in_time: DecayingCount, // in time
    pub answer_time: DecayingMean,     // seconds that an answer takes
    pub max_relays: usize,
    pub allowed: [Option<Vec<usize>>; 2], // zones and kinds where it may run, if not all
    pub retired_at: Option<Duration>,     // no command comes with it since then
}

impl RequestClass {
    pub fn from_config(v: &RequestClassConfig, usual: Duration, most_relays: usize) -> Self {
        RequestClass {
            name: v.name.clone(),
            effect: v.effect,
            deduplication_scope: v.deduplication_scope,
            deduplication_window: v.deduplication_window,
            deadline_target: v.deadline_target,
            time_limit: v.time_limit,
            target_per_work: v.target_per_work,
            utility: v.utility,
            late_utility: v.late_utility,
            usual_budget: Duration::ZERO,
            budget_confidence: 0,
            arrivals: DecayingCount::default(),
            served_in_time: DecayingCount::default(),
            answer_time: DecayingMean {
                mean: usual.as_secs_f64(),
                ..DecayingMean::default()
            },
            max_relays: most_relays,
            allowed: [v.allowed_zones.clone(), v.allowed_kinds.clone()],
            retired_at: None,
        }
    }

    /// Whether the orders are the same.
    fn same_config(&self, other: &RequestClass) -> bool {
        let times = |v: &RequestClass| [v.deduplication_window, v.deadline_target, v.time_limit];
        let numbers = |v: &RequestClass| [v.target_per_work, v.utility, v.late_utility];
        self.name == other.name
            && (self.effect, self.deduplication_scope, self.max_relays)
                == (other.effect, other.deduplication_scope, other.max_relays)
            && (times(self), numbers(self), &self.allowed)
                == (times(other), numbers(other), &other.allowed)
    }

    pub fn is_restricted(&self) -> bool {
        self.allowed.iter().any(Option::is_some)
    }

    /// Whether it may run there.
    pub fn allowed_on(&self, e: &Endpoint) -> bool {
        let [zones, kinds] = &self.allowed;
        zones.as_ref().is_none_or(|zones| zones.contains(&e.zone))
            && kinds.as_ref().is_none_or(|kinds| kinds.contains(&e.kind))
    }

    /// Other orders for the same verb: what was seen of it holds, but for what clients give.
    fn adopt_statistics(&mut self, before: &RequestClass) {
        (self.arrivals, self.served_in_time, self.answer_time) =
            (before.arrivals, before.served_in_time, before.answer_time);
    }

    /// How long a repeat may still be sent; a tenth is left for the way.
    pub(super) fn deduplication_time_left(&self, first: &Relay, now: Duration) -> Duration {
        self.deduplication_window
            .mul_f64(0.9)
            .saturating_sub(now.saturating_sub(first.sent_at))
    }

    /// Like with like: a time against its verb's usual one, and for the place in line that it had.
    pub(super) fn relative_latency(&self, r: &Relay, spent: Duration) -> f64 {
        spent.as_secs_f64() / self.answer_time.mean.max(1e-6) / (1.0 + 0.5 * r.load_ahead)
    }

    /// When a relay takes unusually long.
    pub(super) fn hedge_delay(&self) -> Duration {
        Duration::from_secs_f64(
            (self.answer_time.mean + 3.0 * self.answer_time.spread).clamp(0.0, 4000.0),
        )
    }
}

impl Balancer {
    /// Other orders: verbs that did not change keep their slots, all others get some that no command holds.
    pub(crate) fn reconfigure(&mut self, mut duty: Parameters) {
        let (new, now) = (std::mem::take(&mut duty.classes), self.now);
        duty.classes = std::mem::take(&mut self.parameters.classes);
        if duty.tenant_shares != self.parameters.tenant_shares {
            self.tenant_arrivals = vec![DecayingCount::default(); duty.tenant_shares.len()];
        }
        self.key_arrivals.resize(
            if duty.warm_keys {
                self.key_arrivals.len().max(KEY_SLOTS)
            } else {
                0
            },
            DecayingCount::default(),
        );
        self.parameters = duty;
        let live = |v: &RequestClass| v.retired_at.is_none();
        let stay = |old: &RequestClass| new.iter().any(|v| v.same_config(old));
        for old in self
            .parameters
            .classes
            .iter_mut()
            .filter(|v| v.retired_at.is_none() && !stay(v))
        {
            old.retired_at = Some(now);
        }
        let mut verbs = Vec::with_capacity(new.len());
        for mut v in new {
            let slots = &self.parameters.classes;
            if let Some(at) = slots
                .iter()
                .position(|old| live(old) && old.same_config(&v))
            {
                verbs.push(at);
                continue;
            }
            let before = slots
                .iter()
                .rposition(|old| old.name == v.name && old.retired_at == Some(now));
            before.iter().for_each(|at| v.adopt_statistics(&slots[*at]));
            let held = |at: usize| self.commands.iter().flatten().any(|c| c.class == at);
            let free = |at: &usize| {
                let since = slots[*at].retired_at.map(|since| now.saturating_sub(since));
                since.is_some_and(|since| since > CLASS_SLOT_REUSE_DELAY) && !held(*at)
            };
            let at = (0..slots.len()).find(free).unwrap_or(slots.len());
            for e in &mut self.endpoints {
                let few = before
                    .and_then(|at| e.outcomes_by_class.get(at))
                    .copied()
                    .unwrap_or_default();
                e.outcomes_by_class.resize(
                    e.outcomes_by_class.len().max(at + 1),
                    RecentOutcomes::default(),
                );
                e.outcomes_by_class[at] = few;
            }
            if at == slots.len() {
                self.parameters.classes.push(v);
            } else {
                self.parameters.classes[at] = v;
            }
            verbs.push(at);
        }
        for gone in self
            .parameters
            .classes
            .iter_mut()
            .filter(|v| v.retired_at == Some(now))
        {
            (gone.arrivals, gone.served_in_time) =
                (DecayingCount::default(), DecayingCount::default());
        }
        let names: Vec<_> = verbs
            .iter()
            .map(|at| self.parameters.classes[*at].name.as_str())
            .collect();
        let line = format!("other orders: verbs {}", names.join(", "));
        self.log(line);
        self.actions
            .push(Action::ClassIndicesAssigned { classes: verbs });
        self.refresh_fleet();
    }

    /// What an answer in time adds to the result, for each verb. Guards against starving the verb that is
    /// worth least for as long as the result counts the worst served.
    pub(super) fn class_values(&self) -> Vec<f64> {
        let verbs = &self.parameters.classes;
        let rates: Vec<f64> = verbs
            .iter()
            .map(|v| v.arrivals.rate(self.now, 8 * SMOOTHING) + MIN_CLASS_RATE)
            .collect();
        let served = verbs
            .iter()
            .map(|v| v.served_in_time.rate(self.now, 8 * SMOOTHING) + MIN_CLASS_RATE);
        let services: Vec<f64> = served
            .zip(&rates)
            .map(|(served, rate)| served / rate)
            .collect();
        let (all, least) = (
            rates.iter().sum::<f64>(),
            services.iter().copied().fold(1.0, f64::min),
        );
        let worth: f64 = verbs
            .iter()
            .zip(&rates)
            .map(|(v, rate)| rate * v.utility)
            .sum();
        let behind = |n: usize| (1.0 - 10.0 * (services[n] - least)).max(0.0);
        let (whole, worst) = (
            self.parameters.objective_total * all / worth,
            self.parameters.objective_worst_class * all,
        );
        (0..verbs.len())
            .map(|n| whole * verbs[n].utility + worst * behind(n) / rates[n])
            .collect()
    }
}
