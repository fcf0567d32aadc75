use super::Balancer;
use super::endpoint::Endpoint;
use super::statistics::SMOOTHING;
use crate::EndpointIndex;
use std::time::Duration;

const FULL_VIEW_ENDPOINTS: usize = 32; // endpoints; so few are all in view

impl Balancer {
    /// A small fleet is in view whole; of a large one those met lately and a few more, drawn by base weight.
    /// Guards against walks over hundreds of endpoints for every command.
    pub(super) fn refresh_view(&mut self) {
        if self.endpoints.len() <= FULL_VIEW_ENDPOINTS {
            return (0..self.endpoints.len()).for_each(|at| self.bring_into_view(at));
        }
        let old = |at: Duration, span: Duration| self.now.saturating_sub(at) > span;
        let gone = |e: &Endpoint| {
            let silent = e
                .reported_at
                .is_none_or(|at| old(at, 8 * self.parameters.report_decay))
                && old(e.latency.updated_at, 4 * SMOOTHING);
            let idle =
                e.in_flight.is_empty() && e.probe_sent_at.is_none() && !self.has_free_connection(e);
            silent && idle && self.now >= e.retry_at.max(e.permit_until)
        };
        let (gone, met): (Vec<_>, _) = self
            .in_view
            .iter()
            .partition(|at| gone(&self.endpoints[**at]));
        self.in_view = met;
        gone.into_iter()
            .for_each(|at: EndpointIndex| self.endpoints[at].forget_statistics());
        for _ in 0..2 * self.parameters.probes_per_command.max(2) {
            let mass = self.random() * self.cumulative_weights.last().copied().unwrap_or_default();
            let at = self.cumulative_weights.partition_point(|m| *m <= mass);
            if at < self.endpoints.len() {
                self.bring_into_view(at);
            }
        }
    }

    pub(crate) fn bring_into_view(&mut self, at: EndpointIndex) {
        if !std::mem::replace(&mut self.endpoints[at].in_view, true) {
            self.in_view.push(at);
        }
    }

    pub(crate) fn endpoints_in_view(&self) -> impl Iterator<Item = &Endpoint> {
        self.in_view.iter().map(|at| &self.endpoints[*at])
    }
}
