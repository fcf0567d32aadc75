//! Checks an experiment file and makes the plan of its runs.

use super::file_format::*;
use super::*;
use crate::fleet::{DutyPlan, FleetFault, What, Whom, WorkPlan};
use passroad_units::{HumanDuration, Ratio, line_number};
use serde_json::json;
use toml::Spanned;

/// Checks the content of an experiment file and makes its plan; the text is for the lines of errors.
pub(super) struct FileChecker<'a> {
    pub(super) text: &'a str,
}

type Span = Range<usize>;

impl FileChecker<'_> {
    /// An error at the line of a span.
    fn error<T>(&self, span: &Span, message: impl Into<String>) -> Result<T, ConfigError> {
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
        let fleet = self.fleet(&file)?;
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

    /// The plan of the sidecars among each other, with their faults; none without [peers].
    fn fleet(&self, file: &ExperimentFile) -> Result<Option<FleetPlan>, ConfigError> {
        let Some(spanned) = &file.peers else {
            let needs_peers_section = |fault: &&Spanned<FaultSection>| {
                is_peer_fault(fault.get_ref().kind) && !is_process_fault(fault.get_ref().kind)
                    || fault.get_ref().target.is_some()
            };
            return match file.faults.iter().find(needs_peers_section) {
                Some(fault) => self.error(&fault.span(), "fault: needs a [peers] section"),
                None => Ok(None),
            };
        };
        let (peers, span) = (spanned.get_ref(), spanned.span());
        if peers.leased_roles.is_empty() && peers.maintenance.is_none()
            || peers.lease.0 < Duration::from_millis(200)
        {
            return self.error(
                &span,
                "peers: needs a duty or work, and a lease of at least 200ms",
            );
        }
        if peers.voters.is_multiple_of(2) || peers.voters > 7 {
            return self.error(&span, "peers: voters must be 1, 3, 5 or 7");
        }
        let longest_allowed = peers.lease.0.mul_f64(0.95 * 2.0 / 3.0) - peers.lease.0 / 20;
        if let Some(duty) = peers.leased_roles.iter().find(|role| {
            role.within.0.is_zero() || role.within.0 > longest_allowed || role.work > role.within
        }) {
            return self.error(
                &span,
                format!(
                    "peers: within of {}: must be from its work to {longest_allowed:?}",
                    duty.name
                ),
            );
        }
        let work = match &peers.maintenance {
            None => None,
            Some(work) => {
                let count: usize = file
                    .fleet
                    .groups
                    .iter()
                    .map(|group| group.get_ref().count)
                    .sum();
                let is_invalid = |request: &MaintenanceRequest| {
                    request.instance >= file.instances
                        || request.endpoints.is_empty()
                        || request.endpoints.iter().any(|e| *e >= count)
                };
                if work.requests.is_empty()
                    || work.at_once == 0
                    || work.requests.iter().any(is_invalid)
                {
                    return self.error(
                        &span,
                        "peers.work: needs at_once and requests, with endpoints and an instance that exist",
                    );
                }
                if file.socket_mode != Some(SocketMode::Required) {
                    return self.error(&span, "peers.work: sockets = \"needed\" is missing");
                }
                let requests = work
                    .requests
                    .iter()
                    .map(|request| (request.at.0, request.instance, request.endpoints.clone()));
                Some(WorkPlan {
                    lasts: work.duration.0,
                    at_once: work.at_once,
                    requests: requests.collect(),
                })
            }
        };
        let duties = peers.leased_roles.iter().map(|role| DutyPlan {
            name: role.name.clone(),
            every: role.every.0,
            within: role.within.0,
            work: role.work.0,
        });
        let mut faults = Vec::new();
        for fault in file
            .faults
            .iter()
            .filter(|fault| is_peer_fault(fault.get_ref().kind))
        {
            let (section, span) = (fault.get_ref(), fault.span());
            for (key, list) in [
                ("instances", &section.instances),
                ("from", &section.from_instances),
                ("to", &section.to_instances),
            ] {
                if let Some(n) = list.iter().flatten().find(|n| **n >= file.instances) {
                    return self.error(
                        &span,
                        format!("{key}: there is no {n}, the last is {}", file.instances - 1),
                    );
                }
            }
            let between = section.kind.is_between_peers();
            if section.instances.is_some() && between
                || !between && (section.from_instances.is_some() || section.to_instances.is_some())
            {
                return self.error(
                    &span,
                    "fault: faults between sidecars take from and to, others take instances",
                );
            }
            if section.target.is_some()
                && (section.instances.is_some() || section.from_instances.is_some())
            {
                return self.error(
                    &span,
                    "fault: whom can't be combined with instances or from",
                );
            }
            let required_share = |share: Option<Ratio>| match share {
                Some(share) => Ok(share.0),
                None => self.error(&span, "fault: share is missing"),
            };
            let effect = match section.kind {
                FaultKind::PeersCut => What::Cut {
                    out: section.one_way != Some(OneWay::Back),
                    back: section.one_way != Some(OneWay::Out),
                },
                FaultKind::PeersLose => What::Lose(required_share(section.share)?),
                FaultKind::PeersDuplicate => What::Twice(required_share(section.share)?),
                FaultKind::PeersLate => match section.delay {
                    Some(by) => What::Late {
                        by: by.0,
                        spread: section.delay_spread.unwrap_or_default().0,
                    },
                    None => return self.error(&span, "fault peers-late: by is missing"),
                },
                FaultKind::PeersBuffer => What::Keep,
                FaultKind::SidecarPause => What::Pause,
                FaultKind::SidecarKill => What::Kill,
                FaultKind::SidecarStop => What::Stop,
                _ => What::ActsKeep,
            };
            if section.one_way.is_some() && section.kind != FaultKind::PeersCut {
                return self.error(&span, "one_way: only for peers-cut");
            }
            let must_end = matches!(effect, What::Pause | What::Keep | What::ActsKeep);
            if must_end && section.duration.is_none() {
                return self.error(
                    &span,
                    "fault: for is missing; a pause or a buffering has to end",
                );
            }
            let whom = match (
                section.target,
                section.instances.clone().or(section.from_instances.clone()),
            ) {
                (Some(FaultTarget::Owner), _) => Whom::Owner,
                (Some(FaultTarget::Minority), _) => Whom::Minority,
                (Some(FaultTarget::Voters), _) => Whom::Voters,
                (None, list) => Whom::These(list.unwrap_or_else(|| (0..file.instances).collect())),
            };
            let every = section.every.map_or(Duration::ZERO, |time| time.0);
            for round in 0..section.repetitions.unwrap_or(1).clamp(1, 1000) {
                // With every but without repeat, the sidecars are hit one after the other.
                let all: Vec<Whom> = match (&whom, section.repetitions) {
                    (Whom::These(list), None) if !every.is_zero() => {
                        list.iter().map(|n| Whom::These(vec![*n])).collect()
                    }
                    _ => vec![whom.clone()],
                };
                for (n, whom) in all.into_iter().enumerate() {
                    let from = section.at.0 + every * (round + n) as u32;
                    let to = section.duration.map(|span| from + span.0);
                    faults.push(FleetFault {
                        from,
                        to,
                        whom,
                        others: section.to_instances.clone(),
                        what: effect,
                    });
                }
            }
        }
        faults.sort_by_key(|fault| fault.from);
        Ok(Some(FleetPlan {
            lease: peers.lease.0,
            period: peers.period.0,
            voters: peers.voters,
            state: peers.state,
            duties: duties.collect(),
            faults,
            fence: peers.fence,
            work,
        }))
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

    /// Adds the changes that a fault makes.
    fn schedule_changes(
        &self,
        fault: &Spanned<FaultSection>,
        file: &ExperimentFile,
        endpoints: &[EndpointPlan],
        zones: &[String],
        classes: &[ClassPlan],
        changes: &mut Vec<(Duration, ScheduledChange)>,
    ) -> Result<(), ConfigError> {
        let (section, span) = (fault.get_ref(), fault.span());
        let kind = section.kind.name();
        let required_share = |share: Option<Ratio>, key: &str| match share {
            Some(share) => Ok(share.0),
            None => self.error(&span, format!("fault {kind}: {key} is missing")),
        };
        if let Some(n) = section
            .endpoints
            .iter()
            .flatten()
            .find(|n| **n >= endpoints.len())
        {
            return self.error(
                &span,
                format!(
                    "endpoints: there is no {n}, the last is {}",
                    endpoints.len() - 1
                ),
            );
        }
        if let Some(n) = section
            .instances
            .iter()
            .flatten()
            .find(|n| **n >= file.instances)
        {
            return self.error(
                &span,
                format!(
                    "instances: there is no {n}, the last is {}",
                    file.instances - 1
                ),
            );
        }
        let zone = match &section.zone {
            None => None,
            Some(name) => match zones.iter().position(|z| z == name) {
                Some(zone) => Some(zone),
                None => return self.error(&span, format!("zone: unknown '{name}'")),
            },
        };
        let is_named = |n: &usize| {
            section
                .endpoints
                .as_ref()
                .is_none_or(|list| list.contains(n))
        };
        let endpoints_hit: Vec<usize> = (0..endpoints.len())
            .filter(|n| is_named(n) && zone.is_none_or(|zone| endpoints[*n].zone == zone))
            .collect();
        let instances_hit: Vec<usize> = section
            .instances
            .clone()
            .unwrap_or_else(|| (0..file.instances).collect());
        let duration = section.duration.map(|time| time.0);
        if section.repetitions.is_some() && section.every.is_none() {
            return self.error(&span, format!("fault {kind}: repeat needs every"));
        }
        let every = section.every.map_or(Duration::ZERO, |time| time.0);
        for round in 0..section.repetitions.unwrap_or(1).clamp(1, 1000) {
            let from = section.at.0
                + if section.kind == FaultKind::Deploy {
                    Duration::ZERO
                } else {
                    every * round as u32
                };
            let to = duration.map(|span| from + span);
            let mut during_fault = |on: ScheduledChange, off: ScheduledChange| {
                changes.push((from, on));
                changes.extend(to.map(|to| (to, off)));
            };
            for endpoint in endpoints_hit.iter().copied() {
                let mut endpoint_fault = |on: FaultChange, off: FaultChange| {
                    during_fault(
                        ScheduledChange::EndpointFault(endpoint, on),
                        ScheduledChange::EndpointFault(endpoint, off),
                    )
                };
                match section.kind {
                    FaultKind::Stall => {
                        endpoint_fault(FaultChange::Stalled(true), FaultChange::Stalled(false))
                    }
                    FaultKind::Slow => endpoint_fault(
                        FaultChange::SpeedLeft(required_share(section.speed_left, "left")?),
                        FaultChange::SpeedLeft(1.0),
                    ),
                    FaultKind::Errors => endpoint_fault(
                        FaultChange::ErrorShare(required_share(section.share, "share")?),
                        FaultChange::ErrorShare(0.0),
                    ),
                    FaultKind::MalformedResponses => endpoint_fault(
                        FaultChange::MalformedShare(required_share(section.share, "share")?),
                        FaultChange::MalformedShare(0.0),
                    ),
                    FaultKind::Resets => endpoint_fault(
                        FaultChange::ResetShare(required_share(section.share, "share")?),
                        FaultChange::ResetShare(0.0),
                    ),
                    FaultKind::FalseLoadReports => endpoint_fault(
                        FaultChange::ReportsIdle(true),
                        FaultChange::ReportsIdle(false),
                    ),
                    FaultKind::Hang => {
                        let name = section.class.clone().unwrap_or_default();
                        let Some(class) = classes.iter().position(|class| class.name == name)
                        else {
                            return self.error(&span, format!("verb: unknown '{name}'"));
                        };
                        endpoint_fault(
                            FaultChange::ClassHangs(class, true),
                            FaultChange::ClassHangs(class, false),
                        );
                    }
                    FaultKind::NetworkCut => {
                        let instances: Vec<bool> = (0..file.instances)
                            .map(|n| instances_hit.contains(&n))
                            .collect();
                        let cut = |on| ScheduledChange::NetworkCut {
                            endpoint,
                            instances: instances.clone(),
                            on,
                        };
                        during_fault(cut(true), cut(false));
                    }
                    FaultKind::Crash => during_fault(
                        ScheduledChange::Crash(endpoint),
                        ScheduledChange::Start(endpoint),
                    ),
                    FaultKind::Cordon => during_fault(
                        ScheduledChange::Cordon(endpoint, true),
                        ScheduledChange::Cordon(endpoint, false),
                    ),
                    FaultKind::Drain => during_fault(
                        ScheduledChange::Drain(endpoint),
                        ScheduledChange::Leave(endpoint),
                    ),
                    _ => {}
                }
            }
            match section.kind {
                // One endpoint after the other: drain, stop, start again.
                FaultKind::Deploy => {
                    let step = section.every.map_or(Duration::from_secs(2), |time| time.0);
                    let drain_time = duration.unwrap_or(Duration::from_secs(1));
                    for (n, endpoint) in endpoints_hit.iter().copied().enumerate() {
                        let from = from + step * n as u32;
                        changes.push((from, ScheduledChange::Drain(endpoint)));
                        changes.push((from + drain_time, ScheduledChange::Crash(endpoint)));
                        changes.push((
                            from + drain_time + Duration::from_millis(500),
                            ScheduledChange::Start(endpoint),
                        ));
                    }
                }
                FaultKind::DiscoveryLate => {
                    let Some(delay) = section.delay else {
                        return self.error(&span, "fault discovery-late: by is missing");
                    };
                    during_fault(
                        ScheduledChange::DiscoveryDelay(delay.0),
                        ScheduledChange::DiscoveryDelay(Duration::ZERO),
                    );
                    if let Some(spread) = section.delay_spread {
                        during_fault(
                            ScheduledChange::DiscoveryStagger(spread.0),
                            ScheduledChange::DiscoveryStagger(Duration::ZERO),
                        );
                    }
                }
                FaultKind::DiscoveryDown => during_fault(
                    ScheduledChange::DiscoveryDown(true),
                    ScheduledChange::DiscoveryDown(false),
                ),
                FaultKind::DiscoveryMalformed => {
                    during_fault(
                        ScheduledChange::DiscoveryMalformed(true),
                        ScheduledChange::DiscoveryMalformed(false),
                    );
                }
                FaultKind::SidecarKill => changes.extend(
                    instances_hit
                        .iter()
                        .map(|n| (from, ScheduledChange::SidecarKill(*n))),
                ),
                FaultKind::SidecarStop => changes.extend(
                    instances_hit
                        .iter()
                        .map(|n| (from, ScheduledChange::SidecarStop(*n))),
                ),
                FaultKind::SidecarReload => changes.extend(
                    instances_hit
                        .iter()
                        .map(|n| (from, ScheduledChange::SidecarReload(*n))),
                ),
                FaultKind::SidecarUpgrade => changes.extend(
                    instances_hit
                        .iter()
                        .map(|n| (from, ScheduledChange::SidecarUpgrade(*n))),
                ),
                FaultKind::SidecarReconfigure => {
                    let Some(max_relays) = section.max_relays.filter(|relays| *relays > 0) else {
                        return self.error(&span, "fault sidecar-retune: relays is missing or 0");
                    };
                    changes.extend(
                        instances_hit
                            .iter()
                            .map(|n| (from, ScheduledChange::SidecarReconfigure(*n, max_relays))),
                    );
                }
                _ if endpoints_hit.is_empty() => {
                    return self.error(&span, format!("fault {kind}: applies to no endpoint"));
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// An expectation with its label in reports.
    fn expectation(
        &self,
        expectation: &Spanned<ExpectationSection>,
        file: &ExperimentFile,
        classes: &[ClassPlan],
        zones: &[String],
        policies: &[String],
    ) -> Result<Expectation, ConfigError> {
        let (section, span) = (expectation.get_ref(), expectation.span());
        for name in section.policy.iter().chain(&section.compared_policy) {
            if !policies.contains(name) {
                return self.error(
                    &span,
                    format!("policy: '{name}' is not among this experiment's policies"),
                );
            }
        }
        let position_of = |name: &Option<String>, all: Vec<&String>, key: &str| match name {
            None => Ok(None),
            Some(name) => match all.iter().position(|known| *known == name) {
                Some(n) => Ok(Some(n)),
                None => self.error(&span, format!("{key}: unknown '{name}'")),
            },
        };
        let class = position_of(
            &section.class,
            classes.iter().map(|class| &class.name).collect(),
            "verb",
        )?;
        let zone = position_of(&section.zone, zones.iter().collect(), "zone")?;
        let client_zone = position_of(&section.client_zone, zones.iter().collect(), "asked_in")?;
        if section.at_least.is_none() && section.at_most.is_none() {
            return self.error(
                &span,
                "hold: at_least or at_most is missing; without either it can't fail",
            );
        }
        let needs_peers = matches!(
            section.metric,
            Metric::OwnersAtOnce
                | Metric::Believers
                | Metric::StaleActs
                | Metric::StaleTries
                | Metric::Unowned
                | Metric::Acts
                | Metric::Owners
                | Metric::PeerDatagrams
                | Metric::Doubts
                | Metric::Hits
                | Metric::Worked
                | Metric::AtWork
                | Metric::WorkBroken
                | Metric::WorkTime
        );
        if needs_peers && file.peers.is_none() {
            return self.error(&span, "hold: this metric needs a [peers] section");
        }
        let needs_zone = matches!(
            section.metric,
            Metric::Share | Metric::Returns | Metric::Swing | Metric::Load
        );
        if needs_zone != zone.is_some() {
            return self.error(
                &span,
                "hold: share, returns, swing and load are of a zone, and no other metric is",
            );
        }
        let window = section.from.map_or(file.settle.0, |time| time.0)
            ..section.to.map_or(file.length.0, |time| time.0);
        if window.start >= window.end || window.end > file.length.0 {
            return self.error(
                &span,
                "hold: from must be before to, and to at most the length",
            );
        }
        let line = line_number(self.text, span.start);
        // Reports contain the label.
        let name = format!("{:?}", section.metric).to_lowercase();
        let mut label = section
            .policy
            .clone()
            .filter(|p| p != "passroad")
            .map_or(name.clone(), |p| format!("{name} of {p}"));
        label.extend(section.class.iter().map(|class| format!(" of {class}")));
        label.extend(section.zone.iter().map(|z| format!(" of zone {z}")));
        label.extend(
            section
                .client_zone
                .iter()
                .map(|z| format!(" asked in zone {z}")),
        );
        if section.from.is_some() || section.to.is_some() {
            let (start, end) = (window.start.as_secs_f64(), window.end.as_secs_f64());
            label += &format!(" from {start:.1} to {end:.1} s");
        }
        label.extend(
            section
                .compared_policy
                .iter()
                .map(|p| format!(" less that of {p}")),
        );
        Ok(Expectation {
            metric: section.metric,
            policy: section.policy.clone().unwrap_or_else(|| "passroad".into()),
            compared_policy: section.compared_policy.clone(),
            window,
            class,
            zone,
            client_zone,
            at_least: section.at_least,
            at_most: section.at_most,
            simulated_only: section.simulated_only || section.metric == Metric::Believers,
            line,
            label,
        })
    }
}

/// Whether a fault is one between sidecars or of their processes.
fn is_peer_fault(kind: FaultKind) -> bool {
    matches!(
        kind,
        FaultKind::SidecarPause
            | FaultKind::PeersCut
            | FaultKind::PeersLose
            | FaultKind::PeersLate
            | FaultKind::PeersDuplicate
            | FaultKind::PeersBuffer
            | FaultKind::ActsBuffer
    ) || is_process_fault(kind)
}

fn is_process_fault(kind: FaultKind) -> bool {
    matches!(kind, FaultKind::SidecarKill | FaultKind::SidecarStop)
}
