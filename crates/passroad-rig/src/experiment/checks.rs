//! Checks an experiment file and makes the plan of its runs.

use super::faults::is_peer_fault;
use super::file_format::{
    ClassSection, Effect, ExperimentFile, FaultSection, FleetSection, SocketMode,
};
use super::{ClassPlan, EndpointPlan, POLICIES, Plan, ScheduledChange};
use crate::model::EndpointSpec;
use passroad_units::{ConfigError, HumanDuration, line_number};
use serde_json::json;
use std::ops::Range;
use std::time::Duration;
use toml::Spanned;

/// Checks the content of an experiment file and makes its plan; the text is for the lines of errors.
pub(super) struct FileChecker<'a> {
    pub(super) text: &'a str,
}

type Span = Range<usize>;

impl FileChecker<'_> {
    /// An error at the line of a span.
    pub(super) fn error<T>(
        &self,
        span: &Span,
        message: impl Into<String>,
    ) -> Result<T, ConfigError> {
        Err(ConfigError {
            line: line_number(self.text, span.start),
            message: message.into(),
        })
    }

    /// The position of a key, searched for from an offset on, for values without a span of their own.
    fn key_span(&self, from: usize, key: &str) -> Span {
        let lines = self.text[from..].lines().scan(from, |at, line| {
            let start = *at;
            *at += line.len() + 1;
            Some((start, line))
        });
        let has_key = |line: &str| {
            line.trim_start()
                .strip_prefix(key)
                .is_some_and(|rest| key.starts_with('[') || rest.trim_start().starts_with('='))
        };
        let found = lines
            .filter(|(_, line)| has_key(line))
            .map(|(at, _)| at)
            .next();
        let at = found.unwrap_or(from);
        at..at
    }

    /// Checks a file and makes the plan of its runs.
    pub(super) fn plan(&self, file: ExperimentFile) -> Result<Plan, ConfigError> {
        let top_level_key = |key: &str| self.key_span(0, key);
        if file.seeds.is_empty() {
            return self.error(&top_level_key("seeds"), "seeds: the list is empty");
        }
        if file.length.0.is_zero() || file.length.0 > Duration::from_secs(3600) {
            return self.error(
                &top_level_key("length"),
                "length: must be greater than 0s and at most 3600s",
            );
        }
        if file.settle >= file.length {
            return self.error(
                &top_level_key("settle"),
                "settle: must be shorter than length",
            );
        }
        if !(1..=20_000).contains(&file.instances) {
            return self.error(&top_level_key("instances"), "instances: from 1 to 20000");
        }
        let kinds: Vec<String> = file.fleet.kinds.keys().cloned().collect();
        let (zones, endpoints) = self.endpoints(&file.fleet, &kinds)?;
        let classes = self.classes(&file.classes)?;
        let mean_work: f64 = {
            let all_shares: f64 = classes.iter().map(|class| class.share).sum();
            classes
                .iter()
                .map(|class| class.share * class.mean_work)
                .sum::<f64>()
                / all_shares
        };
        let capacity: f64 = endpoints
            .iter()
            .map(|endpoint| endpoint.spec.cores as f64 * endpoint.spec.speed)
            .sum::<f64>()
            / mean_work;
        let per_second = match (file.load.of_capacity, file.load.per_second) {
            (Some(share), None) if share > 0.0 => share * capacity,
            (None, Some(rate)) if rate > 0.0 => rate,
            _ => {
                return self.error(
                    &top_level_key("[load]"),
                    "load: set one of of_capacity and per_second, greater than 0",
                );
            }
        };
        if per_second > 200_000.0 {
            return self.error(
                &top_level_key("per_second"),
                format!("load: {per_second:.0} commands a second are more than 200000"),
            );
        }
        let (mut changes, length) = (Vec::new(), file.length.0);
        let fleet = self.fleet_plan(&file)?;
        let is_of_fleet_plan = |fault: &FaultSection| fleet.is_some() && is_peer_fault(fault.kind);
        for fault in file
            .faults
            .iter()
            .filter(|fault| !is_of_fleet_plan(fault.get_ref()))
        {
            let count_before = changes.len();
            self.schedule_changes(fault, &file, &endpoints, &zones, &classes, &mut changes)?;
            if changes[count_before..]
                .iter()
                .any(|(at, _)| *at > length * 2)
            {
                return self.error(
                    &fault.span(),
                    "fault: changes something later than twice the length",
                );
            }
        }
        changes.sort_by_key(|(at, _)| *at);
        let needs_processes = changes.iter().any(|(_, change)| {
            matches!(
                change,
                ScheduledChange::SidecarStop(_)
                    | ScheduledChange::SidecarReload(_)
                    | ScheduledChange::SidecarUpgrade(_)
                    | ScheduledChange::SidecarReconfigure(..)
            )
        });
        if needs_processes && file.socket_mode != Some(SocketMode::Required) {
            return self.error(
                &(0..0),
                "sockets = \"needed\" is missing: a fault of processes needs it",
            );
        }
        let mut policies: Vec<String> = Vec::new();
        for name in &file.policies {
            if !POLICIES.contains(&name.get_ref().as_str()) {
                let known = POLICIES.join(", ");
                return self.error(
                    &name.span(),
                    format!("policies: unknown '{}'; there are {known}", name.get_ref()),
                );
            }
            policies.push(name.get_ref().clone());
        }
        if policies.is_empty() {
            let all = POLICIES
                .iter()
                .filter(|p| **p != "passroad-routes" || file.routes.is_some());
            policies = all.map(|p| p.to_string()).collect();
        }
        let expectations = file
            .expectations
            .iter()
            .map(|expectation| self.expectation(expectation, &file, &classes, &zones, &policies));
        let expectations = expectations.collect::<Result<Vec<_>, ConfigError>>()?;
        let all_shares: f64 = file
            .tenants
            .iter()
            .map(|tenant| tenant.load_share.unwrap_or(tenant.tenant_share))
            .sum();
        let tenants = file.tenants.iter().map(|tenant| {
            (
                tenant.name.clone(),
                tenant.tenant_share,
                tenant.load_share.unwrap_or(tenant.tenant_share) / all_shares,
            )
        });
        let allowed = &file.allowed;
        let nanos = |time: HumanDuration| time.0.as_nanos() as u64;
        let spec = &endpoints[0].spec;
        let plan = Plan {
            seeds: file.seeds.clone(),
            length,
            settle: file.settle.0,
            instances: file.instances,
            socket_mode: file.socket_mode,
            kinds,
            crash_listed_after: file
                .fleet
                .crash_listed_after
                .map_or(Duration::from_secs(2), |t| t.0),
            restart_after: file
                .fleet
                .restart_after
                .map_or(Duration::from_secs(5), |t| t.0),
            tenants: tenants.collect(),
            per_second,
            instance_skew: file.load.instance_skew,
            load_steps: file.load.steps.iter().map(|s| (s.at.0, s.factor)).collect(),
            retry_share: file.load.retry_share.0,
            retries_marked: file.load.retries_marked,
            max_tries: file.load.max_tries.max(1),
            retry_pause: file.load.retry_pause.0,
            round_trip: file.network.round_trip.0,
            cross_zone_extra: file.network.cross_zone_extra.0,
            max_relays: allowed.max_relays,
            retry_after: allowed.retry_after.0,
            connect_timeout: allowed.connect_timeout.0,
            idle_close: allowed.idle_close.0,
            drain_grace: allowed.drain_grace.0,
            changes,
            expectations,
            policies,
            report_mode: allowed.report_mode,
            allowed: json!({
                "max_relays": allowed.max_relays, "may_cancel": allowed.cancellation, "probes": allowed.probes,
                "second_copies": allowed.hedging, "retry_after": !allowed.retry_after.0.is_zero(),
                "max_retry_after": nanos(allowed.retry_after), "connect_timeout": nanos(allowed.connect_timeout),
                "idle_close": nanos(allowed.idle_close), "streams_per_conn": 1, "may_tell": file.peers.is_some(),
            }),
            prices: json!({
                "probe": allowed.probe_price, "cross_zone": allowed.cross_zone_price, "handshake": allowed.handshake_price,
            }),
            rules: json!({
                "ask_every": nanos(allowed.list_poll_interval), "cold_from": spec.cold_capacity,
                "warm_within": spec.warm_up_time.as_nanos() as u64, "tip_multiple": spec.overload_multiple,
                "tip_after": spec.overload_window.as_nanos() as u64,
            }),
            objective: json!({ "whole": file.objective.total, "worst_class": file.objective.worst_class }),
            about: file.about,
            routes: file.routes.as_ref().map(|routes| routes.get_ref().clone()),
            fleet,
            zones,
            endpoints,
            classes,
        };
        // An error in the routes names the line within them; the file's line is that of the routes key.
        if let Some(routes) = &file.routes {
            let config = passroad_orders::config_from_value(1, &plan.settings(0));
            let routes_result =
                config.map(|config| passroad_routes::parse_routes(routes.get_ref(), &config));
            if let Ok(Err(error)) = routes_result {
                return self.error(&routes.span(), format!("routes: {error}"));
            }
        }
        Ok(plan)
    }

    /// The zones and endpoints of the fleet.
    fn endpoints(
        &self,
        fleet: &FleetSection,
        kinds: &[String],
    ) -> Result<(Vec<String>, Vec<EndpointPlan>), ConfigError> {
        let (mut zones, mut endpoints) = (Vec::<String>::new(), Vec::new());
        for spanned in &fleet.groups {
            let (group, span) = (spanned.get_ref(), spanned.span());
            let Some(kind) = kinds.iter().position(|k| *k == group.kind) else {
                let known = kinds.join(", ");
                return self.error(
                    &span,
                    format!("kind: unknown '{}'; there are {known}", group.kind),
                );
            };
            let section = &fleet.kinds[&group.kind];
            if section.cores == 0 || section.speed <= 0.0 || group.weight <= 0.0 {
                let message = format!(
                    "kind {}: cores, speed and weight must be greater than 0",
                    group.kind
                );
                return self.error(&span, message);
            }
            let zone = zones
                .iter()
                .position(|z| *z == group.zone)
                .unwrap_or_else(|| {
                    zones.push(group.zone.clone());
                    zones.len() - 1
                });
            for n in 0..group.count {
                let spec = EndpointSpec {
                    cores: section.cores,
                    speed: section.speed,
                    queue_limit: section.queue_limit,
                    slowdown_queue_length: section.slowdown_queue_length,
                    slowdown_speed: section.slowdown_speed.0,
                    cold_capacity: section.cold_capacity.0.max(0.01),
                    warm_up_time: section.warm_up_time.0,
                    overload_multiple: section.overload_multiple,
                    overload_window: section.overload_window.0,
                    crashes_on_overload: section.crashes_on_overload,
                    stops_cancelled: section.stops_cancelled,
                    max_connections: section.max_connections,
                    connection_work: section.connection_work.0.as_secs_f64(),
                    report_age: section.report_age.0,
                };
                let cell = n % group.cells.max(1);
                endpoints.push(EndpointPlan {
                    spec,
                    kind,
                    zone,
                    cell,
                    weight: group.weight,
                });
            }
        }
        match endpoints.len() {
            1..=5000 => Ok((zones, endpoints)),
            n => self.error(
                &self.key_span(0, "count"),
                format!("fleet: {n} endpoints; from 1 to 5000"),
            ),
        }
    }

    /// The request classes.
    fn classes(&self, sections: &[Spanned<ClassSection>]) -> Result<Vec<ClassPlan>, ConfigError> {
        let mut classes: Vec<ClassPlan> = Vec::new();
        for spanned in sections {
            let (class, span) = (spanned.get_ref(), spanned.span());
            let is_invalid = class.name.is_empty()
                || !class
                    .name
                    .bytes()
                    .all(|b| b.is_ascii_alphanumeric() || b == b'-');
            if is_invalid || classes.iter().any(|known| known.name == class.name) {
                return self.error(
                    &span,
                    format!(
                        "name: '{}' is taken or has characters other than letters, digits and -",
                        class.name
                    ),
                );
            }
            if class.deadline_target > class.time_limit {
                return self.error(
                    &span,
                    format!("goal of {}: longer than its limit", class.name),
                );
            }
            if class.mean_work.0.is_zero()
                || class.share < 0.0
                || !(0.0..=3.0).contains(&class.work_sigma)
            {
                return self.error(
                    &span,
                    format!("{}: work, share or spread out of bounds", class.name),
                );
            }
            if class.effect == Effect::Keyed && class.deduplication_window.0.is_zero() {
                return self.error(
                    &span,
                    format!("window of {}: a receipted verb needs one", class.name),
                );
            }
            classes.push(ClassPlan {
                name: class.name.clone(),
                effect: class.effect,
                deduplication_scope: class.deduplication_scope,
                deduplication_window: class.deduplication_window.0,
                mean_work: class.mean_work.0.as_secs_f64(),
                work_sigma: class.work_sigma,
                deadline_target: class.deadline_target.0,
                time_limit: class.time_limit.0,
                utility: class.utility,
                late_utility: class.late_utility,
                share: class.share,
            });
        }
        if classes.iter().all(|class| class.share <= 0.0) {
            return self.error(&(0..0), "verb: none has a share of the load");
        }
        Ok(classes)
    }
}
