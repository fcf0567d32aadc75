//! The learned state: what an old process hands to its successor in an upgrade. It is written by
//! field name, and the two processes may be of different versions, so a renamed field keeps its
//! outer name by attribute.

use super::Balancer;
use super::endpoint::Endpoint;
use super::request_class::RequestClass;
use super::statistics::{DecayingCount, DecayingMean};
use crate::EndpointIndex;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Longest pause that is taken over for an endpoint that can't be reached.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(60);

/// What a process has learnt of endpoints, classes and load, for its successor. Times are by a
/// clock that both share.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LearnedState {
    endpoints: Vec<(String, Endpoint)>,
    /// Each class by name, with its slot.
    #[serde(rename = "verbs")]
    classes: Vec<(String, usize, ClassStatistics)>,
    #[serde(rename = "mix")]
    tenant_arrivals: Vec<DecayingCount>,
    #[serde(rename = "usual")]
    latency: DecayingMean,
    #[serde(rename = "rtt")]
    probe_round_trip: Duration,
    /// Over the short and the long time.
    sends: [DecayingCount; 2],
    #[serde(rename = "warm_served")]
    warm_answers: DecayingCount,
    arrivals: DecayingCount,
    /// Usual limit, in-flight limit, mean value, success rate, report credit, retry budget.
    #[serde(rename = "numbers")]
    scalars: [f64; 6],
    #[serde(rename = "marked")]
    retries_marked: bool,
}

/// What was seen of a request class.
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
    /// Ids of the endpoints in it, in the order in which [`crate::Event::StateInherited`] gives
    /// their slots.
    pub fn endpoint_ids(&self) -> impl Iterator<Item = &str> {
        self.endpoints.iter().map(|(id, _)| id.as_str())
    }
}

impl Balancer {
    /// What this process has learnt; `id` gives the outer id of an endpoint.
    pub fn learned_state(&self, id: impl Fn(EndpointIndex) -> Option<String>) -> LearnedState {
        let endpoints = self.endpoints.iter().enumerate().filter(|(_, e)| e.in_use);
        let statistics = |class: &RequestClass| ClassStatistics {
            usual_budget: class.usual_budget,
            budget_confidence: class.budget_confidence,
            arrivals: class.arrivals,
            served_in_time: class.served_in_time,
            answer_time: class.answer_time,
        };
        let classes = self
            .parameters
            .classes
            .iter()
            .enumerate()
            .filter(|(_, class)| class.retired_at.is_none());
        LearnedState {
            endpoints: endpoints
                .filter_map(|(index, endpoint)| Some((id(index)?, endpoint.clone())))
                .collect(),
            classes: classes
                .map(|(slot, class)| (class.name.clone(), slot, statistics(class)))
                .collect(),
            tenant_arrivals: self.tenant_arrivals.clone(),
            latency: self.latency,
            probe_round_trip: self.probe_round_trip,
            sends: [self.sends_short, self.sends_long],
            warm_answers: self
                .warm_kinds
                .iter()
                .fold(DecayingCount::default(), |all, kind| {
                    all.merged(&kind.answers)
                }),
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

    /// Takes over what the old process has learnt. The relays that it had in flight stay its own,
    /// and what the list says here is newer.
    pub(crate) fn inherit_state(&mut self, state: LearnedState, slots: &[Option<EndpointIndex>]) {
        let now = self.now;
        let count = state.endpoints.len();
        let mut old_slots = vec![None; self.parameters.classes.len()];
        for (name, old_slot, statistics) in state.classes {
            let Some(slot) = self
                .parameters
                .classes
                .iter()
                .position(|class| class.retired_at.is_none() && class.name == name)
            else {
                continue;
            };
            let class = &mut self.parameters.classes[slot];
            class.usual_budget = statistics.usual_budget;
            class.budget_confidence = statistics.budget_confidence;
            class.arrivals = statistics.arrivals;
            class.served_in_time = statistics.served_in_time;
            class.answer_time = statistics.answer_time;
            old_slots[slot] = Some(old_slot);
        }
        for ((_, old), index) in state.endpoints.into_iter().zip(slots) {
            let Some(endpoint) = index.and_then(|index| self.endpoints.get_mut(index)) else {
                continue;
            };
            let outcomes = old_slots.iter().map(|slot| {
                slot.and_then(|slot| old.outcomes_by_class.get(slot))
                    .copied()
            });
            let outcomes_by_class = outcomes.map(Option::unwrap_or_default).collect();
            // Prevents times of a clock that ran ahead from keeping an endpoint cold, or paused,
            // for as long.
            let started_at = endpoint
                .started_at
                .max(old.started_at.map(|at| at.min(now)));
            let retry_at = old.retry_at.min(now + MAX_RETRY_PAUSE);
            let current = std::mem::replace(
                endpoint,
                Endpoint {
                    outcomes_by_class,
                    started_at,
                    retry_at,
                    ..old
                },
            );
            endpoint.id_hash = current.id_hash;
            endpoint.zone = current.zone;
            endpoint.kind = current.kind;
            endpoint.cell = current.cell;
            endpoint.weight = current.weight;
            endpoint.max_live_weight = current.max_live_weight.max(endpoint.max_live_weight);
            endpoint.capacity = current.capacity;
            endpoint.in_use = current.in_use;
            endpoint.running = current.running;
            endpoint.available = current.available;
            endpoint.removed = current.removed;
            endpoint.cordoned_since = current.cordoned_since;
            endpoint.in_flight = current.in_flight;
            endpoint.last_used = current.last_used;
            endpoint.probe_sent_at = current.probe_sent_at;
            endpoint.in_view = current.in_view;
            endpoint.route_weights = current.route_weights;
        }
        if state.tenant_arrivals.len() == self.tenant_arrivals.len() {
            self.tenant_arrivals = state.tenant_arrivals;
        }
        self.latency = state.latency;
        self.probe_round_trip = state.probe_round_trip;
        self.retries_marked = state.retries_marked;
        [self.sends_short, self.sends_long] = state.sends;
        self.arrivals = state.arrivals;
        [
            self.usual_limit,
            self.in_flight_limit,
            self.mean_value,
            self.success_rate,
            self.report_credit,
            self.retry_budget,
        ] = state.scalars;
        self.log(format!(
            "took over the learned state of {count} endpoints from the old process"
        ));
        self.refresh_fleet();
        let total_weight: f64 = self.warm_kinds.iter().map(|kind| kind.weight).sum();
        for kind in &mut self.warm_kinds {
            kind.answers = state
                .warm_answers
                .scaled(kind.weight / total_weight.max(1e-9));
        }
    }
}
