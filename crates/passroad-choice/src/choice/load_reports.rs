use super::Balancer;
use super::endpoint::Endpoint;
use super::statistics::decay;
use crate::{EndpointIndex, LoadReport};

impl Balancer {
    pub(super) fn record_report(&mut self, at: EndpointIndex, report: Option<LoadReport>) {
        let (Some(e), Some(report)) = (self.endpoints.get_mut(at), report) else {
            return;
        };
        let margin =
            2 * (self.parameters.report_fresh_for + self.probe_round_trip + self.parameters.tick);
        let sure = e
            .in_flight
            .iter()
            .filter(|sent| self.now.saturating_sub(**sent) > margin)
            .count() as f64;
        let step = match report.outstanding.filter(|_| sure > 0.0) {
            Some(holds) if holds < 0.5 * sure => -0.25,
            known => known.map_or(0.0, |_| 0.02),
        };
        // A share of time stands for as many as a single server holds that is busy for it.
        let busy = report
            .utilization
            .map(|u| u.clamp(0.0, 1.0))
            .map(|u| u / (1.1 - u));
        let told = report
            .backlog
            .filter(|_| !self.parameters.live_weights)
            .map(|b| b + busy.unwrap_or(0.0));
        if let Some(holds) = report.outstanding.or(told).or(busy) {
            e.load = holds.max(0.0);
            e.reported_at = Some(self.now);
        }
        if let (Some(errors), Some(rate)) = (report.errors_per_s, report.throughput) {
            e.error_share = if errors > 0.0 {
                (errors / (errors + rate).max(1e-9)).clamp(0.0, 1.0)
            } else {
                0.0
            };
        }
        self.adjust_report_credit(at, step);
    }

    /// Guards against stuck or lying reports, which draw all to what seems empty: what an endpoint says is
    /// held against own relays known to be there, against refusals as full, and against the times it takes
    /// where a relay went by it. Thin traffic goes by old ones, and the cold are slow: neither is a lie.
    pub(super) fn adjust_report_credit(&mut self, at: EndpointIndex, step: f64) {
        let e = &mut self.endpoints[at];
        e.report_credit = (e.report_credit + step).clamp(0.0, 1.0);
        self.report_credit = (self.report_credit + 0.2 * step).clamp(0.0, 1.0);
        let (credit, holds) = (e.report_credit, e.load);
        if e.reports_distrusted != (credit < if e.reports_distrusted { 0.75 } else { 0.5 }) {
            e.reports_distrusted = !e.reports_distrusted;
            let word = if e.reports_distrusted {
                "do not fit"
            } else {
                "fit again"
            };
            self.log(format!(
                "endpoint {at}: reports {word} (says {holds:.1}, credit {credit:.2})"
            ));
        }
    }

    pub(super) fn report_trust(&self, e: &Endpoint) -> f64 {
        e.reported_at.map_or(0.0, |at| {
            e.report_credit * self.report_credit * decay(self.now, at, self.parameters.report_decay)
        })
    }

    /// Load in commands held; old and discredited reports lose trust and drift to the mean of the trusted.
    /// What is out from here counts in any case.
    pub(super) fn estimated_load(&self, e: &Endpoint, usual: f64) -> f64 {
        let trust = self.report_trust(e);
        (trust * e.load.max(0.0) + (1.0 - trust) * usual * e.capacity * self.warm_up_ramp(e))
            .max(e.in_flight.len() as f64)
    }

    /// Mean of the trusted loads, in commands a usual size. Guards against a lock-up where nothing is heard
    /// any more: as reports age or lose credit it falls to nothing, and own relays in flight decide.
    pub(super) fn mean_load(&self) -> f64 {
        let (mut sum, mut of) = (0.0, 0.0);
        for e in self.endpoints_in_view().filter(|e| e.available) {
            let fresh = e.reported_at.map_or(0.0, |at| {
                decay(self.now, at, 4 * self.parameters.report_decay)
            });
            sum +=
                fresh * e.report_credit * self.report_credit * e.load.max(e.in_flight.len() as f64);
            of += fresh * e.capacity;
        }
        // Against one report, not a share of the fleet: of a large one few are heard of at any time.
        sum / of.max(1.0)
    }
}
