use super::command::Command;
use super::endpoint::Endpoint;
use super::slow_start::WarmKind;
use super::statistics::decay;
use super::{Balancer, TIMER_LIST};
use crate::{Action, EndpointIndex, EndpointState, ListUpdateKind, ListedEndpoint};
use std::time::Duration;

impl Balancer {
    pub(super) fn update_list(&mut self, kind: ListUpdateKind, entries: Vec<ListedEndpoint>) {
        let jitter = self.random();
        match kind {
            // Guards against a crowd at a list service that is down: later each time, never in step; 1.5 s at
            // most, as news soon counts as told. Where lists are pushed the agent's news counts at once.
            ListUpdateKind::Failed => {
                self.subscribed = false;
                self.list_failures += 1;
                let step = match self.parameters.list_on_request {
                    true => {
                        self.parameters.list_poll_interval / 16 * (1 << self.list_failures.min(4))
                    }
                    false => self.parameters.drain_grace / 4,
                };
                let after = step.min(Duration::from_secs(1)).mul_f64(0.5 + jitter);
                self.log(format!(
                    "list refused {} times, again in {after:.2?}",
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
                    "list answers again after {} refusals",
                    self.list_failures
                ));
                self.list_failures = 0;
            }
            _ => {}
        }
        if kind != ListUpdateKind::Delta {
            self.endpoints
                .iter_mut()
                .for_each(|e| (e.running, e.available, e.removed) = (false, false, e.in_use));
        }
        for entry in &entries {
            let (now, len) = (self.now, self.endpoints.len().max(entry.endpoint + 1));
            self.endpoints.resize_with(len, Endpoint::unused);
            let e = &mut self.endpoints[entry.endpoint];
            (e.id_hash, e.kind, e.zone, e.cell, e.in_use) =
                (entry.id_hash, entry.kind, entry.zone, entry.cell, true);
            e.weight = entry.weight.clamp(0.01, 1e6);
            // A live weight is the size by one more than what is held: the most seen is the size.
            if self.parameters.live_weights {
                e.max_live_weight = e.max_live_weight.max(e.weight);
                (e.load, e.weight) = (e.max_live_weight / e.weight - 1.0, e.max_live_weight);
            }
            (e.running, e.removed) = (
                entry.state == EndpointState::Running,
                entry.state == EndpointState::Removed,
            );
            e.available = e.running && e.cordoned_since.is_none();
            let young = !entry.started_at.is_zero()
                && now.saturating_sub(entry.started_at) < self.parameters.warm_up_time;
            if young && e.started_at.is_none_or(|at| entry.started_at > at) {
                e.restart_cold(entry.started_at);
            }
        }
        if self.parameters.live_weights {
            // What is not named has not changed.
            self.endpoints
                .iter_mut()
                .filter(|e| e.available)
                .for_each(|e| e.reported_at = Some(self.now));
        }
        self.refresh_fleet();
    }

    /// Out by hand, whatever the list says. Guards against trust in what may be another process when it
    /// is called back: nothing old holds, it is cold unless told of a start meanwhile, and a send is due.
    pub(super) fn set_cordon(&mut self, at: EndpointIndex, out: bool) {
        let (now, len) = (self.now, self.endpoints.len().max(at + 1));
        self.endpoints.resize_with(len, Endpoint::unused);
        let owed = now + self.parameters.overload_window.mul_f64(self.random());
        let e = &mut self.endpoints[at];
        match e.cordoned_since.filter(|_| !out) {
            Some(since) => {
                e.restart_cold(e.started_at.filter(|up| *up > since).unwrap_or(now));
                (
                    e.cordoned_since,
                    e.trial_due,
                    e.reported_at,
                    e.report_credit,
                ) = (None, Some(owed), None, 1.0);
            }
            None if out => {
                (e.cordoned_since, e.removed) =
                    (e.cordoned_since.or(Some(now)), e.removed || !e.in_use)
            }
            None => return,
        }
        e.available = e.running && !out;
        self.actions.push(Action::Disconnect { endpoint: at });
        self.refresh_fleet();
    }

    /// Which endpoints are in play, and with which base weight, is decided before; the draw is here.
    pub(crate) fn set_route_weights(&mut self, weights: Vec<(usize, EndpointIndex, f64)>) {
        self.has_route_weights = true;
        for (play, endpoint, weight) in weights {
            let Some(e) = self.endpoints.get_mut(endpoint) else {
                continue;
            };
            e.route_weights
                .resize(e.route_weights.len().max(play + 1), 0.0);
            e.route_weights[play] = weight.clamp(0.0, 1e6);
        }
        self.refresh_fleet();
    }

    /// What the list comes to: sizes, the cold ones, the warm ones as a table to draw from by base weight.
    pub(crate) fn refresh_fleet(&mut self) {
        let wait = self.release_removed_endpoints();
        let sizes: Vec<f64> = self
            .endpoints
            .iter()
            .map(|e| self.estimated_weight(e))
            .collect();
        let ratings = self
            .endpoints
            .iter()
            .zip(&sizes)
            .filter(|(e, _)| e.available)
            .map(|(_, size)| *size);
        let (sum, count) = ratings.fold((0.0, 0.0), |(s, n): (f64, f64), r| (s + r, n + 1.0));
        (self.available_count, self.warm_capacity, self.next_refresh) =
            (f64::max(count, 1.0), 0.0, Duration::MAX);
        if wait {
            self.next_refresh = self.now;
        }
        (self.cumulative_weights, self.cold_endpoints) = (Vec::new(), Vec::new());
        self.all_cordoned = count == 0.0 && self.endpoints.iter().any(|e| e.running);
        let mut mass = 0.0;
        let mut kinds = vec![0.0; self.warm_kinds.len()];
        for (at, size) in sizes.into_iter().enumerate() {
            self.endpoints[at].capacity = size * if sum > 0.0 { count / sum } else { 1.0 };
            let e = &self.endpoints[at];
            if e.available && self.is_cold(e) {
                self.cold_endpoints.push(at);
                let warm_at = e.started_at.unwrap_or_default() + self.parameters.warm_up_time;
                self.next_refresh = self.next_refresh.min(warm_at);
            } else if e.available {
                self.warm_capacity += e.capacity;
                kinds.resize(kinds.len().max(e.kind + 1), 0.0);
                kinds[e.kind] += e.weight;
                mass += self.base_weight(e, None);
            }
            self.cumulative_weights.push(mass);
        }
        self.warm_kinds.resize(kinds.len(), WarmKind::default());
        self.warm_kinds
            .iter_mut()
            .zip(kinds)
            .for_each(|(kind, size)| kind.set_weight(self.now, size));
        if self.parameters.probes_per_command == 0 {
            self.next_refresh = self.next_refresh.min(self.now + Duration::from_secs(1));
        }
        // Many become warm one by one: a while later is early enough.
        self.next_refresh = self
            .next_refresh
            .max(self.now + self.parameters.warm_up_time / 16);
    }

    /// Size by the list, and by how fast the answers of its kind are, which the list may not tell.
    fn estimated_weight(&self, e: &Endpoint) -> f64 {
        let kind = self
            .latency_by_kind
            .get(e.kind)
            .filter(|_| self.parameters.probes_per_command == 0);
        let faster = kind.filter(|k| k.count > 0.0).map_or(1.0, |k| {
            let n = k.count * decay(self.now, k.updated_at, Duration::from_secs(20));
            self.latency.mean * (n + 2.0) / (k.mean * n + self.latency.mean * 2.0).max(1e-6)
        });
        e.weight * faster.clamp(0.2, 5.0)
    }

    /// Gives back the slots of endpoints that have left, once nothing is out on them and no command speaks of them.
    /// Guards against a list that changes all day: what is held would grow with every id that ever was.
    fn release_removed_endpoints(&mut self) -> bool {
        let mut wait = false;
        for at in 0..self.endpoints.len() {
            let e = &self.endpoints[at];
            if !e.removed || e.running || e.cordoned_since.is_some() {
                continue;
            }
            let tried = |c: &Command| c.relays.iter().any(|r| r.endpoint == at);
            if e.in_flight.is_empty()
                && e.probe_sent_at.is_none()
                && !self.commands.iter().flatten().any(tried)
            {
                self.endpoints[at] = Endpoint::unused();
                self.in_view.retain(|met| *met != at);
                self.actions.push(Action::ReleaseEndpoint { endpoint: at });
            } else {
                wait = true;
            }
        }
        wait
    }
}
