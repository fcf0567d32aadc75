//! What the decisions remember, by how long it lives: for one relay, one command, one endpoint, one verb.
//! Only shapes and sums stand here; what follows from them is decided in `choice.rs`.

use super::Balancer;
use super::command::Command;
use super::endpoint::Endpoint;
use super::slow_start::WarmKind;
use super::statistics::decay;
use crate::{Action, CommandIndex, EndpointIndex};
use std::time::Duration;

/// What is left to chance of an endpoint's place for a key, the same wherever it is asked: exponential.
pub fn key_rank(mark: u64, key: u64) -> f64 {
    let mixed = (mark ^ key).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ mixed >> 32).wrapping_mul(0xd6e8_feb8_6659_fd93);
    -(((mixed ^ mixed >> 32) & 0xffff_ffff) as f64 / 4_294_967_296.0)
        .max(1e-12)
        .ln()
}

/// Where a command may go.
pub type EndpointFilter<'a> = &'a dyn Fn(&Endpoint) -> bool;

/// What a command is worth against the best, and what a failure of it costs.
pub type Demand = Option<(f64, f64)>;

/// What every decision uses and none decides: chance, the log, what is held and in view, what
/// the list adds up to.
impl Balancer {
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

    pub(crate) fn mark_streaming(&mut self, cmd: CommandIndex) {
        self.commands
            .get_mut(cmd)
            .into_iter()
            .flatten()
            .for_each(|c| c.streaming = true);
    }

    pub(crate) fn mark_body_not_replayable(&mut self, cmd: CommandIndex) {
        self.commands
            .get_mut(cmd)
            .into_iter()
            .flatten()
            .for_each(|c| c.body_not_replayable = true);
    }

    /// One more relay is at work there, unless its body still comes.
    pub(crate) fn count_relay_in(&mut self, at: EndpointIndex, sent: Duration, coming: bool) {
        if coming {
            return;
        }
        let e = &mut self.endpoints[at];
        e.in_flight.push(sent);
        e.load = e.load.max(0.0) + 1.0;
        self.in_flight += 1.0;
    }

    pub(crate) fn count_relay_out(&mut self, at: EndpointIndex, sent: Duration, coming: bool) {
        if coming {
            return;
        }
        let e = &mut self.endpoints[at];
        e.load -= 1.0;
        e.in_flight
            .iter()
            .position(|held| *held == sent)
            .map(|gone| e.in_flight.swap_remove(gone));
        self.in_flight -= 1.0;
    }

    pub(crate) fn open_command(&self, cmd: CommandIndex) -> Option<&Command> {
        self.commands.get(cmd).and_then(Option::as_ref)
    }

    pub(crate) fn bring_into_view(&mut self, at: EndpointIndex) {
        if !std::mem::replace(&mut self.endpoints[at].in_view, true) {
            self.in_view.push(at);
        }
    }

    pub(crate) fn endpoints_in_view(&self) -> impl Iterator<Item = &Endpoint> {
        self.in_view.iter().map(|at| &self.endpoints[*at])
    }

    pub(crate) fn release_if_done(&mut self, cmd: CommandIndex) {
        let done = |c: &Command| c.concluded && c.relays.iter().all(|r| r.outcome.is_some());
        if self.open_command(cmd).is_some_and(done) {
            self.commands[cmd] = None;
            self.actions.push(Action::ReleaseCommand { command: cmd });
        }
    }

    /// Takes over what another instance did in place of what this one would have done, for the watch.
    pub(crate) fn align_with(
        &mut self,
        now: Duration,
        lead: &Balancer,
        done: &[Action],
        would: &[Action],
    ) {
        let over = 4 * Duration::from_secs(2);
        for (actions, back) in [(would, true), (done, false)] {
            for action in actions {
                let Action::Relay { endpoint, .. } = action else {
                    continue;
                };
                let Some(e) = self.endpoints.get_mut(*endpoint) else {
                    continue;
                };
                if back {
                    e.sends.undo_increment();
                    self.sends_short.undo_increment();
                    self.sends_long.undo_increment();
                    e.load -= 1.0;
                } else {
                    e.sends.increment(now, over);
                    self.sends_short.increment(now, over / 4);
                    self.sends_long.increment(now, over);
                    e.load = e.load.max(0.0) + 1.0;
                }
            }
        }
        let keys: Vec<_> = self
            .commands
            .iter()
            .map(|c| c.as_ref().and_then(|c| c.key))
            .collect();
        self.commands = lead.commands.clone();
        for (command, key) in self.commands.iter_mut().zip(keys) {
            command.iter_mut().for_each(|c| c.key = key);
        }
        self.endpoints
            .resize_with(lead.endpoints.len(), Endpoint::unused);
        for (e, led) in self.endpoints.iter_mut().zip(&lead.endpoints) {
            e.in_flight.clone_from(&led.in_flight);
            (e.last_used, e.probe_sent_at, e.permit_until, e.trial_due) = (
                led.last_used,
                led.probe_sent_at,
                led.permit_until,
                led.trial_due,
            );
        }
        self.queue.clone_from(&lead.queue);
        (
            self.retry_budget,
            self.queue_timer_at,
            self.next_queue_probe,
        ) = (
            lead.retry_budget,
            lead.queue_timer_at,
            lead.next_queue_probe,
        );
        (self.shedding, self.overloaded_at, self.subscribed) =
            (lead.shedding, lead.overloaded_at, lead.subscribed);
        self.in_flight = self
            .endpoints
            .iter()
            .map(|e| e.in_flight.len() as f64)
            .sum();
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
}
