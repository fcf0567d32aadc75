use super::Balancer;
use super::request_class::RequestClass;
use super::statistics::SMOOTHING;
use crate::{BalancerConfig, ReportMode, RequestClassConfig};
use std::time::Duration;

/// What the standing orders come to: the figures that decisions use.
#[derive(Default)]
pub struct Parameters {
    pub classes: Vec<RequestClass>,
    pub objective_total: f64, // what the result is made of
    pub objective_worst_class: f64,
    pub tenant_shares: Vec<f64>,
    pub surplus_utility: f64,
    pub own_zone: usize,
    pub max_retry_after: Option<Duration>,
    pub cancellation_allowed: bool,
    pub hedging_allowed: bool,
    pub list_on_request: bool,
    pub list_poll_interval: Duration,
    pub drain_grace: Duration,
    pub probes_per_command: usize,   // probes that one command is worth
    pub probe_every_command: bool,   // for every command, whether or not it waits
    pub probes_per_find: f64,        // probes that one open endpoint is worth to what waits
    pub report_fresh_for: Duration,  // a report needs no heartbeat for so long
    pub recovery_interval: Duration, // so long a cut stands, and a first pause
    pub report_decay: Duration,      // trust in a report falls to a third in this
    pub max_probe_wait: Duration,    // the longest wait for heartbeats
    pub max_queue_wait: Duration,    // the wait that a queue may come to
    pub tick: Duration,
    pub live_weights: bool,
    pub warm_keys: bool,
    pub other_zone_weight: f64, // weight in another zone against the own
    pub idle_close: Duration,
    pub single_stream: bool,      // a connection carries one relay at a time
    pub new_connection_load: f64, // load that a new connection counts as
    pub cold_capacity: f64,
    pub warm_up_time: Duration,
    pub overload_window: Duration,
    pub cold_send_share: f64, // of a warm one's sends, times the ramp
}

impl Balancer {
    pub(super) fn derive_parameters(orders: BalancerConfig) -> Parameters {
        let goals = orders
            .classes
            .iter()
            .map(|v| v.deadline_target)
            .min()
            .unwrap_or_default();
        let goal = goals.clamp(Duration::from_millis(1), Duration::from_secs(60));
        // Heartbeats may cost most of a hundredth of the service: none where one costs more and alone tells.
        let dear = orders.probe_price > 0.007;
        let told = orders.report_mode == ReportMode::Piggyback
            || orders.report_mode == ReportMode::Pull && !dear;
        let asks = orders.probes_allowed && told;
        let heartbeats = (0.007 / orders.probe_price.max(1e-4)).clamp(1.0, 4.0) as usize;
        let verb = |v: &RequestClassConfig| {
            RequestClass::from_config(v, v.deadline_target / 4, orders.max_relays.max(1))
        };
        Parameters {
            classes: orders.classes.iter().map(verb).collect(),
            objective_total: orders.objective_total,
            objective_worst_class: orders.objective_worst_class,
            tenant_shares: orders.tenants.iter().map(|c| c.share).collect(),
            surplus_utility: orders.surplus_utility,
            own_zone: orders.own_zone,
            max_retry_after: orders.max_retry_after,
            cancellation_allowed: orders.cancellation_allowed,
            hedging_allowed: orders.hedging_allowed && orders.max_relays > 1,
            list_on_request: orders.list_on_request,
            list_poll_interval: orders.list_poll_interval.min(Duration::from_secs(10)),
            drain_grace: orders.drain_grace,
            probes_per_command: if asks { heartbeats } else { 0 },
            probe_every_command: !dear,
            probes_per_find: 0.25 / orders.probe_price.max(1e-4),
            report_fresh_for: goal / 30,
            recovery_interval: goal / 4,
            // Without heartbeats there is nothing newer to be had.
            report_decay: if asks { goal / 4 } else { SMOOTHING },
            max_probe_wait: (goal / 40).max(2 * orders.tick),
            max_queue_wait: goal / 4,
            tick: orders.tick,
            live_weights: orders.live_weights,
            warm_keys: orders.warm_keys,
            other_zone_weight: 0.01 / (0.01 + orders.cross_zone_price.max(0.0)),
            idle_close: orders.idle_close,
            single_stream: orders.streams_per_connection <= 1,
            // A new connection at a fortieth of the service is as bad as one command ahead.
            new_connection_load: 40.0 * orders.handshake_price.max(0.0),
            cold_capacity: orders.cold_capacity.clamp(0.01, 1.0),
            warm_up_time: orders.warm_up_time.max(Duration::from_millis(1)),
            overload_window: orders.overload_window,
            // Some passes lapse; but past its fair share a cold endpoint is late long before it falls over.
            cold_send_share: orders.overload_multiple.max(1.0).powf(0.25),
        }
    }
}
