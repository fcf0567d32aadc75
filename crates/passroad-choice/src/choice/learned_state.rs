use super::Balancer;
use super::endpoint::Endpoint;
use super::request_class::RequestClass;
use super::statistics::{DecayingCount, DecayingMean};
use crate::EndpointIndex;
use serde::{Deserialize, Serialize};
use std::time::Duration;

const MAX_RETRY_PAUSE: Duration = Duration::from_secs(60); // of an endpoint that can't be reached

/// What one instance has learnt, for the one that takes its place. Times are by a clock that both share.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LearnedState {
    endpoints: Vec<(String, Endpoint)>,
    #[serde(rename = "verbs")]
    classes: Vec<(String, usize, ClassStatistics)>, // each with its slot
    #[serde(rename = "mix")]
    tenant_arrivals: Vec<DecayingCount>,
    #[serde(rename = "usual")]
    latency: DecayingMean,
    #[serde(rename = "rtt")]
    probe_round_trip: Duration,
    sends: [DecayingCount; 2],
    #[serde(rename = "warm_served")]
    warm_answers: DecayingCount,
    arrivals: DecayingCount,
    #[serde(rename = "numbers")]
    scalars: [f64; 6],
    #[serde(rename = "marked")]
    retries_marked: bool,
}

/// What was seen of a verb.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct ClassStatistics {
    #[serde(rename = "budget")]
    usual_budget: Duration,
    #[serde(rename = "budget_votes")]
    budget_confidence: u32,
    #[serde(rename = "asked")]
    arrivals: DecayingCount,
    #[serde(rename = "served")]
    served_in_time: DecayingCount,
    #[serde(rename = "usual")]
    answer_time: DecayingMean,
}

impl LearnedState {
    /// The endpoints that it speaks of.
    pub fn endpoint_ids(&self) -> impl Iterator<Item = &str> {
        self.endpoints.iter().map(|(id, _)| id.as_str())
    }
}

impl Balancer {
    /// What was learnt here; `name` tells what an endpoint is called outside.
    pub fn learned_state(&self, name: impl Fn(EndpointIndex) -> Option<String>) -> LearnedState {
        let known = self.endpoints.iter().enumerate().filter(|(_, e)| e.in_use);
        let habit = |v: &RequestClass| ClassStatistics {
            usual_budget: v.usual_budget,
            budget_confidence: v.budget_confidence,
            arrivals: v.arrivals,
            served_in_time: v.served_in_time,
            answer_time: v.answer_time,
        };
        let verbs = self
            .parameters
            .classes
            .iter()
            .enumerate()
            .filter(|(_, v)| v.retired_at.is_none());
        LearnedState {
            endpoints: known
                .filter_map(|(at, e)| Some((name(at)?, e.clone())))
                .collect(),
            classes: verbs
                .map(|(at, v)| (v.name.clone(), at, habit(v)))
                .collect(),
            tenant_arrivals: self.tenant_arrivals.clone(),
            latency: self.latency,
            probe_round_trip: self.probe_round_trip,
            sends: [self.sends_short, self.sends_long],
            warm_answers: self
                .warm_kinds
                .iter()
                .fold(DecayingCount::default(), |all, k| all.merged(&k.answers)),
            arrivals: self.arrivals,
            scalars: [
                self.usual_limit,
                self.in_flight_limit,
                self.mean_value,
                self.success_rate,
                self.report_credit,
                self.retry_budget,
            ],
            retries_marked: self.retries_marked,
        }
    }

    /// Takes over what another instance learnt. What it had out is its own, and what the list says is newer here.
    pub(crate) fn inherit_state(&mut self, memory: LearnedState, slots: &[Option<EndpointIndex>]) {
        let (now, count) = (self.now, memory.endpoints.len());
        let mut from = vec![None; self.parameters.classes.len()];
        for (name, slot, habit) in memory.classes {
            let Some(at) = self
                .parameters
                .classes
                .iter()
                .position(|v| v.retired_at.is_none() && v.name == name)
            else {
                continue;
            };
            let v = &mut self.parameters.classes[at];
            (v.usual_budget, v.budget_confidence) = (habit.usual_budget, habit.budget_confidence);
            (v.arrivals, v.served_in_time, v.answer_time) =
                (habit.arrivals, habit.served_in_time, habit.answer_time);
            from[at] = Some(slot);
        }
        for ((_, old), at) in memory.endpoints.into_iter().zip(slots) {
            let Some(e) = at.and_then(|at| self.endpoints.get_mut(at)) else {
                continue;
            };
            let by_verb = from.iter().map(|slot| {
                slot.and_then(|slot| old.outcomes_by_class.get(slot))
                    .copied()
            });
            let by_verb = by_verb.map(Option::unwrap_or_default).collect();
            // Guards against times of a clock that ran ahead: an endpoint would stay cold, or untried, for as long.
            let up_since = e.started_at.max(old.started_at.map(|up| up.min(now)));
            let try_at = old.retry_at.min(now + MAX_RETRY_PAUSE);
            let new = std::mem::replace(
                e,
                Endpoint {
                    outcomes_by_class: by_verb,
                    started_at: up_since,
                    retry_at: try_at,
                    ..old
                },
            );
            (e.id_hash, e.zone, e.kind, e.cell) = (new.id_hash, new.zone, new.kind, new.cell);
            (e.weight, e.max_live_weight, e.capacity, e.in_use) = (
                new.weight,
                new.max_live_weight.max(e.max_live_weight),
                new.capacity,
                new.in_use,
            );
            (e.running, e.available, e.removed, e.cordoned_since) =
                (new.running, new.available, new.removed, new.cordoned_since);
            (
                e.in_flight,
                e.last_used,
                e.probe_sent_at,
                e.in_view,
                e.route_weights,
            ) = (
                new.in_flight,
                new.last_used,
                new.probe_sent_at,
                new.in_view,
                new.route_weights,
            );
        }
        if memory.tenant_arrivals.len() == self.tenant_arrivals.len() {
            self.tenant_arrivals = memory.tenant_arrivals;
        }
        (self.latency, self.probe_round_trip, self.retries_marked) = (
            memory.latency,
            memory.probe_round_trip,
            memory.retries_marked,
        );
        [self.sends_short, self.sends_long] = memory.sends;
        self.arrivals = memory.arrivals;
        [
            self.usual_limit,
            self.in_flight_limit,
            self.mean_value,
            self.success_rate,
            self.report_credit,
            self.retry_budget,
        ] = memory.scalars;
        self.log(format!(
            "what was learnt of {count} endpoints is taken over"
        ));
        self.refresh_fleet();
        let all: f64 = self.warm_kinds.iter().map(|k| k.weight).sum();
        for kind in &mut self.warm_kinds {
            kind.answers = memory.warm_answers.scaled(kind.weight / all.max(1e-9));
        }
    }
}
