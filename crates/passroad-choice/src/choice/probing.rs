//! Probing: a few likely endpoints are asked for their load before a command is sent.

use super::Balancer;
use super::endpoint::Endpoint;
use crate::{Action, CommandIndex, EndpointIndex, LoadReport, Outcome};
use std::time::Duration;

impl Balancer {
    /// Probes a few likely endpoints, for a command of a class and weight set or for all that wait;
    /// returns for how long to wait for the answers. Prevents choosing by reports that are older
    /// than a service time: each sidecar has too little traffic to get a report of every endpoint
    /// with its answers.
    pub(super) fn send_probes(&mut self, target: Option<(usize, usize)>) -> Duration {
        self.refresh_view();
        // Where probes are not allowed there are none, also not to an endpoint with a permit. Where
        // they are expensive they are sent only for commands that nothing takes, and as often as
        // they find an endpoint below its limit.
        let odds = if target.is_none() {
            (self.probe_yield * self.parameters.probes_per_find).max(0.05)
        } else {
            0.0
        };
        let probing = self.parameters.probes_per_command > 0
            && (self.parameters.probe_every_command || self.random() < odds);
        let may_use = |endpoint: &Endpoint| {
            self.admits_relays(endpoint)
                && target
                    .is_none_or(|(class, _)| self.parameters.classes[class].allowed_on(endpoint))
        };
        let mut weights = if probing {
            self.weights(&self.in_view, target, None, &may_use)
        } else {
            Vec::new()
        };
        for (endpoint, weight) in self.endpoints_in_view().zip(&mut weights) {
            let has_fresh_report = endpoint
                .reported_at
                .is_some_and(|at| self.now.saturating_sub(at) <= self.parameters.report_fresh_for);
            *weight = if endpoint.probe_sent_at.is_some() || has_fresh_report || *weight <= 0.0 {
                0.0
            } else {
                weight.max(0.002)
            };
        }
        // Where most endpoints are idle one probe is enough; if it finds a busy one, the second
        // round probes again.
        let max_probes = self
            .parameters
            .probes_per_command
            .min(1 + (4.0 * self.mean_load()) as usize);
        // A permit expires soon, so its endpoint is probed in any case.
        let has_permit =
            |n: &usize| weights[*n] > 0.0 && self.is_cold(&self.endpoints[self.in_view[*n]]);
        let mut chosen: Vec<_> = (0..weights.len()).filter(has_permit).collect();
        while chosen.len() < max_probes {
            let Some(n) = self.draw(&weights) else { break };
            weights[n] = 0.0;
            chosen.push(n);
        }
        let wait = if chosen.is_empty() {
            Duration::ZERO
        } else {
            3 * self.probe_round_trip + 2 * self.parameters.tick
        };
        for endpoint in chosen.into_iter().map(|n| self.in_view[n]) {
            self.endpoints[endpoint].probe_sent_at = Some(self.now);
            self.actions.push(Action::Probe { endpoint });
        }
        wait.min(self.parameters.max_probe_wait)
    }

    /// Sends probes for a command; returns whether it waits for their answers.
    pub(super) fn wait_for_probes(&mut self, command_index: CommandIndex) -> bool {
        // Prevents holding a command back past its queue deadline.
        let Some(command) = self
            .open_command(command_index)
            .filter(|command| self.now < command.queue_deadline)
        else {
            return false;
        };
        let until = self.now + self.send_probes(Some((command.class, command.weight_set)));
        self.commands[command_index]
            .iter_mut()
            .for_each(|command| command.probe_wait_until = until);
        until > self.now
    }

    /// Records the outcome of a probe, and whether it found an endpoint below its limit.
    pub(super) fn on_probe_finished(
        &mut self,
        index: EndpointIndex,
        outcome: Outcome,
        elapsed: Duration,
        report: Option<LoadReport>,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(index) else {
            return;
        };
        endpoint.probe_sent_at = None;
        if outcome == Outcome::Answered {
            self.probe_round_trip = (9 * self.probe_round_trip + elapsed) / 10;
            self.record_reached(index);
            self.record_report(index, report);
            let endpoint = &self.endpoints[index];
            let counts = !self.parameters.probe_every_command && !self.queue.is_empty();
            let below_limit = counts
                && self.estimated_load(endpoint, self.mean_load())
                    < self.current_limit(endpoint) * endpoint.capacity;
            self.probe_yield += if counts {
                0.1 * (f64::from(u8::from(below_limit)) - self.probe_yield)
            } else {
                0.0
            };
        } else if matches!(outcome, Outcome::ConnectFailed | Outcome::TimedOut) {
            self.record_unreachable(index);
        }
    }

    /// Whether an endpoint with a recent report holds less than half a command, at the mean
    /// capacity.
    pub(super) fn knows_idle_endpoint(&self) -> bool {
        let mean_load = self.mean_load();
        let since = self
            .now
            .saturating_sub(2 * self.parameters.report_fresh_for);
        let reported = |endpoint: &&Endpoint| {
            endpoint.available && endpoint.reported_at.is_some_and(|at| at > since)
        };
        self.endpoints_in_view()
            .filter(reported)
            .any(|endpoint| self.estimated_load(endpoint, mean_load) < 0.5 * endpoint.capacity)
    }
}
