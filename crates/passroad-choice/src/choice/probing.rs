use super::Balancer;
use super::endpoint::Endpoint;
use crate::{Action, CommandIndex, EndpointIndex, LoadReport, Outcome};
use std::time::Duration;

impl Balancer {
    /// Asks a few likely endpoints how they are before a command goes out. Guards against choosing by reports
    /// that are older than a service time: each sidecar sees too little traffic to hear of all by answers.
    pub(super) fn send_probes(&mut self, of: Option<(usize, usize)>) -> Duration {
        self.refresh_view();
        // None where they are not allowed, also not of an endpoint with a pass; where they are dear only for
        // what nothing takes, as often as that finds something open.
        let odds = if of.is_none() {
            (self.probe_yield * self.parameters.probes_per_find).max(0.05)
        } else {
            0.0
        };
        let asks = self.parameters.probes_per_command > 0
            && (self.parameters.probe_every_command || self.random() < odds);
        let may = |e: &Endpoint| {
            self.admits_relays(e)
                && of.is_none_or(|(verb, _)| self.parameters.classes[verb].allowed_on(e))
        };
        let mut weights = if asks {
            self.weights(&self.in_view, of, None, &may)
        } else {
            Vec::new()
        };
        for (e, w) in self.endpoints_in_view().zip(&mut weights) {
            let known = e
                .reported_at
                .is_some_and(|at| self.now.saturating_sub(at) <= self.parameters.report_fresh_for);
            *w = if e.probe_sent_at.is_some() || known || *w <= 0.0 {
                0.0
            } else {
                w.max(0.002)
            };
        }
        // Where most are idle, one asked is enough; the second round asks again if it is not.
        let most = self
            .parameters
            .probes_per_command
            .min(1 + (4.0 * self.mean_load()) as usize);
        // A pass is for now: its endpoint is asked in any case.
        let passed =
            |n: &usize| weights[*n] > 0.0 && self.is_cold(&self.endpoints[self.in_view[*n]]);
        let mut asked: Vec<_> = (0..weights.len()).filter(passed).collect();
        while asked.len() < most {
            let Some(n) = self.draw(&weights) else { break };
            weights[n] = 0.0;
            asked.push(n);
        }
        let hold = if asked.is_empty() {
            Duration::ZERO
        } else {
            3 * self.probe_round_trip + 2 * self.parameters.tick
        };
        for endpoint in asked.into_iter().map(|n| self.in_view[n]) {
            self.endpoints[endpoint].probe_sent_at = Some(self.now);
            self.actions.push(Action::Probe { endpoint });
        }
        hold.min(self.parameters.max_probe_wait)
    }

    /// Holds a command while a few endpoints are asked how they are; tells whether it waits for them.
    pub(super) fn wait_for_probes(&mut self, cmd: CommandIndex) -> bool {
        // Guards against holding a command longer than its client stays.
        let Some(c) = self
            .open_command(cmd)
            .filter(|c| self.now < c.queue_deadline)
        else {
            return false;
        };
        let until = self.now + self.send_probes(Some((c.class, c.weight_set)));
        self.commands[cmd]
            .iter_mut()
            .for_each(|c| c.probe_wait_until = until);
        until > self.now
    }

    pub(super) fn on_probe_finished(
        &mut self,
        at: EndpointIndex,
        outcome: Outcome,
        spent: Duration,
        report: Option<LoadReport>,
    ) {
        let Some(e) = self.endpoints.get_mut(at) else {
            return;
        };
        e.probe_sent_at = None;
        if outcome == Outcome::Answered {
            self.probe_round_trip = (9 * self.probe_round_trip + spent) / 10;
            self.record_reached(at);
            self.record_report(at, report);
            let (e, counts) = (
                &self.endpoints[at],
                !self.parameters.probe_every_command && !self.queue.is_empty(),
            );
            let open = counts
                && self.estimated_load(e, self.mean_load()) < self.current_limit(e) * e.capacity;
            self.probe_yield += if counts {
                0.1 * (f64::from(u8::from(open)) - self.probe_yield)
            } else {
                0.0
            };
        } else if matches!(outcome, Outcome::ConnectFailed | Outcome::TimedOut) {
            self.record_unreachable(at);
        }
    }

    pub(super) fn knows_idle_endpoint(&self) -> bool {
        let (usual, since) = (
            self.mean_load(),
            self.now
                .saturating_sub(2 * self.parameters.report_fresh_for),
        );
        let known = |e: &&Endpoint| e.available && e.reported_at.is_some_and(|at| at > since);
        self.endpoints_in_view()
            .filter(known)
            .any(|e| self.estimated_load(e, usual) < 0.5 * e.capacity)
    }
}
