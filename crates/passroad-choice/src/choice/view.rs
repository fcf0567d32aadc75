//! The view: the endpoints that decisions look at. A small fleet is in view as a whole. Of a large
//! one only the endpoints met lately are, and a few more that are drawn by base weight, so that a
//! command costs the same CPU in any fleet.

use super::Balancer;
use super::endpoint::Endpoint;
use super::statistics::SMOOTHING;
use crate::EndpointIndex;
use std::time::Duration;

/// Fleets of up to so many endpoints are in view as a whole.
const FULL_VIEW_ENDPOINTS: usize = 32;

impl Balancer {
    /// Drops endpoints of which nothing was seen lately, and draws a few others by base weight.
    /// Prevents a walk over hundreds of endpoints for every command.
    pub(super) fn refresh_view(&mut self) {
        if self.endpoints.len() <= FULL_VIEW_ENDPOINTS {
            return (0..self.endpoints.len()).for_each(|index| self.bring_into_view(index));
        }
        let older_than = |time: Duration, age: Duration| self.now.saturating_sub(time) > age;
        let is_stale = |endpoint: &Endpoint| {
            let silent = endpoint
                .reported_at
                .is_none_or(|at| older_than(at, 8 * self.parameters.report_decay))
                && older_than(endpoint.latency.updated_at, 4 * SMOOTHING);
            let idle = endpoint.in_flight.is_empty()
                && endpoint.probe_sent_at.is_none()
                && !self.has_free_connection(endpoint);
            silent && idle && self.now >= endpoint.retry_at.max(endpoint.permit_until)
        };
        let (stale, kept): (Vec<_>, _) = self
            .in_view
            .iter()
            .partition(|index| is_stale(&self.endpoints[**index]));
        self.in_view = kept;
        stale
            .into_iter()
            .for_each(|index: EndpointIndex| self.endpoints[index].forget_statistics());
        for _ in 0..2 * self.parameters.probes_per_command.max(2) {
            let drawn = self.random() * self.cumulative_weights.last().copied().unwrap_or_default();
            let index = self.cumulative_weights.partition_point(|sum| *sum <= drawn);
            if index < self.endpoints.len() {
                self.bring_into_view(index);
            }
        }
    }

    /// Has no effect on an endpoint that is in view already.
    pub(crate) fn bring_into_view(&mut self, index: EndpointIndex) {
        if !std::mem::replace(&mut self.endpoints[index].in_view, true) {
            self.in_view.push(index);
        }
    }

    pub(crate) fn endpoints_in_view(&self) -> impl Iterator<Item = &Endpoint> {
        self.in_view.iter().map(|index| &self.endpoints[*index])
    }
}
