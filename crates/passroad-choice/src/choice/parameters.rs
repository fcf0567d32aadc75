//! The parameters of the decisions, derived from the configuration.

use super::request_class::RequestClass;
use super::statistics::SMOOTHING;
use crate::{BalancerConfig, ReportMode, RequestClassConfig};
use std::time::Duration;

/// What is derived from a [`BalancerConfig`]; the classes also hold what was seen of each.
#[derive(Default)]
pub struct Parameters {
    pub classes: Vec<RequestClass>,
    /// Weights of the two parts of the objective: all answers in time, and the class that is served
    /// worst.
    pub objective_total: f64,
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
    /// Probes that one command is worth; zero where probes are not used.
    pub probes_per_command: usize,
    /// Probe for every command, not only for those that wait.
    pub probe_every_command: bool,
    /// Probes that one endpoint found below its limit is worth to the commands that wait.
    pub probes_per_find: f64,
    /// A report needs no probe for so long.
    pub report_fresh_for: Duration,
    /// Least time between two cuts of a limit, and half the first pause of an endpoint that can't
    /// be reached.
    pub recovery_interval: Duration,
    /// Trust in a report falls to about a third in this time.
    pub report_decay: Duration,
    /// Longest time that a command is held back for the answers of probes.
    pub max_probe_wait: Duration,
    /// Waiting time that the queue may reach.
    pub max_queue_wait: Duration,
    pub tick: Duration,
    pub live_weights: bool,
    pub warm_keys: bool,
    /// Weight of an endpoint in another zone, against 1 in the own zone.
    pub other_zone_weight: f64,
    pub idle_close: Duration,
    /// A connection carries one relay at a time.
    pub single_stream: bool,
    /// Load that a new connection counts as, in commands.
    pub new_connection_load: f64,
    pub cold_capacity: f64,
    pub warm_up_time: Duration,
    pub overload_window: Duration,
    /// Sends to a cold endpoint against those to a warm one, times its warm-up ramp.
    pub cold_send_share: f64,
}

impl Parameters {
    /// Derives the parameters; the classes have seen nothing yet.
    pub(super) fn from_config(config: BalancerConfig) -> Self {
        let targets = config
            .classes
            .iter()
            .map(|class| class.deadline_target)
            .min()
            .unwrap_or_default();
        let target = targets.clamp(Duration::from_millis(1), Duration::from_secs(60));
        // Probes may cost up to 0.7% of the service. Where a single one costs more, they are sent
        // only for commands that wait, and not at all where they are the only source of reports.
        let expensive = config.probe_price > 0.007;
        let reported = config.report_mode == ReportMode::Piggyback
            || config.report_mode == ReportMode::Pull && !expensive;
        let probing = config.probes_allowed && reported;
        let probes = (0.007 / config.probe_price.max(1e-4)).clamp(1.0, 4.0) as usize;
        let class = |class: &RequestClassConfig| {
            RequestClass::from_config(class, class.deadline_target / 4, config.max_relays.max(1))
        };
        Parameters {
            classes: config.classes.iter().map(class).collect(),
            objective_total: config.objective_total,
            objective_worst_class: config.objective_worst_class,
            tenant_shares: config.tenants.iter().map(|tenant| tenant.share).collect(),
            surplus_utility: config.surplus_utility,
            own_zone: config.own_zone,
            max_retry_after: config.max_retry_after,
            cancellation_allowed: config.cancellation_allowed,
            hedging_allowed: config.hedging_allowed && config.max_relays > 1,
            list_on_request: config.list_on_request,
            list_poll_interval: config.list_poll_interval.min(Duration::from_secs(10)),
            drain_grace: config.drain_grace,
            probes_per_command: if probing { probes } else { 0 },
            probe_every_command: !expensive,
            probes_per_find: 0.25 / config.probe_price.max(1e-4),
            report_fresh_for: target / 30,
            recovery_interval: target / 4,
            // Without probes no newer report can be had.
            report_decay: if probing { target / 4 } else { SMOOTHING },
            max_probe_wait: (target / 40).max(2 * config.tick),
            max_queue_wait: target / 4,
            tick: config.tick,
            live_weights: config.live_weights,
            warm_keys: config.warm_keys,
            other_zone_weight: 0.01 / (0.01 + config.cross_zone_price.max(0.0)),
            idle_close: config.idle_close,
            single_stream: config.streams_per_connection <= 1,
            // A new connection that costs a fortieth of the service is as bad as one command ahead.
            new_connection_load: 40.0 * config.handshake_price.max(0.0),
            cold_capacity: config.cold_capacity.clamp(0.01, 1.0),
            warm_up_time: config.warm_up_time.max(Duration::from_millis(1)),
            overload_window: config.overload_window,
            // Some permits expire unused, so a little more than the fair share is drawn. Not much
            // more: beyond it a cold endpoint is late long before it fails.
            cold_send_share: config.overload_multiple.max(1.0).powf(0.25),
        }
    }
}
