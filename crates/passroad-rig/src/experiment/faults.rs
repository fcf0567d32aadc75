//! Turns the faults of an experiment file into scheduled changes, and those between sidecars into the plan of the sidecars
//! among each other.

use super::checks::FileChecker;
use super::file_format::{
    ExperimentFile, FaultKind, FaultSection, FaultTarget, MaintenanceRequest, OneWay, SocketMode,
};
use super::{ClassPlan, EndpointPlan, ScheduledChange};
use crate::fleet::{
    FleetFault, FleetFaultKind, FleetFaultTarget, FleetPlan, LeasedRolePlan, MaintenancePlan,
};
use crate::model::FaultChange;
use passroad_units::{ConfigError, Ratio};
use std::time::Duration;
use toml::Spanned;

impl FileChecker<'_> {
    /// The plan of the sidecars among each other, with their faults; none without [peers].
    pub(super) fn fleet_plan(
        &self,
        file: &ExperimentFile,
    ) -> Result<Option<FleetPlan>, ConfigError> {
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
        if let Some(role) = peers.leased_roles.iter().find(|role| {
            role.within.0.is_zero() || role.within.0 > longest_allowed || role.work > role.within
        }) {
            return self.error(
                &span,
                format!(
                    "peers: within of {}: must be from its work to {longest_allowed:?}",
                    role.name
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
                Some(MaintenancePlan {
                    duration: work.duration.0,
                    max_concurrent: work.at_once,
                    requests: requests.collect(),
                })
            }
        };
        let leased_roles = peers.leased_roles.iter().map(|role| LeasedRolePlan {
            name: role.name.clone(),
            interval: role.every.0,
            timeout: role.within.0,
            act_duration: role.work.0,
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
                FaultKind::PeersCut => FleetFaultKind::Cut {
                    out: section.one_way != Some(OneWay::Back),
                    back: section.one_way != Some(OneWay::Out),
                },
                FaultKind::PeersLose => FleetFaultKind::Loss(required_share(section.share)?),
                FaultKind::PeersDuplicate => {
                    FleetFaultKind::Duplication(required_share(section.share)?)
                }
                FaultKind::PeersLate => match section.delay {
                    Some(by) => FleetFaultKind::Delay {
                        delay: by.0,
                        jitter: section.delay_spread.unwrap_or_default().0,
                    },
                    None => return self.error(&span, "fault peers-late: by is missing"),
                },
                FaultKind::PeersBuffer => FleetFaultKind::HoldBack,
                FaultKind::SidecarPause => FleetFaultKind::Pause,
                FaultKind::SidecarKill => FleetFaultKind::Kill,
                FaultKind::SidecarStop => FleetFaultKind::Stop,
                _ => FleetFaultKind::HoldBackCalls,
            };
            if section.one_way.is_some() && section.kind != FaultKind::PeersCut {
                return self.error(&span, "one_way: only for peers-cut");
            }
            let must_end = matches!(
                effect,
                FleetFaultKind::Pause | FleetFaultKind::HoldBack | FleetFaultKind::HoldBackCalls
            );
            if must_end && section.duration.is_none() {
                return self.error(
                    &span,
                    "fault: for is missing; a pause or a buffering has to end",
                );
            }
            let target = match (
                section.target,
                section.instances.clone().or(section.from_instances.clone()),
            ) {
                (Some(FaultTarget::Owner), _) => FleetFaultTarget::Owner,
                (Some(FaultTarget::Minority), _) => FleetFaultTarget::Minority,
                (Some(FaultTarget::Voters), _) => FleetFaultTarget::Voters,
                (None, list) => FleetFaultTarget::Instances(
                    list.unwrap_or_else(|| (0..file.instances).collect()),
                ),
            };
            let every = section.every.map_or(Duration::ZERO, |time| time.0);
            for round in 0..section.repetitions.unwrap_or(1).clamp(1, 1000) {
                // With every but without repeat, the sidecars are hit one after the other.
                let all: Vec<FleetFaultTarget> = match (&target, section.repetitions) {
                    (FleetFaultTarget::Instances(list), None) if !every.is_zero() => list
                        .iter()
                        .map(|n| FleetFaultTarget::Instances(vec![*n]))
                        .collect(),
                    _ => vec![target.clone()],
                };
                for (n, target) in all.into_iter().enumerate() {
                    let from = section.at.0 + every * (round + n) as u32;
                    let to = section.duration.map(|span| from + span.0);
                    faults.push(FleetFault {
                        from,
                        to,
                        target,
                        others: section.to_instances.clone(),
                        kind: effect,
                    });
                }
            }
        }
        faults.sort_by_key(|fault| fault.from);
        Ok(Some(FleetPlan {
            lease: peers.lease.0,
            period: peers.period.0,
            voters: peers.voters,
            persist_votes: peers.state,
            leased_roles: leased_roles.collect(),
            faults,
            fence: peers.fence,
            maintenance: work,
        }))
    }

    /// Adds the changes that a fault makes.
    pub(super) fn schedule_changes(
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
}

/// Whether a fault is one between sidecars or of their processes.
pub(super) fn is_peer_fault(kind: FaultKind) -> bool {
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
