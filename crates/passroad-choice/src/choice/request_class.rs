//! Request classes: what is configured for each, what was seen of it, and what an answer of it is
//! worth.

use super::Balancer;
use super::command::Relay;
use super::endpoint::Endpoint;
use super::key_affinity::KEY_SLOTS;
use super::parameters::Parameters;
use super::statistics::{DecayingCount, DecayingMean, RecentOutcomes, SMOOTHING};
use crate::{Action, DeduplicationScope, Effect, RequestClassConfig};
use std::time::Duration;

/// The slot of a class that was removed is given to another no earlier than this.
const CLASS_SLOT_REUSE_DELAY: Duration = Duration::from_secs(60);
/// Added to the rates of each class, per second: a few arrivals say little of how a class is
/// served.
const MIN_CLASS_RATE: f64 = 0.1;

/// A request class: its configuration, and what was seen of it.
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
    /// Time budget that most clients give.
    pub usual_budget: Duration,
    /// Votes for that budget, up to 20.
    pub budget_confidence: u32,
    /// First tries, not retries by clients.
    pub arrivals: DecayingCount,
    pub served_in_time: DecayingCount,
    /// Seconds that an answer takes.
    pub answer_time: DecayingMean,
    pub max_relays: usize,
    /// Zones and kinds where it may run, if not all.
    pub allowed: [Option<Vec<usize>>; 2],
    /// No command arrives with it since then.
    pub retired_at: Option<Duration>,
}

impl RequestClass {
    /// A class of which nothing was seen yet.
    pub fn from_config(
        config: &RequestClassConfig,
        usual_answer_time: Duration,
        max_relays: usize,
    ) -> Self {
        RequestClass {
            name: config.name.clone(),
            effect: config.effect,
            deduplication_scope: config.deduplication_scope,
            deduplication_window: config.deduplication_window,
            deadline_target: config.deadline_target,
            time_limit: config.time_limit,
            target_per_work: config.target_per_work,
            utility: config.utility,
            late_utility: config.late_utility,
            usual_budget: Duration::ZERO,
            budget_confidence: 0,
            arrivals: DecayingCount::default(),
            served_in_time: DecayingCount::default(),
            answer_time: DecayingMean {
                mean: usual_answer_time.as_secs_f64(),
                ..DecayingMean::default()
            },
            max_relays,
            allowed: [config.allowed_zones.clone(), config.allowed_kinds.clone()],
            retired_at: None,
        }
    }

    /// Whether the two are configured alike.
    fn same_config(&self, other: &RequestClass) -> bool {
        let times = |class: &RequestClass| {
            [
                class.deduplication_window,
                class.deadline_target,
                class.time_limit,
            ]
        };
        let numbers =
            |class: &RequestClass| [class.target_per_work, class.utility, class.late_utility];
        self.name == other.name
            && (self.effect, self.deduplication_scope, self.max_relays)
                == (other.effect, other.deduplication_scope, other.max_relays)
            && (times(self), numbers(self), &self.allowed)
                == (times(other), numbers(other), &other.allowed)
    }

    /// The usual time of an answer, so that an answer by the deadline target is always held possible.
    pub(super) fn usual_answer_time(&self) -> Duration {
        let most = 0.6 * self.deadline_target.as_secs_f64();
        Duration::from_secs_f64(self.answer_time.mean.clamp(0.0, most))
    }

    /// Whether most clients give another budget.
    pub(super) fn is_unusual_budget(&self, budget: Duration) -> bool {
        budget.abs_diff(self.usual_budget) > self.usual_budget / 50
    }

    /// Counts a budget that a client gives. Prevents one client whose commands can't be answered in
    /// time from making those of all others look like late retries: its budget is nobody's usual one.
    pub(super) fn vote_for_budget(&mut self, budget: Duration) {
        if budget < self.usual_answer_time() {
            return;
        }
        match (self.is_unusual_budget(budget), self.budget_confidence) {
            (true, 0) => {
                self.usual_budget = budget;
                self.budget_confidence = 1;
            }
            (true, _) => self.budget_confidence -= 1,
            (false, votes) => self.budget_confidence = (votes + 1).min(20),
        }
    }

    /// Whether it may run in some zones or kinds only.
    pub fn is_restricted(&self) -> bool {
        self.allowed.iter().any(Option::is_some)
    }

    /// Whether it may run on this endpoint, by zone and kind.
    pub fn allowed_on(&self, endpoint: &Endpoint) -> bool {
        let [zones, kinds] = &self.allowed;
        zones
            .as_ref()
            .is_none_or(|zones| zones.contains(&endpoint.zone))
            && kinds
                .as_ref()
                .is_none_or(|kinds| kinds.contains(&endpoint.kind))
    }

    /// The same class under another configuration: what was seen of it still holds, but for the
    /// budget of clients.
    fn adopt_statistics(&mut self, previous: &RequestClass) {
        self.arrivals = previous.arrivals;
        self.served_in_time = previous.served_in_time;
        self.answer_time = previous.answer_time;
    }

    /// For how long a repeat of a relay is still dropped by the endpoints; a tenth of the window is
    /// left for its way.
    pub(super) fn deduplication_time_left(&self, first: &Relay, now: Duration) -> Duration {
        self.deduplication_window
            .mul_f64(0.9)
            .saturating_sub(now.saturating_sub(first.sent_at))
    }

    /// Latency relative to the usual one of the class and to the load ahead of the relay, so that
    /// relays of different classes and loads can be compared.
    pub(super) fn relative_latency(&self, relay: &Relay, elapsed: Duration) -> f64 {
        elapsed.as_secs_f64() / self.answer_time.mean.max(1e-6) / (1.0 + 0.5 * relay.load_ahead)
    }

    /// Time after which a relay counts as unusually slow.
    pub(super) fn hedge_delay(&self) -> Duration {
        Duration::from_secs_f64(
            (self.answer_time.mean + 3.0 * self.answer_time.spread).clamp(0.0, 4000.0),
        )
    }
}

impl Balancer {
    /// Applies another configuration. Classes that did not change keep their slots; each other one
    /// gets a new slot, or one that no open command holds.
    pub(crate) fn reconfigure(&mut self, mut parameters: Parameters) {
        let new_classes = std::mem::take(&mut parameters.classes);
        let now = self.now;
        parameters.classes = std::mem::take(&mut self.parameters.classes);
        if parameters.tenant_shares != self.parameters.tenant_shares {
            self.tenant_arrivals = vec![DecayingCount::default(); parameters.tenant_shares.len()];
        }
        self.key_arrivals.resize(
            if parameters.warm_keys {
                self.key_arrivals.len().max(KEY_SLOTS)
            } else {
                0
            },
            DecayingCount::default(),
        );
        self.parameters = parameters;
        let is_live = |class: &RequestClass| class.retired_at.is_none();
        let stays = |old: &RequestClass| new_classes.iter().any(|class| class.same_config(old));
        for old in self
            .parameters
            .classes
            .iter_mut()
            .filter(|class| class.retired_at.is_none() && !stays(class))
        {
            old.retired_at = Some(now);
        }
        let mut assigned = Vec::with_capacity(new_classes.len());
        for mut class in new_classes {
            let slots = &self.parameters.classes;
            if let Some(slot) = slots
                .iter()
                .position(|old| is_live(old) && old.same_config(&class))
            {
                assigned.push(slot);
                continue;
            }
            let previous = slots
                .iter()
                .rposition(|old| old.name == class.name && old.retired_at == Some(now));
            previous
                .iter()
                .for_each(|slot| class.adopt_statistics(&slots[*slot]));
            let is_held = |slot: usize| self.commands.iter().flatten().any(|c| c.class == slot);
            let is_free = |slot: &usize| {
                let retired_for = slots[*slot].retired_at.map(|at| now.saturating_sub(at));
                retired_for.is_some_and(|time| time > CLASS_SLOT_REUSE_DELAY) && !is_held(*slot)
            };
            let slot = (0..slots.len()).find(is_free).unwrap_or(slots.len());
            for endpoint in &mut self.endpoints {
                let outcomes = previous
                    .and_then(|slot| endpoint.outcomes_by_class.get(slot))
                    .copied()
                    .unwrap_or_default();
                endpoint.outcomes_by_class.resize(
                    endpoint.outcomes_by_class.len().max(slot + 1),
                    RecentOutcomes::default(),
                );
                endpoint.outcomes_by_class[slot] = outcomes;
            }
            if slot == slots.len() {
                self.parameters.classes.push(class);
            } else {
                self.parameters.classes[slot] = class;
            }
            assigned.push(slot);
        }
        for retired in self
            .parameters
            .classes
            .iter_mut()
            .filter(|class| class.retired_at == Some(now))
        {
            retired.arrivals = DecayingCount::default();
            retired.served_in_time = DecayingCount::default();
        }
        let names: Vec<_> = assigned
            .iter()
            .map(|slot| self.parameters.classes[*slot].name.as_str())
            .collect();
        let line = format!("configuration changed: classes {}", names.join(", "));
        self.log(line);
        self.actions
            .push(Action::ClassIndicesAssigned { classes: assigned });
        self.refresh_fleet();
    }

    /// What an answer in time adds to the objective, for each class. Prevents starving the class
    /// with the least utility: the objective also counts the class that is served worst.
    pub(super) fn class_values(&self) -> Vec<f64> {
        let classes = &self.parameters.classes;
        let rates: Vec<f64> = classes
            .iter()
            .map(|class| class.arrivals.rate(self.now, 8 * SMOOTHING) + MIN_CLASS_RATE)
            .collect();
        let served_rates = classes
            .iter()
            .map(|class| class.served_in_time.rate(self.now, 8 * SMOOTHING) + MIN_CLASS_RATE);
        let served_shares: Vec<f64> = served_rates
            .zip(&rates)
            .map(|(served, rate)| served / rate)
            .collect();
        let total_rate = rates.iter().sum::<f64>();
        let worst_share = served_shares.iter().copied().fold(1.0, f64::min);
        let total_utility: f64 = classes
            .iter()
            .zip(&rates)
            .map(|(class, rate)| rate * class.utility)
            .sum();
        let near_worst = |n: usize| (1.0 - 10.0 * (served_shares[n] - worst_share)).max(0.0);
        let of_total = self.parameters.objective_total * total_rate / total_utility;
        let of_worst_class = self.parameters.objective_worst_class * total_rate;
        (0..classes.len())
            .map(|n| of_total * classes[n].utility + of_worst_class * near_worst(n) / rates[n])
            .collect()
    }
}
