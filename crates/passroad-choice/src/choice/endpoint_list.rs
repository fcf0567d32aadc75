//! The endpoint list: updates and failures of the list service, cordons, route weights, and what
//! follows from the list for all endpoints together.

use super::command::Command;
use super::endpoint::Endpoint;
use super::slow_start::WarmKind;
use super::statistics::decay;
use super::{Balancer, TIMER_LIST};
use crate::{Action, EndpointIndex, EndpointState, ListUpdateKind, ListedEndpoint};
use std::time::Duration;

impl Balancer {
    /// Applies an update of the endpoint list, or handles the failure of a request for it.
    pub(super) fn update_list(&mut self, kind: ListUpdateKind, entries: Vec<ListedEndpoint>) {
        let jitter = self.random();
        match kind {
            // Prevents crowding a list service that is down: exponential backoff with jitter, 1.5 s
            // at most, as a change of the list must be followed soon after it is made. Where lists
            // are pushed it must be followed at once, so the pause is short and doesn't grow.
            ListUpdateKind::Failed => {
                self.subscribed = false;
                self.list_failures += 1;
                let backoff = match self.parameters.list_on_request {
                    true => {
                        self.parameters.list_poll_interval / 16 * (1 << self.list_failures.min(4))
                    }
                    false => self.parameters.drain_grace / 4,
                };
                let after = backoff.min(Duration::from_secs(1)).mul_f64(0.5 + jitter);
                self.log(format!(
                    "list request failed {} times; next attempt in {after:.2?}",
                    self.list_failures
                ));
                return self.set_timer(after, TIMER_LIST);
            }
            ListUpdateKind::Cached if self.parameters.list_on_request => {
                self.set_timer(
                    self.parameters.list_poll_interval.mul_f64(jitter / 4.0),
                    TIMER_LIST,
                );
            }
            ListUpdateKind::Full | ListUpdateKind::Delta if self.list_failures > 0 => {
                self.log(format!(
                    "list service answers again after {} failures",
                    self.list_failures
                ));
                self.list_failures = 0;
            }
            _ => {}
        }
        if kind != ListUpdateKind::Delta {
            self.endpoints.iter_mut().for_each(|endpoint| {
                endpoint.running = false;
                endpoint.available = false;
                endpoint.removed = endpoint.in_use;
            });
        }
        for entry in &entries {
            let now = self.now;
            let len = self.endpoints.len().max(entry.endpoint + 1);
            self.endpoints.resize_with(len, Endpoint::unused);
            let endpoint = &mut self.endpoints[entry.endpoint];
            endpoint.id_hash = entry.id_hash;
            endpoint.kind = entry.kind;
            endpoint.zone = entry.zone;
            endpoint.cell = entry.cell;
            endpoint.in_use = true;
            endpoint.weight = entry.weight.clamp(0.01, 1e6);
            // A live weight is the endpoint's full weight divided by one more than the commands it
            // holds. The highest live weight seen is taken for the full weight.
            if self.parameters.live_weights {
                endpoint.max_live_weight = endpoint.max_live_weight.max(endpoint.weight);
                endpoint.load = endpoint.max_live_weight / endpoint.weight - 1.0;
                endpoint.weight = endpoint.max_live_weight;
            }
            endpoint.running = entry.state == EndpointState::Running;
            endpoint.removed = entry.state == EndpointState::Removed;
            endpoint.available = endpoint.running && endpoint.cordoned_since.is_none();
            let is_young = !entry.started_at.is_zero()
                && now.saturating_sub(entry.started_at) < self.parameters.warm_up_time;
            if is_young && endpoint.started_at.is_none_or(|at| entry.started_at > at) {
                endpoint.restart_cold(entry.started_at);
            }
        }
        if self.parameters.live_weights {
            // An endpoint that an update doesn't name has not changed.
            self.endpoints
                .iter_mut()
                .filter(|e| e.available)
                .for_each(|e| e.reported_at = Some(self.now));
        }
        self.refresh_fleet();
    }

    /// Cordons an endpoint, whatever the list says, or lifts its cordon. Prevents trusting what was
    /// learnt of a process that may have been replaced meanwhile: when the cordon is lifted nothing
    /// of it holds, the endpoint is cold, and a trial is due.
    pub(super) fn set_cordon(&mut self, index: EndpointIndex, cordoned: bool) {
        let now = self.now;
        let len = self.endpoints.len().max(index + 1);
        self.endpoints.resize_with(len, Endpoint::unused);
        let trial_due = now + self.parameters.overload_window.mul_f64(self.random());
        let endpoint = &mut self.endpoints[index];
        match endpoint.cordoned_since.filter(|_| !cordoned) {
            Some(since) => {
                // A start that the list reported during the cordon holds; otherwise it may have
                // started just now.
                let started_at = endpoint.started_at.filter(|at| *at > since).unwrap_or(now);
                endpoint.restart_cold(started_at);
                endpoint.cordoned_since = None;
                endpoint.trial_due = Some(trial_due);
                endpoint.reported_at = None;
                endpoint.report_credit = 1.0;
            }
            None if cordoned => {
                endpoint.cordoned_since = endpoint.cordoned_since.or(Some(now));
                endpoint.removed = endpoint.removed || !endpoint.in_use;
            }
            None => return,
        }
        endpoint.available = endpoint.running && !cordoned;
        self.actions.push(Action::Disconnect { endpoint: index });
        self.refresh_fleet();
    }

    /// Sets weights that routes give: weight set, endpoint, weight. Which endpoints a route may use
    /// is decided by the caller; the draw among them is made here.
    pub(crate) fn set_route_weights(&mut self, weights: Vec<(usize, EndpointIndex, f64)>) {
        self.has_route_weights = true;
        for (weight_set, index, weight) in weights {
            let Some(endpoint) = self.endpoints.get_mut(index) else {
                continue;
            };
            endpoint
                .route_weights
                .resize(endpoint.route_weights.len().max(weight_set + 1), 0.0);
            endpoint.route_weights[weight_set] = weight.clamp(0.0, 1e6);
        }
        self.refresh_fleet();
    }

    /// Recomputes what follows from the list: capacities, the cold endpoints, the warm ones as a
    /// table to draw from by base weight, and when to do this again.
    pub(crate) fn refresh_fleet(&mut self) {
        let removal_pending = self.release_removed_endpoints();
        let weights: Vec<f64> = self
            .endpoints
            .iter()
            .map(|endpoint| self.estimated_weight(endpoint))
            .collect();
        let available_weights = self
            .endpoints
            .iter()
            .zip(&weights)
            .filter(|(endpoint, _)| endpoint.available)
            .map(|(_, weight)| *weight);
        let (total, count) = available_weights.fold((0.0, 0.0), |(sum, n): (f64, f64), weight| {
            (sum + weight, n + 1.0)
        });
        self.available_count = f64::max(count, 1.0);
        self.warm_capacity = 0.0;
        self.next_refresh = Duration::MAX;
        if removal_pending {
            self.next_refresh = self.now;
        }
        self.cumulative_weights = Vec::new();
        self.cold_endpoints = Vec::new();
        self.all_cordoned = count == 0.0 && self.endpoints.iter().any(|e| e.running);
        let mut cumulative_weight = 0.0;
        let mut kind_weights = vec![0.0; self.warm_kinds.len()];
        for (index, weight) in weights.into_iter().enumerate() {
            self.endpoints[index].capacity = weight * if total > 0.0 { count / total } else { 1.0 };
            let endpoint = &self.endpoints[index];
            if endpoint.available && self.is_cold(endpoint) {
                self.cold_endpoints.push(index);
                let warm_at =
                    endpoint.started_at.unwrap_or_default() + self.parameters.warm_up_time;
                self.next_refresh = self.next_refresh.min(warm_at);
            } else if endpoint.available {
                self.warm_capacity += endpoint.capacity;
                kind_weights.resize(kind_weights.len().max(endpoint.kind + 1), 0.0);
                kind_weights[endpoint.kind] += endpoint.weight;
                cumulative_weight += self.base_weight(endpoint, None);
            }
            self.cumulative_weights.push(cumulative_weight);
        }
        self.warm_kinds
            .resize(kind_weights.len(), WarmKind::default());
        self.warm_kinds
            .iter_mut()
            .zip(kind_weights)
            .for_each(|(kind, weight)| kind.set_weight(self.now, weight));
        if self.parameters.probes_per_command == 0 {
            self.next_refresh = self.next_refresh.min(self.now + Duration::from_secs(1));
        }
        // Many endpoints become warm one after the other; one refresh for a few of them is early
        // enough.
        self.next_refresh = self
            .next_refresh
            .max(self.now + self.parameters.warm_up_time / 16);
    }

    /// Weight by the list, and, without probes, by how fast the answers of its kind are, which the
    /// list may not tell.
    fn estimated_weight(&self, endpoint: &Endpoint) -> f64 {
        let kind = self
            .latency_by_kind
            .get(endpoint.kind)
            .filter(|_| self.parameters.probes_per_command == 0);
        let speed = kind
            .filter(|latency| latency.count > 0.0)
            .map_or(1.0, |latency| {
                let count =
                    latency.count * decay(self.now, latency.updated_at, Duration::from_secs(20));
                self.latency.mean * (count + 2.0)
                    / (latency.mean * count + self.latency.mean * 2.0).max(1e-6)
            });
        endpoint.weight * speed.clamp(0.2, 5.0)
    }

    /// Releases the slots of removed endpoints once nothing is in flight to them and no open
    /// command was sent there; returns whether some must wait. Prevents the state from growing with
    /// every id that was ever listed, where the list changes all day.
    fn release_removed_endpoints(&mut self) -> bool {
        let mut some_wait = false;
        for index in 0..self.endpoints.len() {
            let endpoint = &self.endpoints[index];
            if !endpoint.removed || endpoint.running || endpoint.cordoned_since.is_some() {
                continue;
            }
            let was_sent_there = |c: &Command| c.relays.iter().any(|r| r.endpoint == index);
            if endpoint.in_flight.is_empty()
                && endpoint.probe_sent_at.is_none()
                && !self.commands.iter().flatten().any(was_sent_there)
            {
                self.endpoints[index] = Endpoint::unused();
                self.in_view.retain(|in_view| *in_view != index);
                self.actions
                    .push(Action::ReleaseEndpoint { endpoint: index });
            } else {
                some_wait = true;
            }
        }
        some_wait
    }
}
