//! Load reports of endpoints, how far they are trusted, and the load estimated from them.

use super::Balancer;
use super::endpoint::Endpoint;
use super::statistics::decay;
use crate::{EndpointIndex, LoadReport};

impl Balancer {
    /// Records what an endpoint reports, and checks it against own relays in flight.
    pub(super) fn record_report(&mut self, index: EndpointIndex, report: Option<LoadReport>) {
        let (Some(endpoint), Some(report)) = (self.endpoints.get_mut(index), report) else {
            return;
        };
        let margin =
            2 * (self.parameters.report_fresh_for + self.probe_round_trip + self.parameters.tick);
        let surely_there = endpoint
            .in_flight
            .iter()
            .filter(|sent_at| self.now.saturating_sub(**sent_at) > margin)
            .count() as f64;
        let step = match report.outstanding.filter(|_| surely_there > 0.0) {
            Some(outstanding) if outstanding < 0.5 * surely_there => -0.25,
            outstanding => outstanding.map_or(0.0, |_| 0.02),
        };
        // A share of busy time counts as the commands that a single server holds which is busy for
        // that share.
        let by_utilization = report
            .utilization
            .map(|u| u.clamp(0.0, 1.0))
            .map(|u| u / (1.1 - u));
        let by_backlog = report
            .backlog
            .filter(|_| !self.parameters.live_weights)
            .map(|backlog| backlog + by_utilization.unwrap_or(0.0));
        if let Some(load) = report.outstanding.or(by_backlog).or(by_utilization) {
            endpoint.load = load.max(0.0);
            endpoint.reported_at = Some(self.now);
        }
        if let (Some(errors), Some(answers)) = (report.errors_per_s, report.throughput) {
            endpoint.error_share = if errors > 0.0 {
                (errors / (errors + answers).max(1e-9)).clamp(0.0, 1.0)
            } else {
                0.0
            };
        }
        self.adjust_report_credit(index, step);
    }

    /// Changes the credit of an endpoint's reports, and a fifth of that of all reports. Prevents
    /// stuck or wrong reports from drawing all traffic to an endpoint that seems empty. A report is
    /// compared with own relays that are surely at the endpoint, with its refusals as overloaded,
    /// and with its latency where a relay was sent because of it. Sparse traffic is sent by old
    /// reports, and cold endpoints are slow: neither costs credit.
    pub(super) fn adjust_report_credit(&mut self, index: EndpointIndex, step: f64) {
        let endpoint = &mut self.endpoints[index];
        endpoint.report_credit = (endpoint.report_credit + step).clamp(0.0, 1.0);
        self.report_credit = (self.report_credit + 0.2 * step).clamp(0.0, 1.0);
        let credit = endpoint.report_credit;
        let load = endpoint.load;
        if endpoint.reports_distrusted
            != (credit
                < if endpoint.reports_distrusted {
                    0.75
                } else {
                    0.5
                })
        {
            endpoint.reports_distrusted = !endpoint.reports_distrusted;
            let change = if endpoint.reports_distrusted {
                "disagree with its behaviour"
            } else {
                "agree with its behaviour again"
            };
            self.log(format!(
                "endpoint {index}: load reports {change} (load {load:.1}, credit {credit:.2})"
            ));
        }
    }

    /// Weight of an endpoint's last report in its estimated load, from 0 to 1.
    pub(super) fn report_trust(&self, endpoint: &Endpoint) -> f64 {
        endpoint.reported_at.map_or(0.0, |reported_at| {
            endpoint.report_credit
                * self.report_credit
                * decay(self.now, reported_at, self.parameters.report_decay)
        })
    }

    /// Load in commands. As a report ages or loses credit, the estimate moves to the mean of the
    /// trusted loads. It is never below the own relays in flight.
    pub(super) fn estimated_load(&self, endpoint: &Endpoint, mean_load: f64) -> f64 {
        let trust = self.report_trust(endpoint);
        (trust * endpoint.load.max(0.0)
            + (1.0 - trust) * mean_load * endpoint.capacity * self.warm_up_ramp(endpoint))
        .max(endpoint.in_flight.len() as f64)
    }

    /// Mean of the trusted loads, in commands at the mean capacity. Prevents a deadlock where
    /// nothing is reported any more: as reports age or lose credit the mean falls to nothing, and
    /// own relays in flight decide.
    pub(super) fn mean_load(&self) -> f64 {
        let mut load = 0.0;
        let mut capacity = 0.0;
        for endpoint in self.endpoints_in_view().filter(|e| e.available) {
            let freshness = endpoint.reported_at.map_or(0.0, |reported_at| {
                decay(self.now, reported_at, 4 * self.parameters.report_decay)
            });
            load += freshness
                * endpoint.report_credit
                * self.report_credit
                * endpoint.load.max(endpoint.in_flight.len() as f64);
            capacity += freshness * endpoint.capacity;
        }
        // At least one report, not a share of the fleet: in a large fleet few endpoints report at
        // any time.
        load / capacity.max(1.0)
    }
}
