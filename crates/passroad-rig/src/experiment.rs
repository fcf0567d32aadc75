//! Reads an experiment file, checks it and turns it into the plan of its runs. Nothing is guessed: an unknown key, an
//! unknown name or a value without a unit is an error that names the line and the key.

mod checks;
mod expectations;
mod faults;
mod file_format;

pub use file_format::{DeduplicationScope, Effect, FaultKind, Metric, ReportMode, SocketMode};

use crate::fleet::FleetPlan;
use crate::model::{EndpointSpec, FaultChange};
use checks::FileChecker;
use file_format::ExperimentFile;
use passroad_units::ConfigError;
use serde_json::json;
use std::ops::Range;
use std::time::Duration;

/// A request class.
#[derive(Debug, Clone)]
pub struct ClassPlan {
    pub name: String,
    pub effect: Effect,
    pub deduplication_scope: DeduplicationScope,
    pub deduplication_window: Duration,
    pub mean_work: f64, // seconds of a core at speed 1
    pub work_sigma: f64,
    pub deadline_target: Duration,
    pub time_limit: Duration,
    pub utility: f64,
    pub late_utility: f64,
    pub share: f64,
}

/// An endpoint: its model, and how discovery lists it.
#[derive(Debug, Clone)]
pub struct EndpointPlan {
    pub spec: EndpointSpec,
    pub kind: usize,
    pub zone: usize,
    pub cell: usize,
    pub weight: f64,
}

/// A change that faults make at a time.
#[derive(Debug, Clone, PartialEq)]
pub enum ScheduledChange {
    EndpointFault(usize, FaultChange),
    NetworkCut {
        endpoint: usize,
        instances: Vec<bool>,
        on: bool,
    },
    Crash(usize),
    Start(usize),
    Drain(usize),
    Leave(usize),
    /// By operators at all sidecars: cordoned, or no longer so.
    Cordon(usize, bool),
    DiscoveryDelay(Duration),
    /// List updates reach one instance after the other, spread over this time.
    DiscoveryStagger(Duration),
    DiscoveryDown(bool),
    DiscoveryMalformed(bool),
    SidecarKill(usize),
    SidecarStop(usize),
    SidecarReload(usize),
    /// A new process takes over from the running one.
    SidecarUpgrade(usize),
    /// New settings on SIGHUP: the maximum of relays per command.
    SidecarReconfigure(usize, usize),
}

/// Bounds for a metric over a window of time, for one policy or its difference to another one.
#[derive(Debug, Clone)]
pub struct Expectation {
    pub metric: Metric,
    pub policy: String,
    pub compared_policy: Option<String>,
    pub window: Range<Duration>,
    pub class: Option<usize>,
    pub zone: Option<usize>,
    /// Only commands of clients in this zone.
    pub client_zone: Option<usize>,
    pub at_least: Option<f64>,
    pub at_most: Option<f64>,
    pub simulated_only: bool,
    pub line: usize, // in the file
    pub label: String,
}

/// All that a run needs, under any policy.
#[derive(Debug, Clone)]
pub struct Plan {
    pub about: String,
    pub seeds: Vec<u64>,
    pub length: Duration,
    pub settle: Duration, // at the start of the run, not counted in figures
    pub instances: usize,
    pub socket_mode: Option<SocketMode>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    pub endpoints: Vec<EndpointPlan>,
    pub crash_listed_after: Duration, // until discovery lists a crashed endpoint as removed
    pub restart_after: Duration,      // of an endpoint that crashed from overload
    pub classes: Vec<ClassPlan>,
    pub tenants: Vec<(String, f64, f64)>, // name, tenant's share, share of the load
    pub per_second: f64,
    pub instance_skew: f64, // sigma of the lognormal shares of the load by instance
    pub load_steps: Vec<(Duration, f64)>,
    pub retry_share: f64,
    pub retries_marked: bool,
    pub max_tries: u32,
    pub retry_pause: Duration,
    pub round_trip: Duration,
    pub cross_zone_extra: Duration,
    pub max_relays: usize,
    pub retry_after: Duration,
    pub connect_timeout: Duration,
    pub idle_close: Duration,
    pub drain_grace: Duration,
    pub changes: Vec<(Duration, ScheduledChange)>,
    pub expectations: Vec<Expectation>,
    pub policies: Vec<String>,
    /// Sidecars that exchange messages, where the experiment has peers.
    pub fleet: Option<FleetPlan>,
    /// Text of a routes file, for the policy passroad-routes.
    pub routes: Option<String>,
    report_mode: ReportMode,
    allowed: serde_json::Value,
    prices: serde_json::Value,
    rules: serde_json::Value,
    objective: serde_json::Value,
}

/// Names of the policies: passroad's balancer and the baselines.
pub const POLICIES: [&str; 6] = [
    "passroad",
    "passroad-routes",
    "random",
    "round-robin",
    "least-of-two",
    "full-sight",
];

/// Parses and checks an experiment file.
pub fn parse(text: &str) -> Result<Plan, ConfigError> {
    parse_with_instances(text, None)
}

/// The same with another number of instances than the file's.
pub fn parse_with_instances(text: &str, instances: Option<usize>) -> Result<Plan, ConfigError> {
    let mut file: ExperimentFile = toml::from_str(text)
        .map_err(|e| ConfigError::from_parser(text, e.span().map(|s| s.start), e.message()))?;
    file.instances = instances.unwrap_or(file.instances);
    FileChecker { text }.plan(file)
}

impl Plan {
    /// How long after the end of the load the last answers may come.
    pub fn answer_tail(&self) -> Duration {
        self.classes
            .iter()
            .map(|class| class.time_limit)
            .max()
            .unwrap_or_default()
    }

    /// The settings object that a sidecar in a zone is given.
    pub fn settings(&self, zone: usize) -> serde_json::Value {
        let nanos = |time: Duration| time.as_nanos() as u64;
        let classes: Vec<_> = self
            .classes
            .iter()
            .map(|class| {
                let effect = match class.effect {
                    Effect::Safe => "read_like",
                    Effect::Keyed => "idempotency_key",
                    Effect::NonIdempotent => "non_idempotent",
                };
                let scope = match class.deduplication_scope {
                    DeduplicationScope::All => "all",
                    DeduplicationScope::Zone => "zone",
                    DeduplicationScope::Cell => "cell",
                };
                json!({
                    "name": class.name, "effect": effect, "key_scope": scope, "window": nanos(class.deduplication_window),
                    "response_goal": nanos(class.deadline_target), "time_limit": nanos(class.time_limit), "utility": class.utility, "late_utility": class.late_utility,
                })
            })
            .collect();
        let tenants: Vec<_> = self
            .tenants
            .iter()
            .map(|(name, portion, _)| json!({ "name": name, "portion": portion }))
            .collect();
        let report_mode = match self.report_mode {
            ReportMode::Piggyback => "piggyback",
            ReportMode::Pull => "pull",
            ReportMode::Silent => "silent",
        };
        json!({
            "verbs": classes, "tenants": tenants, "dcs": self.zones, "az": self.zones[zone],
            "discovery": "on_request", "weights": "nominal", "report": { "how": report_mode },
            "allowed": self.allowed, "prices": self.prices, "rules": self.rules, "goal": self.objective,
            "tick": 1_000_000, "surplus_utility": 0.5,
        })
    }

    /// The factor of the load at a time, over the plan's rate.
    pub fn load_factor(&self, at: Duration) -> f64 {
        self.load_steps
            .iter()
            .rev()
            .find(|(from, _)| *from <= at)
            .map_or(1.0, |(_, factor)| *factor)
    }

    /// The zone of an instance.
    pub fn zone_of(&self, instance: usize) -> usize {
        instance % self.zones.len()
    }

    /// Network delay from an instance to an endpoint, one way.
    pub fn one_way_delay(&self, instance: usize, endpoint: usize) -> Duration {
        let other_zone = self.zone_of(instance) != self.endpoints[endpoint].zone;
        (self.round_trip
            + if other_zone {
                self.cross_zone_extra
            } else {
                Duration::ZERO
            })
            / 2
    }

    pub fn report_mode(&self) -> ReportMode {
        self.report_mode
    }
}

#[cfg(test)]
pub mod tests;
