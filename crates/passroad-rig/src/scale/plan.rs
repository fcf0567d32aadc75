//! The file of a scale run: its sizes, topology, load and events, and the conditions that must hold.

use passroad_units::{ConfigError, HumanDuration, line_number};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;
use toml::Spanned;

pub const MAX_SIDECARS: usize = 1300;
const MAX_REAL_SIDECARS: usize = 130;
const MAX_ZONES: usize = 60;

#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields)]
struct PlanFile {
    about: String,
    sizes: Spanned<Vec<usize>>,
    #[serde(default = "default_seeds")]
    seeds: Spanned<Vec<u64>>,
    #[serde(default = "zero_count")]
    real: Spanned<usize>,
    services: Spanned<usize>,
    zones: Spanned<usize>,
    regions: Spanned<usize>,
    #[serde(default = "default_calls")]
    calls: Spanned<usize>,
    #[serde(default = "zero")]
    load: Spanned<f64>,
    #[serde(default = "zero")]
    changes_a_day: Spanned<f64>,
    #[serde(default = "default_start_interval")]
    apart: HumanDuration,
    #[serde(default = "default_settle_time")]
    settle: HumanDuration,
    length: Spanned<HumanDuration>,
    #[serde(default)]
    delay: Delay,
    #[serde(default)]
    fleet: Fleet,
    #[serde(default)]
    event: Vec<Spanned<EventText>>,
    #[serde(default)]
    hold: Vec<Spanned<HoldText>>,
}

fn default_seeds() -> Spanned<Vec<u64>> {
    Spanned::new(0..0, vec![1])
}
fn zero_count() -> Spanned<usize> {
    Spanned::new(0..0, 0)
}
fn zero() -> Spanned<f64> {
    Spanned::new(0..0, 0.0)
}
fn default_calls() -> Spanned<usize> {
    Spanned::new(0..0, 3)
}
fn default_start_interval() -> HumanDuration {
    HumanDuration(Duration::from_millis(15))
}
fn default_settle_time() -> HumanDuration {
    HumanDuration(Duration::from_secs(15))
}
fn two_seconds() -> HumanDuration {
    HumanDuration(Duration::from_secs(2))
}

/// One-way delays that the rig adds between sidecars, and between a sidecar and discovery.
#[derive(Deserialize, Debug, Clone, Copy)]
#[serde(deny_unknown_fields, default)]
pub struct Delay {
    pub zone: HumanDuration,
    pub between_zones: HumanDuration,
    pub between_regions: HumanDuration,
}

impl Default for Delay {
    fn default() -> Self {
        let time = |micros| HumanDuration(Duration::from_micros(micros));
        Delay {
            zone: time(0),
            between_zones: time(1000),
            between_regions: time(30_000),
        }
    }
}

/// Settings of leases and membership, and the interval of the leased role.
#[derive(Deserialize, Debug, Clone, Copy)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    pub lease: HumanDuration,
    pub period: HumanDuration,
    pub voters: usize,
    pub every: HumanDuration,
}

impl Default for Fleet {
    fn default() -> Self {
        let time = |seconds| HumanDuration(Duration::from_secs(seconds));
        Fleet {
            lease: time(3),
            period: time(1),
            voters: 5,
            every: time(1),
        }
    }
}

#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields)]
struct EventText {
    name: Spanned<String>,
    kind: Spanned<String>,
    at: Spanned<HumanDuration>,
    #[serde(rename = "for")]
    duration: Spanned<HumanDuration>,
    #[serde(default)]
    count: Option<Spanned<usize>>,
    #[serde(default)]
    zone: Option<Spanned<usize>>,
    #[serde(default)]
    region: Option<Spanned<usize>>,
    #[serde(default)]
    service: Option<Spanned<usize>>,
    #[serde(default)]
    one_way: Option<Spanned<String>>,
    #[serde(default = "two_seconds")]
    noticed: HumanDuration,
}

/// The directions in which a cut loses datagrams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CutDirection {
    Both,
    /// Datagrams from the region are lost, those to it arrive.
    Out,
    /// Datagrams to the region are lost, those from it arrive.
    Back,
}

/// The sidecars that an event affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SidecarSelection {
    /// This many, drawn at random.
    Count(usize),
    Zone(usize),
    Service(usize),
    All,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventKind {
    /// A region is cut off from the others, and from discovery, which is located in the first region.
    Cut(usize, CutDirection),
    /// Killed all at once without a graceful shutdown; restarted at the end.
    Kill(SidecarSelection),
    /// Gracefully stopped and restarted, one after the other, spread over the duration.
    Restart(SidecarSelection),
    /// Discovery answers 503.
    DiscoveryDown,
}

/// An event of a run. Events do not overlap.
#[derive(Debug, Clone)]
pub struct Event {
    pub name: String,
    pub kind: EventKind,
    pub start: Duration,
    pub duration: Duration,
    /// Time until discovery removes killed sidecars from the list.
    pub detection_delay: Duration,
}

impl Event {
    pub fn span(&self) -> Range<Duration> {
        self.start..self.start + self.duration
    }
}

#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields)]
struct HoldText {
    metric: Spanned<String>,
    #[serde(default)]
    at_least: Option<f64>,
    #[serde(default)]
    at_most: Option<f64>,
}

/// Metrics that a condition may refer to. None of them is a time, so that slow and fast machines judge alike.
pub const METRICS: [&str; 8] = [
    "here",
    "listed",
    "false-doubts",
    "longest",
    "busiest-over-mean",
    "a-period",
    "owners",
    "known",
];

/// Bounds that a metric must keep.
#[derive(Debug, Clone)]
pub struct Hold {
    pub metric: String,
    pub at_least: Option<f64>,
    pub at_most: Option<f64>,
}

/// A checked scale plan.
#[derive(Debug, Clone)]
pub struct ScalePlan {
    pub about: String,
    pub sizes: Vec<usize>,
    pub seeds: Vec<u64>,
    /// How many of the sidecars are real processes.
    pub real: usize,
    pub services: usize,
    pub zones: usize,
    pub regions: usize,
    /// How many services each sidecar calls.
    pub calls: usize,
    /// Calls per second of each real sidecar.
    pub load: f64,
    pub changes_per_day: f64,
    /// Time between the starts of two sidecars.
    pub start_interval: Duration,
    /// Time between the start of all sidecars and the start of the measurement.
    pub settle_time: Duration,
    pub length: Duration,
    pub delay: Delay,
    pub fleet: Fleet,
    pub events: Vec<Event>,
    pub holds: Vec<Hold>,
}

/// Parses a file; errors name the line and the key. `sidecars` replaces the sizes of the file.
pub fn parse(text: &str, sidecars: Option<usize>) -> Result<ScalePlan, ConfigError> {
    let file: PlanFile = toml::from_str(text).map_err(|e| {
        ConfigError::from_parser(text, e.span().map(|span| span.start), e.message())
    })?;
    let error = |span: Range<usize>, message: String| {
        Err(ConfigError {
            line: line_number(text, span.start),
            message,
        })
    };
    let within =
        |key: &str, value: &Spanned<usize>, range: std::ops::RangeInclusive<usize>| match range
            .contains(value.get_ref())
        {
            true => Ok(*value.get_ref()),
            false => {
                let message = format!(
                    "{key}: {} is not from {} to {}",
                    value.get_ref(),
                    range.start(),
                    range.end()
                );
                Err(ConfigError {
                    line: line_number(text, value.span().start),
                    message,
                })
            }
        };
    let sizes = sidecars.map_or_else(|| file.sizes.get_ref().clone(), |size| vec![size]);
    if sizes.is_empty() || sizes.iter().any(|size| !(2..=MAX_SIDECARS).contains(size)) {
        return error(
            file.sizes.span(),
            format!("sizes: each must be from 2 to {MAX_SIDECARS}"),
        );
    }
    if file.seeds.get_ref().is_empty() {
        return error(file.seeds.span(), "seeds: the list is empty".into());
    }
    let zones = within("zones", &file.zones, 1..=MAX_ZONES)?;
    let regions = within("regions", &file.regions, 1..=zones)?;
    let services = within("services", &file.services, 1..=MAX_SIDECARS)?;
    let calls = within("calls", &file.calls, 1..=services.min(16))?;
    let smallest = sizes.iter().copied().min().unwrap_or_default();
    let real = within("real", &file.real, 0..=smallest.min(MAX_REAL_SIDECARS))?;
    for (key, value) in [("load", &file.load), ("changes_a_day", &file.changes_a_day)] {
        if !(0.0..=1e7).contains(value.get_ref()) {
            return error(
                value.span(),
                format!("{key}: {} is not from 0 to 10000000", value.get_ref()),
            );
        }
    }
    let length = file.length.get_ref().0;
    if length < Duration::from_secs(1) {
        return error(file.length.span(), "length: must be at least 1s".into());
    }
    let mut events: Vec<Event> = Vec::new();
    for spanned in &file.event {
        let event = spanned.get_ref();
        let direction = match event
            .one_way
            .as_ref()
            .map(|direction| (direction.get_ref().as_str(), direction.span()))
        {
            None => CutDirection::Both,
            Some(("out", _)) => CutDirection::Out,
            Some(("back", _)) => CutDirection::Back,
            Some((other, span)) => {
                return error(span, format!("one_way: '{other}' is not out or back"));
            }
        };
        let optional = |key: &str, value: &Option<Spanned<usize>>, range| match value {
            Some(value) => within(key, value, range).map(Some),
            None => Ok(None),
        };
        let count = optional("count", &event.count, 1..=smallest)?;
        let zone = optional("zone", &event.zone, 0..=zones - 1)?;
        let service = optional("service", &event.service, 0..=services - 1)?;
        let region = optional("region", &event.region, 0..=regions - 1)?;
        let selection = match (count, zone, service) {
            (Some(count), None, None) => SidecarSelection::Count(count),
            (None, Some(zone), None) => SidecarSelection::Zone(zone),
            (None, None, Some(service)) => SidecarSelection::Service(service),
            (None, None, None) => SidecarSelection::All,
            _ => {
                return error(
                    spanned.span(),
                    "event: only one of count, zone and service may be given".into(),
                );
            }
        };
        let kind = match (event.kind.get_ref().as_str(), region) {
            ("cut", Some(region)) => EventKind::Cut(region, direction),
            ("cut", None) => {
                return error(event.kind.span(), "kind: a cut needs a region".into());
            }
            ("kill", _) => EventKind::Kill(selection),
            ("restart", _) => EventKind::Restart(selection),
            ("discovery-down", _) => EventKind::DiscoveryDown,
            (other, _) => {
                let message = format!(
                    "kind: unknown '{other}'; there are cut, kill, restart, discovery-down"
                );
                return error(event.kind.span(), message);
            }
        };
        let (start, duration) = (event.at.get_ref().0, event.duration.get_ref().0);
        if duration < Duration::from_secs(1) {
            return error(event.duration.span(), "for: must be at least 1s".into());
        }
        if events
            .last()
            .is_some_and(|previous| start < previous.span().end)
        {
            return error(
                event.at.span(),
                "at: earlier than the end of the previous event".into(),
            );
        }
        if start + duration >= length {
            return error(
                event.at.span(),
                "at: the event ends after the length of the run".into(),
            );
        }
        let name = event.name.get_ref().clone();
        if name.is_empty()
            || !name
                .bytes()
                .all(|byte| byte.is_ascii_alphanumeric() || byte == b'-')
        {
            return error(
                event.name.span(),
                format!("name: '{name}' may contain only letters, digits and -"),
            );
        }
        events.push(Event {
            name,
            kind,
            start,
            duration,
            detection_delay: event.noticed.0,
        });
    }
    let mut holds = Vec::new();
    for spanned in file.hold {
        let hold = spanned.get_ref();
        let metric = hold.metric.get_ref().clone();
        if !METRICS.contains(&metric.as_str()) {
            let message = format!(
                "metric: unknown '{metric}'; there are {}",
                METRICS.join(", ")
            );
            return error(hold.metric.span(), message);
        }
        if hold.at_least.is_none() && hold.at_most.is_none() {
            return error(
                spanned.span(),
                "hold: at_least or at_most is missing".into(),
            );
        }
        holds.push(Hold {
            metric,
            at_least: hold.at_least,
            at_most: hold.at_most,
        });
    }
    Ok(ScalePlan {
        about: file.about,
        sizes,
        seeds: file.seeds.into_inner(),
        real,
        services,
        zones,
        regions,
        calls,
        load: file.load.into_inner(),
        changes_per_day: file.changes_a_day.into_inner(),
        start_interval: file.apart.0,
        settle_time: file.settle.0,
        length,
        delay: file.delay,
        fleet: file.fleet,
        events,
        holds,
    })
}

impl ScalePlan {
    /// Sidecars are assigned to zones, and zones to regions, round-robin.
    pub fn zone(&self, sidecar: usize) -> usize {
        sidecar % self.zones
    }

    pub fn region(&self, sidecar: usize) -> usize {
        self.zone(sidecar) % self.regions
    }

    pub fn service(&self, sidecar: usize) -> usize {
        // Shifted against the zones, so that each service has sidecars in several of them.
        (sidecar + sidecar / self.services) % self.services
    }

    /// The services that a sidecar calls.
    pub fn called_services(&self, sidecar: usize) -> Vec<usize> {
        (1..=self.calls)
            .map(|offset| (self.service(sidecar) + offset) % self.services)
            .collect()
    }

    /// The one-way delay between two sidecars.
    pub fn one_way_delay(&self, first: usize, second: usize) -> Duration {
        if self.region(first) != self.region(second) {
            self.delay.between_regions.0
        } else if self.zone(first) != self.zone(second) {
            self.delay.between_zones.0
        } else {
            self.delay.zone.0
        }
    }

    /// The sidecars of a selection; random ones are drawn by the seed.
    pub fn select(&self, selection: SidecarSelection, sidecars: usize, seed: u64) -> Vec<usize> {
        let all = 0..sidecars;
        match selection {
            SidecarSelection::All => all.collect(),
            SidecarSelection::Zone(zone) => {
                all.filter(|sidecar| self.zone(*sidecar) == zone).collect()
            }
            SidecarSelection::Service(service) => all
                .filter(|sidecar| self.service(*sidecar) == service)
                .collect(),
            SidecarSelection::Count(count) => {
                let mut rng = crate::rng::SeededRng::stream(seed, "whom", count as u64);
                let mut remaining: Vec<usize> = all.collect();
                (0..count.min(sidecars))
                    .map(|_| remaining.swap_remove(rng.below(remaining.len())))
                    .collect()
            }
        }
    }

    /// The conditions of a run by name, each with the time at which it begins.
    pub fn conditions(&self) -> Vec<(Duration, String)> {
        let steady = if self.changes_per_day > 0.0 || self.load > 0.0 {
            "ordinary"
        } else {
            "rest"
        };
        let mut conditions = vec![(Duration::ZERO, steady.to_string())];
        for event in &self.events {
            conditions.push((event.start, format!("event:{}", event.name)));
            conditions.push((event.span().end, format!("return:{}", event.name)));
        }
        conditions
    }

    /// The settings of a sidecar, with a request class for each service that it calls.
    pub fn settings(&self, sidecar: usize) -> serde_json::Value {
        let zones: Vec<String> = (0..self.zones).map(|zone| format!("z{zone}")).collect();
        let classes: Vec<_> = (0..self.calls)
            .map(|class| {
                serde_json::json!({
                    "name": format!("call-{class}"), "effect": "read_like", "key_scope": "all", "window": 0,
                    "response_goal": 200_000_000, "time_limit": 1_000_000_000, "utility": 1.0, "late_utility": 0.0,
                })
            })
            .collect();
        serde_json::json!({
            "verbs": classes, "tenants": [], "dcs": zones, "az": zones[self.zone(sidecar)], "my_number": sidecar,
            "discovery": "on_request", "weights": "nominal", "report": { "how": "silent" },
            "allowed": {
                "connect_timeout": 250_000_000, "idle_close": 30_000_000_000_u64, "max_relays": 4,
                "max_retry_after": 1_500_000_000, "may_cancel": true, "may_tell": true, "probes": true,
                "retry_after": true, "second_copies": false, "streams_per_conn": 1,
            },
            "prices": { "cross_zone": 0.005, "handshake": 0.0, "probe": 0.002 },
            "rules": { "ask_every": 10_000_000_000_u64, "cold_from": 0.13, "tip_after": 2_000_000_000, "tip_multiple": 2.5, "warm_within": 0 },
            "goal": { "whole": 1.0, "worst_class": 0.0 }, "tick": 1_000_000, "surplus_utility": 0.5,
        })
    }

    /// The routes of a sidecar: a pool for each service that it calls.
    pub fn routes(&self, sidecar: usize) -> String {
        let mut text = String::new();
        for (class, service) in self.called_services(sidecar).into_iter().enumerate() {
            text += &format!(
                "[[pool]]\nname = \"s{service}\"\nlabels = [\"s{service}-\"]\ntiers = [[\"*\"]]\n\n"
            );
            text += &format!("[[route]]\nverbs = [\"call-{class}\"]\npool = \"s{service}\"\n\n");
        }
        text
    }

    /// The text of the fleet file, which all sidecars share.
    pub fn fleet_file(&self, resource: std::net::SocketAddr) -> String {
        let ms = |time: HumanDuration| format!("\"{}ms\"", time.0.as_millis());
        let fleet = &self.fleet;
        format!(
            "lease = {}\nperiod = {}\nvoters = {}\n\n[upkeep]\nat_once = 1\n\n\
             [[duty]]\nname = \"sweep\"\nevery = {}\ncall = \"http://{resource}/sweep\"\nwithin = \"300ms\"\n",
            ms(fleet.lease),
            ms(fleet.period),
            fleet.voters,
            ms(fleet.every)
        )
    }

    /// Evaluates the conditions; returns a line for each, and whether it holds.
    pub fn evaluate_holds(&self, figures: &BTreeMap<&'static str, f64>) -> Vec<(String, bool)> {
        let results = self.holds.iter().map(|hold| {
            let value = figures.get(hold.metric.as_str()).copied();
            let above = hold
                .at_least
                .is_none_or(|bound| value.is_some_and(|value| value >= bound));
            let below = hold
                .at_most
                .is_none_or(|bound| value.is_some_and(|value| value <= bound));
            let bound = |label: &str, bound: Option<f64>| {
                bound.map_or(String::new(), |bound| format!(" {label} {bound}"))
            };
            let (lower, upper) = (
                bound("at least", hold.at_least),
                bound("at most", hold.at_most),
            );
            let shown = value.map_or("not measured".into(), |value| format!("{value:.4}"));
            (
                format!("{}: {shown},{lower}{upper}", hold.metric),
                above && below,
            )
        });
        results.collect()
    }
}
